// Package placement chooses the endpoint for a request of a service. It weighs the work that
// all VMs have under way at each endpoint and whether the endpoint fails, is cold or drains.
//
// Load pattern: up to dozens of VMs decide independently; prompt sizes differ by a factor of a
// hundred; prompts share long prefixes, which an engine that has them cached does not read
// again; endpoints crash, return cold and leave in groups.
//
// Without it: VMs that all choose the endpoint with the least reported load overload the same
// one until the next report; a shared prefix of 5,000 tokens is read again on each engine; an
// endpoint that refuses connections immediately always has the least work under way and
// attracts all requests.
//
// The load that other VMs have placed is set just before a choice (Table.SetPeerLoad). Without
// it dozens of VMs, each with a small part of the requests, choose nearly at random, and streams
// queue at one engine while others are idle.
//
// The failures that all VMs observed are set too (Table.SetRecords), since with hundreds of VMs
// each one sees an endpoint too seldom to assess it. An endpoint that fails a larger share of its
// requests than is usual in its pool costs more; one whose address is answered by another
// incarnation is avoided.
//
// A choice minimises the estimated work ahead of the request. The two endpoints that rank first
// for the hash of the shared prefix, the same on each VM, are preferred unless the least loaded
// endpoint saves more than reading the prefix again would cost.
//
// In managed services work is weighted by the time that each endpoint takes for it relative to the
// others (package speed).
//
// In pools of more than 200 endpoints a choice looks at a sample, so that its cost stays
// constant. The time to a request's first event can be estimated without placing the request
// (Table.EstimateWait).
//
// The package has no network and no clock; time and randomness are arguments.
//
// Lock order: Table.mu, then what Spec.ColdRate locks.
package placement
