// Package patience decides how long a request that may run again waits for the head of its
// answer at one endpoint before it is sent to another.
//
// Load pattern: an endpoint takes connections and requests, and some of its answers never
// come; its health is good and other requests there are answered. Beside it: an overload, in
// which all answers are late and each request sent twice makes them later.
//
// Without it: a caller waits for its whole time, or until it gives up by itself, beside
// endpoints that would have answered within some ten ms.
//
// The package has no network and no clock.
//
// Lock order: Times.mu is a leaf.
package patience
