// Package placement chooses the endpoint that a request of a service is sent to,
// by what is known of each: the work that the VMs have under way there, and whether it
// is failing, cold or on its way out.
//
// Load pattern: some to dozens of VMs decide apart; prompts differ a hundredfold in
// size; prompts share long leading parts, which an engine that has read them lately
// needn't read again; endpoints crash, come back cold and leave in numbers.
//
// Without it: VMs that all take the endpoint with the least reported load fill the
// same one until the next report; a shared part of 5,000 tokens is read again on
// each engine; an endpoint that refuses connections at once always has the least
// under way and draws everything.
//
// What the other VMs have under way is told to the table just before a choice
// (SetElsewhere). Without it dozens of VMs, each with a small part of the requests, choose
// nearly at random, and streams queue at one engine while others are idle.
//
// What all VMs saw endpoints fail is told as well (SetRecords): among hundreds of VMs each
// meets an endpoint too seldom to judge it. An endpoint that fails more of its requests than
// is usual in its pool costs more, one at whose address another life answers is left.
//
// A choice is made among the endpoints that may be used, by an estimate of the
// work before the request: two candidates by the hash of its shared prompt part,
// the same on each VM, are taken unless the least loaded of all is better by more
// than reading the part again would cost.
//
// Above 200 endpoints a choice looks at a sample, so that its cost stays flat. The time to
// a request's first event can be estimated without placing it (Outlook).
//
// The package has no network and no clock; time and randomness are arguments.
//
// Lock order: Table.mu is a leaf.
package placement
