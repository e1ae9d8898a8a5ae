// Package picker chooses the endpoint to which a request is sent.
//
// The choice is made by each of seven VMs on its own, from load reports that are up to
// two seconds old. Many requests share a prompt prefix that few endpoints have in their
// cache, and a hot prefix may receive more requests than one endpoint can serve.
//
// Simpler methods fail under these conditions. If all VMs send to the endpoint with the
// least reported load, they all fill the same one until the next report (herding).
// Round robin computes each prefix on every endpoint. Strict affinity sends the whole
// load of a hot prefix to one endpoint.
//
// A choice has three steps, each implemented by plugins. Filters exclude endpoints that
// must not be used, scorers rate the remaining ones from 0 to 1, and the picker takes
// the best of a few candidates: two drawn at random from the nearest tier with free capacity,
// one drawn from the next tier, and the endpoints that are likely to hold the prefix.
// No step scans the pool: endpoints with free capacity are kept in dense sets by version and
// tier, which change by one entry when a slot is taken or freed.
//
// Pools are indexed by version, so an endpoint that does not serve a version is never a
// candidate for it. State (leaving, data centre out, ejected, full) is checked when it
// changes and removes an endpoint from the sets. Conditions that depend on the request
// are checked for each candidate.
//
// Lock order: Table.mu is a leaf. Filters and scorers run under it and must not call
// methods of the table.
package picker
