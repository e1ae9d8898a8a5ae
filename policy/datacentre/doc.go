// Package datacentre decides how much new work a data centre gets while
// operators take it out and bring it back.
//
// Load pattern: a data centre that comes back empty. Its endpoints have the
// shortest queues of all, so choice by load sends them everything, while their
// prefix caches are empty and their engines cold: each request costs several
// times its usual work, queues build within seconds, and callers of a service
// that was fine in its absence miss their deadlines. Out has no ramp: from the
// moment a VM knows of it, new work goes elsewhere and running work finishes.
//
// The return follows the time since this VM itself saw the data centre in
// again, by its own monotonic clock. Two clocks are never compared: VMs see the change within
// the seconds that a configuration takes to be in force, which is short beside
// the ramp. A VM that starts finds the data centre in and knows no earlier
// state; it gives full weight at once. It is one of many, so the share of new
// work that skips the ramp is its own.
//
// Lock order: Tracker.mu is a leaf; no call leaves the package while it is held.
package datacentre
