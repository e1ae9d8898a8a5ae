// Package silence detects endpoints that stop responding without closing their connections, for
// example after a power loss or a network partition.
//
// Load pattern: a data centre loses power or its links. Its endpoints send neither a reset nor
// an answer, and requests there wait for a first event like those at a busy engine.
//
// Without it: a request waits for the system's connection timeout, 3 s and more, and is
// answered late or not at all. An endpoint whose requests all wait looks busy and keeps getting
// new ones over idle connections.
//
// If nothing has been received from an endpoint for a while on any connection with waiting
// requests, it is probed with a new connection. A busy endpoint accepts or refuses it within a
// round trip, and both count as a sign of life. An endpoint that fails two probes in a row,
// with nothing received meanwhile, is lost: it gets no requests until it accepts a connection
// again. Two probes are needed because a network with a few percent of packet loss loses a first
// packet now and then, but seldom two. Requests without an answer move to other endpoints at once.
// Answers that have begun go on there only later, since a sound endpoint may be silent for a second
// and go on with them.
//
// An endpoint that accepts connections and never answers is not detected; the caller's deadline
// ends the wait.
//
// The package has no network and no clock; time is an argument.
//
// Lock order: Detector.mu is a leaf.
package silence
