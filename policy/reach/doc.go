// Package reach decides whether one VM has lost its network paths to the endpoints.
//
// Load pattern: some VMs, also all of a data centre, lose their paths to all endpoints for seconds,
// while callers, the platform's store and the other VMs still reach them. New connections hang, are
// refused, or are reset once they are open; old ones hang, are reset or live on. At other times a
// data centre's endpoints lose power, or all endpoints of a service crash, which looks alike to the
// requests of one VM.
//
// Without it: such a VM takes each endpoint to be at fault, refuses the requests of its callers,
// which any other VM could serve, and tells the fleet that the endpoints have crashed.
//
// Bytes from any endpoint show that the VM has paths. If several endpoints fail with none received
// in between, the VM probes others. It has lost its paths if no probe succeeds, and until one does.
//
// The package has no network and no clock; time is an argument.
//
// Lock order: Tracker.mu is a leaf.
package reach
