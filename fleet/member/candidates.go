package member

import "goldcrestfork/fleet/address"

// Candidates returns the VMs that callers may be sent to, this one included, for
// address.Choose. VMs that are down or left, or of which no digest has arrived yet, are
// omitted.
func Candidates(self Digest, members []Member) []address.Candidate {
	all := []address.Candidate{candidate(self, self.Draining || self.Left, false)}
	for _, m := range members {
		if m.State == Alive || m.State == Suspect {
			all = append(all, candidate(m.Digest, m.Leaving, m.State == Suspect))
		}
	}
	return all
}

func candidate(d Digest, leaving, suspect bool) address.Candidate {
	return address.Candidate{
		ID: d.ID, Address: d.CallerAddress, DataCentre: d.DataCentre,
		Load: d.Load, Leaving: leaving, Suspected: suspect,
	}
}
