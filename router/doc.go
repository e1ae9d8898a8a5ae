// Package router is the way of a request: from a caller's connection, through
// the decisions of module policy, to an endpoint, and the whole answer back.
// Each concern has a package of its own:
//
//	refusal   final answers that are not the result, with what is known of the run
//	settings  the daemon's settings, strictly checked
//	engine    the client of model engines: whole, uncrossed, resumable streams
//	service   the client of plain services: repeatable and not
//	entry     the callers' API
//
// Lock order: entry's tables before policy's; no lock is held across a call to
// an endpoint, a peer or the platform.
package router
