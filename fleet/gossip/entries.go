package gossip

import "time"

// Entry is what the platform keeps of a VM, by which other VMs find it.
type Entry struct {
	Member
	// Incarnation is that of the VM's process which wrote the entry, as in Message.
	Incarnation uint64
	// Renewals is how often that process has written the entry again to show that it still runs.
	Renewals int
}

// Confirm is Learn for members that are known to have run just now, although this VM may not hear them.
func (t *Table) Confirm(now time.Duration, ms ...Member) {
	t.Learn(now, ms...)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range ms {
		if p := t.peers[m.Name]; p != nil {
			p.learntAt = now
		}
	}
}

// EntriesRead records that the platform's entries were read and that Learn and Confirm were called for
// them. A VM that doesn't reach the platform keeps the members that it doesn't hear: they may hear each
// other.
func (t *Table) EntriesRead(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readAt = now
}

// Probe sends a datagram to members that aren't known any more in the next round, up to fanout of them.
// They count as members only once they answer.
func (t *Table) Probe(ms ...Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range ms {
		if m.Name != t.self.Name && t.peers[m.Name] == nil && len(t.probed) < fanout {
			t.probed = append(t.probed, m)
		}
	}
}

// addProbes appends the datagrams to the members that are probed. Callers hold t.mu.
func (t *Table) addProbes(now time.Duration, out []Batch, alive []*peer) []Batch {
	if len(t.probed) == 0 {
		return out
	}
	batch := Batch{}
	for _, m := range t.probed {
		batch.To = append(batch.To, m.Peer)
	}
	t.probed = nil
	batch.Others, batch.Reports = t.describe(now, alive)
	return append(out, batch)
}
