package member

import (
	"math"
	"time"
)

// Receive takes a message whose sender proved to be from, and gives the answer
// to a ping.
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

// echo takes an answer to one of this VM's pings. It counts from when the ping
// left: an answer that lay in the socket while the process was paused is as old as its ping.
func (t *Table) echo(now time.Time, from string, m Message) {
	recent := m.Echo > 0 && m.Echo <= t.self.Beat && t.self.Beat-m.Echo < uint64(len(t.sentAt))
	if m.EchoIncarnation != t.self.Incarnation || !recent {
		return
	}
	sent := t.sentAt[m.Echo%uint64(len(t.sentAt))]
	if sent.After(t.contact) {
		t.contact = sent
	}
	if r, ok := t.rows[from]; ok && now.Sub(sent) <= unansweredLimit*Tick {
		r.unanswered = 0
	}
}

// merge takes a digest; direct says that the VM itself sent it.
func (t *Table) merge(now time.Time, d Digest, direct bool) {
	if d.ID == t.self.ID {
		t.mergeSelf(d)
		return
	}
	r, ok := t.rows[d.ID]
	if !ok {
		r = &member{advanced: now, changed: now}
		t.rows[d.ID] = r
		t.stale = true
	}
	switch {
	case d.Incarnation > r.digest.Incarnation:
		t.admit(now, r, d)
	case d.Incarnation < r.digest.Incarnation || d.Beat <= r.digest.Beat:
		return
	default:
		t.advance(now, r, d)
	}
	if direct {
		t.replaceAt(now, r)
	}
}

// mergeSelf answers hearsay about this VM from an earlier process on it.
func (t *Table) mergeSelf(d Digest) {
	if d.Incarnation > t.self.Incarnation && d.Incarnation < math.MaxUint64 {
		t.self.Incarnation = d.Incarnation + 1
	}
}

// admit starts a new incarnation of a VM.
func (t *Table) admit(now time.Time, r *member, d Digest) {
	t.startHot(r)
	r.digest = d
	r.advanced = now
	r.unanswered, r.hotSuspicion = 0, 0
	t.machine.fire(r, restarted, now)
	if d.Left {
		t.machine.fire(r, left, now)
	}
	t.stale = true
}

func (t *Table) advance(now time.Time, r *member, d Digest) {
	news := d.Draining != r.digest.Draining || d.Left != r.digest.Left || d.Address != r.digest.Address
	wasSuspect := r.state == Suspect
	r.digest = d
	r.advanced = now
	trig := heard
	if d.Left {
		trig = left
	}
	if t.machine.fire(r, trig, now) {
		news, t.stale = true, true
		r.hotSuspicion = 0
	}
	if wasSuspect && r.state == Alive {
		t.Counts.Denials++
	}
	if news {
		t.startHot(r)
	}
}

// replaceAt marks others at the same address as down. A replaced VM takes the
// address of the one before it; without this, both ids would be pinged and
// named to callers until the list caught up.
func (t *Table) replaceAt(now time.Time, r *member) {
	for _, other := range t.rows {
		if other == r || other.digest.Address != r.digest.Address || other.state == Down || other.state == Left {
			continue
		}
		t.Counts.Replaced++
		t.machine.fire(other, silent, now)
		t.stale = true
	}
}

// suspect takes a suspicion, from a message or this VM's own pings.
func (t *Table) suspect(now time.Time, s Suspicion) {
	r, ok := t.rows[s.ID]
	if !ok || s.Incarnation != r.digest.Incarnation {
		return
	}
	if s.Beat < r.digest.Beat {
		// This VM knows better: a higher beat, which it passes on ahead of its turn.
		if r.state == Alive && r.hot == 0 {
			t.startHot(r)
		}
		return
	}
	r.digest.Beat = s.Beat
	if t.machine.fire(r, suspected, now) {
		t.Counts.Suspicions++
		r.suspicion = s
		r.hotSuspicion = t.copies()
	}
}

func (t *Table) startHot(r *member) { r.hot = t.copies() }

// copies is how many messages carry a change ahead of its turn: about eight
// leave a tick, and the change has to be told for log2(n) ticks.
func (t *Table) copies() int { return 3 * t.spread() }
