package member

import (
	"slices"
	"strings"
	"time"

	"goldcrestfork/fleet/peer"
	"goldcrestfork/fleet/rendezvous"
)

const (
	// ringPeers follow this VM on a ring over the whole fleet: each VM has
	// exactly so many watchers, mostly in other data centres, so that the loss
	// of a whole data centre is seen from outside.
	ringPeers = 2
	// nearPeers are preferred by rendezvous in the own data centre; these links
	// and the ring make a graph in which news travels in about log(n) ticks.
	nearPeers = 2
	// deafTicks without an answer from any of them make this VM doubt itself
	// first. It must be below unansweredLimit, or the suspicions leave before the doubt.
	deafTicks = 2
)

// Tick is one round: it judges silence, and gives the pings to send.
func (t *Table) Tick(now time.Time) []Outgoing {
	t.resume(now)
	t.ticked = now
	t.judge(now)
	t.self.Beat++
	t.sentAt[t.self.Beat%uint64(len(t.sentAt))] = now
	if t.stale {
		t.choose()
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

// resume finds a pause of this process by its own clock. Nobody was heard
// meanwhile, so the silence says nothing about the others: without this a
// resumed VM would take the whole fleet for dead.
func (t *Table) resume(now time.Time) {
	gap := now.Sub(t.ticked)
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

// judge moves VMs that were not heard of.
func (t *Table) judge(now time.Time) {
	// A VM that hears from nobody is itself the likely cause: it keeps its
	// suspicions to itself, or one deaf VM could unsettle the whole fleet.
	deaf := !within(now, t.contact, deafTicks*Tick)
	for _, r := range t.rows {
		quiet := now.Sub(r.advanced)
		switch {
		case r.state == Alive && r.unanswered >= unansweredLimit && !deaf:
			t.suspect(now, r.overdue())
			t.stale = true
		case r.state == Suspect && now.Sub(r.changed) >= t.suspectLimit(),
			r.state != Suspect && r.state != Down && quiet >= t.silentLimit():
			if t.machine.fire(r, silent, now) {
				t.Counts.WentDown++
				t.stale = true
			}
		}
	}
}

// overdue is the suspicion that a live VM has outgrown by now. Others may have
// heard a beat or two more than this watcher before the VM died; a suspicion at
// the watcher's own beat would be denied by those and the dead VM come back to life.
func (m *member) overdue() Suspicion {
	return Suspicion{
		ID:          m.digest.ID,
		Incarnation: m.digest.Incarnation,
		Beat:        m.digest.Beat + unansweredLimit - 1,
	}
}

// choose picks whom to ping.
func (t *Table) choose() {
	t.stale = false
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

// ring gives the VMs that follow this one on the fleet's ring. The ring orders by
// hash, so neighbours on it do not share a rack.
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

// nextProbe turns through VMs that are down and still listed, one a tick: after a
// cut between data centres each side takes the other for down, and would never
// speak to it again.
func (t *Table) nextProbe() *member {
	for range t.order {
		t.probe = (t.probe + 1) % len(t.order)
		if r := t.order[t.probe]; r.state == Down && r.listed && r.digest.Address != "" {
			return r
		}
	}
	return nil
}

// fill writes a message: news first, then the next digests in turn, up to maxMessage.
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
		if r.hotSuspicion == 0 || size > room || len(m.Suspicions) == maxItems/4 {
			continue
		}
		r.hotSuspicion--
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
	for _, r := range t.news() {
		if !add(r) {
			return
		}
		r.hot--
	}
	for range t.order {
		t.cursor = (t.cursor + 1) % len(t.order)
		r := t.order[t.cursor]
		// The digest of a VM that is down or was never heard of says nothing new.
		if r.hot > 0 || r.state != Alive && r.state != Left {
			continue
		}
		if !add(r) {
			t.cursor = (t.cursor + len(t.order) - 1) % len(t.order)
			return
		}
	}
}

// news gives the rows to tell ahead of their turn, the least told first: after a
// start the whole fleet is news for a while, and word of a VM that drains must not
// wait behind it. Among equals the order turns.
func (t *Table) news() []*member {
	var hot []*member
	for i := range t.order {
		if r := t.order[(t.hotCursor+i)%len(t.order)]; r.hot > 0 {
			hot = append(hot, r)
		}
	}
	t.hotCursor++
	slices.SortStableFunc(hot, func(a, b *member) int { return b.hot - a.hot })
	return hot
}
