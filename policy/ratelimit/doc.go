// Package ratelimit keeps to the request limits that endpoints state in their answers: the
// number of requests a second that an endpoint takes from all VMs together.
//
// Load pattern: dozens to hundreds of VMs send to the same endpoints, and an endpoint in need
// states a limit that is far below what it got before, at any moment and without notice.
//
// The package has no network and no clock; time is an argument.
package ratelimit
