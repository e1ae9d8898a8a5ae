package gossip

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Alive returns the VMs that are alive, this one included, sorted by name.
func (t *Table) Alive(now time.Duration) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []Member{t.self}
	for _, p := range t.peers {
		if p.heardAt != 0 && now-p.heardAt < t.freshness() {
			out = append(out, p.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// SeesMajority reports whether most of the VMs that this one knows are alive, this one included.
// VMs that are silent since they stopped being ready, as a VM that leaves does, aren't counted.
func (t *Table) SeesMajority(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.seesMajority(now)
}

// InMinority reports whether this VM has lost the majority of VMs that it heard before, or had lost it
// within settleTime: a VM that has just regained a majority may still lack some of its VMs.
func (t *Table) InMinority(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasLost(now) && !t.seesMajority(now) || t.isSettling(now)
}

// MayBeForgotten reports whether this VM is back among a majority that may have forgotten it meanwhile, and
// may not have heard all of this VM's side yet.
func (t *Table) MayBeForgotten(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isSettling(now) && t.minorityAt-t.minoritySince >= ForgetAfter/2
}

// isSettling reports whether this VM had lost the majority within settleTime. Callers hold t.mu.
func (t *Table) isSettling(now time.Duration) bool {
	return t.minorityAt != 0 && now-t.minorityAt < settleTime
}

// settleTime is the time in which VMs that hear each other again have all heard each other.
const settleTime = 5 * Interval

// seesMajority is SeesMajority. Callers hold t.mu.
func (t *Table) seesMajority(now time.Duration) bool {
	alive, known := 1, 1
	for _, p := range t.peers {
		switch {
		case p.heardAt != 0 && now-p.heardAt < t.freshness():
			alive++
			known++
		case p.heardAt == 0 || p.ready:
			known++
		}
	}
	return 2*alive > known
}

// HasSilent reports whether this VM has heard nothing of a VM that it knows for the given time.
func (t *Table) HasSilent(now, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if now-p.heardAt >= d {
			return true
		}
	}
	return false
}

// hasLost reports whether this VM doesn't hear a VM any more that was ready when it last did. Callers
// hold t.mu.
func (t *Table) hasLost(now time.Duration) bool {
	for _, p := range t.peers {
		if p.heardAt != 0 && p.ready && now-p.heardAt >= t.freshness() {
			return true
		}
	}
	return false
}

// KnownNames returns the sorted names of all VMs that this one knows, alive or not, itself
// included.
func (t *Table) KnownNames() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := append(slices.Collect(maps.Keys(t.peers)), t.self.Name)
	slices.Sort(out)
	return out
}

// AliveNames returns the names of the VMs in Alive.
func (t *Table) AliveNames(now time.Duration) []string {
	alive := t.Alive(now)
	out := make([]string, len(alive))
	for i, m := range alive {
		out[i] = m.Name
	}
	return out
}
