package member

import (
	"slices"
	"strings"
	"time"

	"goldcrestfork/fleet/peer"
	"goldcrestfork/fleet/rendezvous"
)

const (
	// ringPeers is the number of VMs that this VM pings as its successors on a ring
	// over the whole fleet. Each VM has as many watchers, mostly in other data centres,
	// so that the loss of a whole data centre is detected from outside.
	ringPeers = 2
	// nearPeers is the number of VMs in the own data centre that this VM pings, chosen
	// by rendezvous hashing. Together with the ring they form a graph in which changes
	// spread in about log(n) ticks.
	nearPeers = 2
	// isolatedTicks without an answer from any VM make this VM consider itself
	// isolated. It must be below unansweredLimit; otherwise the suspicions would be
	// sent before that.
	isolatedTicks = 2
)

// Tick runs one round: it detects failed VMs and returns the pings to send.
func (t *Table) Tick(now time.Time) []Outgoing {
	t.detectPause(now)
	t.lastTick = now
	t.detectFailures(now)
	t.self.Beat++
	t.sentAt[t.self.Beat%uint64(len(t.sentAt))] = now
	if t.targetsStale {
		t.chooseTargets()
	}
	var out []Outgoing
	for _, id := range t.targets {
		r := t.rows[id]
		r.unanswered++
		out = append(out, t.ping(now, target(r)))
	}
	if r := t.nextProbe(); r != nil {
		out = append(out, t.ping(now, target(r)))
	}
	if len(t.targets) == 0 {
		for _, s := range t.seeds {
			out = append(out, t.ping(now, s))
		}
	}
	return out
}

func (t *Table) ping(now time.Time, to peer.Target) Outgoing {
	m := t.fill(now)
	m.Ask = true
	return Outgoing{To: to, Message: m}
}

// detectPause detects a pause of this process by its own clock. No message was
// processed meanwhile, so the silence proves nothing about the other VMs: without this
// a resumed VM would mark the whole fleet as down.
func (t *Table) detectPause(now time.Time) {
	gap := now.Sub(t.lastTick)
	if gap <= pauseTicks*Tick {
		return
	}
	t.Counts.Pauses++
	for _, r := range t.rows {
		r.advanced = now
		r.unanswered = 0
		if r.state == Suspect {
			r.changed = now
		}
	}
}

// detectFailures updates the state of VMs without recent beats.
func (t *Table) detectFailures(now time.Time) {
	// A VM without any answer is itself the likely cause. It sends no suspicions, since
	// one isolated VM could otherwise make the whole fleet suspect healthy VMs.
	isolated := !within(now, t.lastContact, isolatedTicks*Tick)
	for _, r := range t.rows {
		silence := now.Sub(r.advanced)
		switch {
		case r.state == Alive && r.unanswered >= unansweredLimit && !isolated:
			t.suspect(now, r.newSuspicion())
			t.targetsStale = true
		case r.state == Suspect && now.Sub(r.changed) >= t.suspectLimit(),
			r.state != Suspect && r.state != Down && silence >= t.silentLimit():
			if t.machine.fire(r, silent, now) {
				t.Counts.WentDown++
				t.targetsStale = true
			}
		}
	}
}

// newSuspicion returns a suspicion that a live VM has already refuted by its current
// beat. Other VMs may have received a beat or two more than this watcher before the VM
// crashed; they would refute a suspicion at the watcher's own beat and mark the dead VM
// alive again.
func (m *member) newSuspicion() Suspicion {
	return Suspicion{
		ID:          m.digest.ID,
		Incarnation: m.digest.Incarnation,
		Beat:        m.digest.Beat + unansweredLimit - 1,
	}
}

// chooseTargets selects the VMs to ping.
func (t *Table) chooseTargets() {
	t.targetsStale = false
	var all, near []string
	for id, r := range t.rows {
		if r.state == Down || r.state == Left || r.digest.Address == "" {
			continue
		}
		all = append(all, id)
		if r.digest.DataCentre == t.self.DataCentre {
			near = append(near, id)
		}
	}
	t.targets = t.ring(all)
	for _, id := range rendezvous.Rank("near/"+t.self.ID, near) {
		if len(t.targets) >= ringPeers+nearPeers {
			break
		}
		if !slices.Contains(t.targets, id) {
			t.targets = append(t.targets, id)
		}
	}
	for id, r := range t.rows {
		if !slices.Contains(t.targets, id) {
			r.unanswered = 0
		}
	}
	t.order = t.order[:0]
	for _, r := range t.rows {
		t.order = append(t.order, r)
	}
	slices.SortFunc(t.order, func(a, b *member) int { return strings.Compare(a.digest.ID, b.digest.ID) })
}

// ring returns the VMs that follow this one on the fleet's ring. The ring orders by
// hash, so its neighbours do not share a rack.
func (t *Table) ring(ids []string) []string {
	const key = "ring"
	ranked := rendezvous.Rank(key, append(slices.Clone(ids), t.self.ID))
	at := slices.Index(ranked, t.self.ID)
	var next []string
	for i := 1; i < len(ranked) && len(next) < ringPeers; i++ {
		next = append(next, ranked[(at+i)%len(ranked)])
	}
	return next
}

// nextProbe cycles through VMs that are down and still listed, one per tick. After a
// partition between data centres each side considers the other down and would otherwise
// never contact it again.
func (t *Table) nextProbe() *member {
	for range t.order {
		t.probeCursor = (t.probeCursor + 1) % len(t.order)
		if r := t.order[t.probeCursor]; r.state == Down && r.listed && r.digest.Address != "" {
			return r
		}
	}
	return nil
}

// fill builds a message: urgent digests first, then the next digests in turn, up to
// maxMessage.
func (t *Table) fill(now time.Time) Message {
	m := Message{From: t.self}
	room := maxMessage - t.self.size() - suspicionSize
	room = t.fillSuspicions(&m, room)
	t.fillDigests(&m, room)
	return m
}

func (t *Table) fillSuspicions(m *Message, room int) int {
	for _, r := range t.order {
		size := suspicionSize + len(r.digest.ID)
		if r.suspicionCopies == 0 || size > room || len(m.Suspicions) == maxItems/4 {
			continue
		}
		r.suspicionCopies--
		room -= size
		m.Suspicions = append(m.Suspicions, r.suspicion)
	}
	return room
}

func (t *Table) fillDigests(m *Message, room int) {
	add := func(r *member) bool {
		if r.digest.size() > room || len(m.Digests) == maxItems {
			return false
		}
		room -= r.digest.size()
		m.Digests = append(m.Digests, r.digest)
		return true
	}
	for _, r := range t.urgentRows() {
		if !add(r) {
			return
		}
		r.urgentCopies--
	}
	for range t.order {
		t.digestCursor = (t.digestCursor + 1) % len(t.order)
		r := t.order[t.digestCursor]
		// The digest of a VM that is down, or of which none has arrived, carries no
		// information.
		if r.urgentCopies > 0 || r.state != Alive && r.state != Left {
			continue
		}
		if !add(r) {
			t.digestCursor = (t.digestCursor + len(t.order) - 1) % len(t.order)
			return
		}
	}
}

// urgentRows returns the rows to send early, the least sent first: after a start the
// whole fleet is urgent for a while, and the digest of a draining VM must not wait
// behind it. The order of equal rows rotates.
func (t *Table) urgentRows() []*member {
	var urgent []*member
	for i := range t.order {
		if r := t.order[(t.urgentCursor+i)%len(t.order)]; r.urgentCopies > 0 {
			urgent = append(urgent, r)
		}
	}
	t.urgentCursor++
	slices.SortStableFunc(urgent, func(a, b *member) int { return b.urgentCopies - a.urgentCopies })
	return urgent
}
