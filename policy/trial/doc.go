// Package trial judges a version that is brought in within seconds: a part of the
// sessions is served by it, its answers are compared with the old version's over all
// VMs, and before the operators' time is over it is either taken or taken back.
//
// Load pattern: a roll-out of 12 to 24 s under the usual traffic. The new version is
// good, or it fails or slows a third or half of its requests, at once, some seconds
// in, or under load only.
//
// Without it: all sessions meet the new version at once, or none does and a good one
// is never taken.
//
// A session keeps its version: which sessions try the new one follows from a hash, the
// same on each VM, and sessions that were served by the old one lately stay there
// (package sticky keeps which). The evidence is that of package rollout, whose
// controller is for roll-outs of minutes and hours with steps.
//
// The package has no network and no clock.
//
// Lock order: Trial.mu is a leaf.
package trial
