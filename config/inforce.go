package config

import "slices"

// InForce is how far a revision has come.
type InForce struct {
	// Revision is the one asked for.
	Revision int64 `json:"revision"`
	// At of Of listed VMs have it or a later one in force.
	At int `json:"at"`
	Of int `json:"of"`
	// Behind are VMs heard at an earlier revision.
	Behind []string `json:"behind,omitempty"`
	// Silent are listed VMs that were not heard lately.
	Silent []string `json:"silent,omitempty"`
}

// Everywhere reports that all listed VMs have the revision in force.
func (i InForce) Everywhere() bool { return i.At == i.Of }

// CountInForce counts the VMs that have a revision in force. Listed are the VMs
// of the platform's list; heard gives the revision of each VM heard lately, this
// one included. A VM heard but not listed yet counts too, since it serves callers.
func CountInForce(revision int64, listed []string, heard map[string]int64) InForce {
	f := InForce{Revision: revision}
	all := slices.Clone(listed)
	for vm := range heard {
		all = append(all, vm)
	}
	slices.Sort(all)
	for _, vm := range slices.Compact(all) {
		f.Of++
		at, ok := heard[vm]
		switch {
		case !ok:
			f.Silent = append(f.Silent, vm)
		case at < revision:
			f.Behind = append(f.Behind, vm)
		default:
			f.At++
		}
	}
	return f
}
