// Package silence finds endpoints that went silent: without power, or behind a cut.
//
// Load pattern: a data centre loses power, or the links to it break. Its endpoints send
// neither a reset nor an answer, and the requests there wait for a first event like those
// at any busy engine.
//
// Without it: a request waits until the system's own timeout for the connection, 3 s and
// more, and is answered late or not at all; an endpoint whose requests all wait looks like
// one that is busy, and goes on drawing new ones over connections that were idle.
//
// An endpoint from which nothing came for a while, over all connections on which requests
// wait, is asked for a new connection. A busy endpoint takes it, or refuses it, within a
// round trip; that counts as a sign of life. One that does neither twice in a row, while
// still nothing came, is lost: its requests go elsewhere, and it gets none until it takes
// a connection again. Two questions, because a network that loses some packets in a
// hundred loses a first one now and then, but seldom two.
//
// An endpoint that takes connections and never answers isn't found; a caller's deadline
// ends its wait.
//
// The package has no network and no clock; time is an argument.
//
// Lock order: Detector.mu is a leaf.
package silence
