package catalog

import "time"

// CrashEvidence is what a VM keeps at the platform about requests and parts of prompts that crash
// endpoints, so that it outlives all VMs and reaches those that hear no other one.
type CrashEvidence struct {
	// Written is the time of day at which ages in Report count from.
	Written time.Time
	// Report is encoded by the VMs; the platform's adapter doesn't read it.
	Report []byte
}
