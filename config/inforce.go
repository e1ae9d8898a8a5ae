package config

import "slices"

// InForce says on how many VMs a revision is in force.
type InForce struct {
	// Revision is the revision that was asked for.
	Revision int64 `json:"revision"`
	// Reached is the number of VMs, of all Total, that have this revision or a later one in force.
	Reached int `json:"at"`
	Total   int `json:"of"`
	// Behind are the VMs that reported an earlier revision.
	Behind []string `json:"behind,omitempty"`
	// Silent are listed VMs that have not reported recently.
	Silent []string `json:"silent,omitempty"`
}

// Everywhere reports whether all VMs have the revision in force.
func (i InForce) Everywhere() bool { return i.Reached == i.Total }

// CountInForce counts the VMs that have a revision in force. listed are the VMs in the
// platform's list; reported has the recent revision of each VM, this one included. A VM
// that has reported but is not listed yet counts too, since it serves callers.
func CountInForce(revision int64, listed []string, reported map[string]int64) InForce {
	f := InForce{Revision: revision}
	all := slices.Clone(listed)
	for vm := range reported {
		all = append(all, vm)
	}
	slices.Sort(all)
	for _, vm := range slices.Compact(all) {
		f.Total++
		at, ok := reported[vm]
		switch {
		case !ok:
			f.Silent = append(f.Silent, vm)
		case at < revision:
			f.Behind = append(f.Behind, vm)
		default:
			f.Reached++
		}
	}
	return f
}
