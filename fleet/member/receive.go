package member

import (
	"math"
	"time"
)

// Receive applies a message from the VM that the sender's certificate names, and
// returns the answer if the message is a ping. It drops a message whose sender doesn't
// match.
func (t *Table) Receive(now time.Time, from string, m Message) (Message, bool) {
	if from != m.From.ID || from == t.self.ID {
		t.Counts.Foreign++
		return Message{}, false
	}
	t.merge(now, m.From, true)
	t.echo(now, from, m)
	for _, d := range m.Digests {
		t.merge(now, d, false)
	}
	for _, s := range m.Suspicions {
		t.suspect(now, s)
	}
	if !m.Ask {
		return Message{}, false
	}
	answer := t.fill(now)
	answer.EchoIncarnation, answer.Echo = m.From.Incarnation, m.From.Beat
	return answer, true
}

// echo applies the answer to one of this VM's pings. Contact dates from the sending of
// the ping: an answer that waited in the socket while the process was paused is as old
// as its ping.
func (t *Table) echo(now time.Time, from string, m Message) {
	recent := m.Echo > 0 && m.Echo <= t.self.Beat && t.self.Beat-m.Echo < uint64(len(t.sentAt))
	if m.EchoIncarnation != t.self.Incarnation || !recent {
		return
	}
	sent := t.sentAt[m.Echo%uint64(len(t.sentAt))]
	if sent.After(t.lastContact) {
		t.lastContact = sent
	}
	if r, ok := t.rows[from]; ok && now.Sub(sent) <= unansweredLimit*Tick {
		r.unanswered = 0
	}
}

// merge applies a digest. direct is true if the VM itself sent it.
func (t *Table) merge(now time.Time, d Digest, direct bool) {
	if d.ID == t.self.ID {
		t.raiseIncarnation(d)
		return
	}
	r, ok := t.rows[d.ID]
	if !ok {
		r = &member{advanced: now, changed: now}
		t.rows[d.ID] = r
		t.targetsStale = true
	}
	switch {
	case d.Incarnation > r.digest.Incarnation:
		t.startIncarnation(now, r, d)
	case d.Incarnation < r.digest.Incarnation || d.Beat <= r.digest.Beat:
		return
	default:
		t.advance(now, r, d)
	}
	if direct {
		t.markReplaced(now, r)
	}
}

// raiseIncarnation raises this VM's incarnation above that of an earlier process whose
// digest still circulates.
func (t *Table) raiseIncarnation(d Digest) {
	if d.Incarnation > t.self.Incarnation && d.Incarnation < math.MaxUint64 {
		t.self.Incarnation = d.Incarnation + 1
	}
}

// startIncarnation resets a row for a new incarnation of its VM.
func (t *Table) startIncarnation(now time.Time, r *member, d Digest) {
	t.prioritise(r)
	r.digest = d
	r.advanced = now
	r.unanswered, r.suspicionCopies = 0, 0
	t.machine.fire(r, restarted, now)
	if d.Left {
		t.machine.fire(r, left, now)
	}
	t.targetsStale = true
}

// advance applies a digest with a higher beat of the same incarnation.
func (t *Table) advance(now time.Time, r *member, d Digest) {
	significant := d.Draining != r.digest.Draining || d.Left != r.digest.Left || d.Address != r.digest.Address
	wasSuspect := r.state == Suspect
	r.digest = d
	r.advanced = now
	trig := beatAdvanced
	if d.Left {
		trig = left
	}
	if t.machine.fire(r, trig, now) {
		significant, t.targetsStale = true, true
		r.suspicionCopies = 0
	}
	if wasSuspect && r.state == Alive {
		t.Counts.Denials++
	}
	if significant {
		t.prioritise(r)
	}
}

// markReplaced marks other VMs at the same address as down. A replacement VM takes over
// the address of its predecessor; without this, both ids would be pinged and returned
// to callers until the platform's list caught up.
func (t *Table) markReplaced(now time.Time, r *member) {
	for _, other := range t.rows {
		if other == r || other.digest.Address != r.digest.Address || other.state == Down || other.state == Left {
			continue
		}
		t.Counts.Replaced++
		t.machine.fire(other, silent, now)
		t.targetsStale = true
	}
}

// suspect applies a suspicion from a message or from this VM's own pings.
func (t *Table) suspect(now time.Time, s Suspicion) {
	r, ok := t.rows[s.ID]
	if !ok || s.Incarnation != r.digest.Incarnation {
		return
	}
	if s.Beat < r.digest.Beat {
		// This VM knows a higher beat, and sends it early to refute the suspicion.
		if r.state == Alive && r.urgentCopies == 0 {
			t.prioritise(r)
		}
		return
	}
	r.digest.Beat = s.Beat
	if t.machine.fire(r, suspected, now) {
		t.Counts.Suspicions++
		r.suspicion = s
		r.suspicionCopies = t.copies()
	}
}

// prioritise sends the row's digest early in the next messages.
func (t *Table) prioritise(r *member) { r.urgentCopies = t.copies() }

// copies returns the number of messages that carry a change early: about eight messages
// leave per tick, and the change must be repeated for log2(n) ticks.
func (t *Table) copies() int { return 3 * t.spreadTicks() }
