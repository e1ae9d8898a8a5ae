// Package speed estimates how long work takes at one endpoint compared with the usual time of its
// service, from measured answers of all VMs and from what the endpoint states about its machine.
//
// Load pattern: endpoints of one service differ in speed by a factor of three, and machines turn
// two to five times slower for moments of 0.6 s or for seconds.
//
// Without it: all endpoints get the same work, and requests queue at the slow ones while fast ones
// idle.
//
// Ratios of measured to expected time are averaged as logarithms, with weights that decay. The
// usual level of the service is subtracted, so that a wrong expectation, which affects all endpoints
// alike, changes no factor.
//
// The package has no network and no clock.
package speed
