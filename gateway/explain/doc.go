// Package explain finds the cause of a request's result from the log lines of VMs: it describes
// the request's own line and lists the VM's lines shortly before.
//
// It reads log lines only and uses no network and no clock.
package explain
