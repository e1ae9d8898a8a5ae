// Package ratelimit keeps to the request limits that endpoints state in their answers: the
// number of requests a second that an endpoint takes from all VMs together.
//
// Load pattern: dozens to hundreds of VMs send to the same endpoints, and an endpoint in need
// states a limit that is far below what it got before, at any moment and without notice.
//
// Without it: each VM sends as before, or keeps to the limit alone, and the sum over all VMs
// exceeds the limit many times.
//
// A VM remembers what each endpoint last stated (Statement). One VM grants the requests at an
// endpoint for all VMs (Buckets), so that the whole limit is used wherever the requests arrive.
// Package quota carries the questions to that VM.
//
// The package has no network and no clock; time is an argument.
package ratelimit
