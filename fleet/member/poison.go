package member

import (
	"cmp"
	"slices"
	"time"
)

const (
	// PoisonLife is how long a fingerprint counts after its last crash. 10 min:
	// beyond a caller's own retries; a request that still crashes is counted anew.
	PoisonLife = 10 * time.Minute
	// maxPoison bounds the entries kept, one a fingerprint and VM.
	maxPoison = 512
	// poisonPerMessage bounds a message's part for them.
	poisonPerMessage = 4
)

type poisonKey struct {
	fingerprint uint64
	origin      string
}

type poisonRow struct {
	crashes uint16
	// at is the last crash by this VM's clock.
	at time.Time
	// sent is the number of messages that carried it; the least sent goes next.
	sent int
}

// poisonTable counts crashed endpoints by fingerprint and VM. Counts of one VM
// merge by maximum and those of different VMs add up, so messages may come twice
// and in any order.
type poisonTable struct {
	rows map[poisonKey]*poisonRow
}

func newPoisonTable() poisonTable { return poisonTable{rows: make(map[poisonKey]*poisonRow)} }

func (p poisonTable) merge(now time.Time, e Poison) {
	if e.Age >= PoisonLife {
		return
	}
	key := poisonKey{fingerprint: e.Fingerprint, origin: e.Origin}
	at := now.Add(-e.Age)
	r, ok := p.rows[key]
	switch {
	case !ok:
		p.makeRoom()
		p.rows[key] = &poisonRow{crashes: e.Crashes, at: at}
	case e.Crashes > r.crashes:
		*r = poisonRow{crashes: e.Crashes, at: at}
	case e.Crashes == r.crashes && at.Before(r.at):
		// The older time wins: each hop adds its travel time to the truth, and
		// taking the newer one would let an entry live for ever by being passed on.
		r.at = at
	}
}

// makeRoom drops the oldest entry of a full table.
func (p poisonTable) makeRoom() {
	if len(p.rows) < maxPoison {
		return
	}
	var oldest poisonKey
	var at time.Time
	for k, r := range p.rows {
		if at.IsZero() || r.at.Before(at) {
			oldest, at = k, r.at
		}
	}
	delete(p.rows, oldest)
}

func (p poisonTable) expire(now time.Time) {
	for k, r := range p.rows {
		if now.Sub(r.at) >= PoisonLife {
			delete(p.rows, k)
		}
	}
}

func (p poisonTable) fill(now time.Time, room int) ([]Poison, int) {
	if len(p.rows) == 0 {
		return nil, room
	}
	keys := make([]poisonKey, 0, len(p.rows))
	for k := range p.rows {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b poisonKey) int {
		return cmp.Or(cmp.Compare(p.rows[a].sent, p.rows[b].sent),
			cmp.Compare(a.fingerprint, b.fingerprint), cmp.Compare(a.origin, b.origin))
	})
	var out []Poison
	for _, k := range keys {
		size := poisonSize + len(k.origin)
		if len(out) == poisonPerMessage || size > room {
			break
		}
		r := p.rows[k]
		r.sent++
		room -= size
		out = append(out, Poison{Fingerprint: k.fingerprint, Origin: k.origin, Crashes: r.crashes, Age: max(0, now.Sub(r.at))})
	}
	return out, room
}

// ReportCrash counts one more endpoint crashed by the fingerprint, seen by this VM.
func (t *Table) ReportCrash(now time.Time, fingerprint uint64) {
	key := poisonKey{fingerprint: fingerprint, origin: t.self.ID}
	crashes := uint16(1)
	if r, ok := t.poison.rows[key]; ok && r.crashes < ^uint16(0) {
		crashes = r.crashes + 1
	}
	t.poison.merge(now, Poison{Fingerprint: fingerprint, Origin: t.self.ID, Crashes: crashes})
}

// Crashes is the number of endpoints crashed by the fingerprint, over all VMs together.
func (t *Table) Crashes(now time.Time, fingerprint uint64) int {
	total := 0
	for k, r := range t.poison.rows {
		if k.fingerprint == fingerprint && now.Sub(r.at) < PoisonLife {
			total += int(r.crashes)
		}
	}
	return total
}
