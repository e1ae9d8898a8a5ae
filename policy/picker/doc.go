// Package picker chooses the endpoint that a request is sent to.
//
// Load pattern: seven VMs decide apart on load reports that are two seconds old;
// many requests share a prompt prefix that few endpoints hold in their cache; the
// prefix of the hour (a hot key) is asked for more than one endpoint bears.
//
// Without it: VMs that all send to the endpoint with the least reported load fill
// the same one until the next report (herding); round robin computes each prefix
// on each endpoint; strict affinity puts a hot key's whole load on one.
//
// A choice is made in three steps, each a plugin: filters drop what may not be
// used, scorers rate what is left from 0 to 1, and the picker takes the best of a
// few candidates: two drawn at random from the nearest tier with room, one drawn
// from the next, and the endpoints likely to hold the prefix. Nothing scans the
// pool: endpoints that have room are kept in dense sets by version and tier,
// which change by one entry when a slot is taken or freed.
//
// A version that an endpoint does not serve is never a candidate, since pools are
// indexed by version. State (leaving, data centre out, ejected, full) is checked
// when it changes and keeps an endpoint out of the sets; what depends on the
// request is checked for each candidate.
//
// Lock order: Table.mu is a leaf; filters and scorers run under it and must not
// call back into the table.
package picker
