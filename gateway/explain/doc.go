// Package explain leads from a request's id to its cause, by the log lines that VMs write:
// what the request's line says in words, and what the VM came to believe shortly before.
//
// It reads lines only and has no network and no clock.
package explain
