// Package room decides whether there is memory for a request, at an endpoint and in the VM itself, and
// how urgent a request is towards its endpoint.
//
// Load pattern: prompts of very different sizes, and several VMs in front of the same endpoints. An
// engine whose requests take more memory than it has crashes with all of them, and a VM of 144 MB ends
// if it holds the bodies and answers of too many callers.
//
// Without it: the VMs, which see each other's requests half a second late, together fill an endpoint
// beyond its memory (TestFleetDoesNotOverfillEndpoints), and callers that send large bodies or don't
// read their answers fill a VM.
//
// The tokens that requests may take are summed over all VMs. What the sums don't show yet is bounded:
// while an endpoint is less than half full, each VM may add a fixed part between two sums; beyond that
// the VMs may use what is left in the order of their rank at the endpoint.
//
// The package has no network and no clock.
package room
