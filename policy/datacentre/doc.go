// Package datacentre decides how much new work a data centre gets while operators take
// it out of service and return it to service.
//
// A data centre that returns has the shortest queues, so a choice by load sends it
// all new work. Its prefix caches are empty and its engines cold, so each request costs
// several times its usual work: queues build up within seconds, and callers miss
// deadlines that were met while the data centre was out. A return therefore ramps up
// over Settings.RampTime. Taking a data centre out has no ramp: from the moment a VM
// learns of it, new work goes elsewhere and running work finishes.
//
// The ramp starts when this VM itself observes that the data centre is in again, by the
// VM's own monotonic clock, so that clocks of different machines are never compared.
// VMs observe the change within the seconds that a configuration takes to come into
// force, which is short compared to the ramp. A VM that starts up and finds the data
// centre in has no earlier state and gives it full weight at once. It is one of many
// VMs, so only its own share of the new work skips the ramp.
//
// Lock order: Tracker.mu is a leaf; no call leaves the package while it is held.
package datacentre
