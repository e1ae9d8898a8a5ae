// Package trial evaluates a new model version within seconds: the version serves part of the
// sessions, its answers are compared with the old version's over all VMs, and it is either
// accepted (Take) or rolled back (TakeBack) before the time set by the operators is over. An
// accepted version gets all requests and is still compared, with the old version's answers during
// the trial, until the roll-out is completed and the old version ends. From then on it is watched for
// good, and stopped if it fails at all endpoints (accepted.go).
//
// Load pattern: a roll-out of 12 to 24 s under the usual traffic. The new version is good, or
// it fails or slows a part of its requests: at once, after some seconds, or those of one route. In
// a busy fleet dozens of a good version's answers fail as well, when endpoints of both versions
// crash.
//
// Without it: all sessions use the new version at once, or none does and a good one is never
// accepted.
//
// A session keeps its version. A hash, the same on each VM, selects the sessions that try the
// new one, and sessions that the old version served recently stay there (package sticky keeps
// track). The statistical evidence comes from package rollout, whose controller handles
// roll-outs in steps over minutes and hours.
//
// A version may also fail only under load, or turn bad late. It is therefore accepted as late as the
// exposure that operators allow needs (exposure.go), its latest answers are compared by themselves, and
// the load of its endpoints is bounded once it gets all requests (load.go).
//
// The package has no network and no clock.
//
// Lock order: Trial.mu is a leaf.
package trial
