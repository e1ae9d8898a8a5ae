// Package router is the path of a request through a VM: from a caller's connection,
// through the decisions of module policy, to an endpoint, and the whole answer back to
// the caller. Each concern has a package of its own:
//
//	refusal   final answers other than the result, with what is known of the execution
//	settings  the daemon's settings, strictly checked
//	engine    the client of model engines: complete, resumable streams without
//	          another request's frames
//	service   the client of plain services: repeatable and non-repeatable calls
//	dispatch  the queues and endpoint state of one VM
//	entry     the callers' API
//	operator  the operator API
//	vm        one VM, which connects the other packages to the listeners
//
// Lock order: entry's tables before policy's. No lock is held across a call to an
// endpoint, a peer or the platform.
package router
