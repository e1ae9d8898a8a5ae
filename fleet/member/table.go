package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"goldcrestfork/durable"
	"goldcrestfork/fleet/peer"
)

const (
	// Tick is the time between two rounds of pings.
	Tick = time.Second
	// unansweredLimit is how many pings in a row may go unanswered before a
	// watcher tells its suspicion. 3: single datagrams get lost.
	unansweredLimit = 3
	// suspectTicks is how long a suspect has to be heard of again, beside
	// log2(n) ticks for the suspicion and its denial to travel.
	suspectTicks = 3
	// silentTicks and one tick a VM bound the time without a beat when nobody
	// suspects a VM. One link carries a given digest every n/4 ticks, so beats are
	// late by a part of n: with n/5 a live VM of 60 was called down now and then.
	// It may be slow: when a watcher dies the ring closes and its own watcher
	// takes over, so this limit only clears away VMs that were never heard.
	silentTicks = 10
	// pauseTicks without a tick mean that this process was paused.
	pauseTicks = 3
	// FreshLimit is the age beyond which this VM's views are not acted on: five
	// pings in a row without an answer from any VM.
	FreshLimit = 5 * Tick
)

// Self is what this VM knows of itself at the start.
type Self struct {
	ID, Address, CallerAddress, DataCentre string
	// Incarnation must exceed that of earlier processes on this VM; the wall
	// clock's nanoseconds at the start do. If that clock went back, the table
	// raises it as soon as a peer tells the higher one.
	Incarnation uint64
	// Seeds are peers from the settings, for a start while the platform's list is away.
	Seeds []peer.Target
}

// Outgoing is a message to send.
type Outgoing struct {
	To      peer.Target
	Message Message
}

// Table is the pure core: time is an argument, messages go in and out. It is not
// safe for concurrent use.
type Table struct {
	self    Digest
	seeds   []peer.Target
	rows    map[string]*member
	machine machine
	// sentAt holds the times of the last pings, by beat.
	sentAt [64]time.Time
	// contact is when the newest ping that was answered left; listed is when the
	// newest list that arrived was asked for. Zero means never.
	contact, listed time.Time
	ticked          time.Time
	// targets are pinged each tick; stale says that they must be chosen again.
	targets []string
	stale   bool
	// order holds the rows by id; the cursors turn it through the messages, news apart.
	order             []*member
	cursor, hotCursor int
	probe             int
	// Counts of what happened, for metrics and the dump.
	Counts Counts
}

// Counts are totals since the start.
type Counts struct {
	Pauses, Suspicions, Denials, WentDown, Replaced, Foreign int
}

// NewTable starts with nobody known.
func NewTable(now time.Time, s Self) *Table {
	return &Table{
		self: Digest{
			ID: s.ID, Address: s.Address, CallerAddress: s.CallerAddress,
			DataCentre: s.DataCentre, Incarnation: max(1, s.Incarnation),
		},
		seeds:   slices.Clone(s.Seeds),
		rows:    make(map[string]*member),
		machine: newMachine(),
		ticked:  now,
		stale:   true,
	}
}

// Self returns this VM's digest as it is sent.
func (t *Table) Self() Digest { return t.self }

// Update sets what this VM says of itself: configuration revision, slot epoch, load in thousandths.
func (t *Table) Update(revision int64, epoch uint64, load uint16) {
	t.self.Revision, t.self.Epoch, t.self.Load = revision, epoch, load
}

// Drain tells the others that this VM takes no new callers.
func (t *Table) Drain() { t.self.Draining = true }

// Leave gives the last messages of this VM, to those it pings. They pass it on as
// news, so that leaving costs no more in a large fleet than in a small one.
func (t *Table) Leave() []Outgoing {
	t.self.Draining, t.self.Left = true, true
	t.self.Beat++
	var out []Outgoing
	for _, id := range t.targets {
		if r := t.rows[id]; r != nil {
			out = append(out, Outgoing{To: target(r), Message: Message{From: t.self}})
		}
	}
	return out
}

// Fresh says whether this VM may act on its views: within FreshLimit it sent a
// ping that was answered or asked for a list that came. A VM that was paused, or
// is cut off from everything, finds out here, since the time is that of the
// asking: messages from before the pause can't make it fresh.
func (t *Table) Fresh(now time.Time) bool {
	return within(now, t.contact, FreshLimit) || within(now, t.listed, FreshLimit)
}

// PeerContact is how long ago this VM sent the newest ping that was answered; false without any.
func (t *Table) PeerContact(now time.Time) (time.Duration, bool) {
	return now.Sub(t.contact), !t.contact.IsZero()
}

// ListAge is how long ago the newest list that arrived was asked for; false without any.
func (t *Table) ListAge(now time.Time) (time.Duration, bool) {
	return now.Sub(t.listed), !t.listed.IsZero()
}

func within(now, at time.Time, limit time.Duration) bool {
	return !at.IsZero() && now.Sub(at) <= limit
}

func (t *Table) spread() int { return bits.Len(uint(len(t.rows) + 1)) }

// suspectLimit is the time a suspect has to be heard of again.
func (t *Table) suspectLimit() time.Duration {
	return time.Duration(suspectTicks+t.spread()) * Tick
}

// silentLimit is the time without a beat after which a VM is down though nobody suspects it.
func (t *Table) silentLimit() time.Duration {
	return time.Duration(silentTicks+len(t.rows)) * Tick
}

// ObserveList takes the platform's list, which was asked for at askedAt. It adds
// VMs not known and lets go of those that are off the list and down; it never
// makes a VM dead or alive, since it lags both ways.
func (t *Table) ObserveList(now, askedAt time.Time, vms []durable.VM) {
	if askedAt.After(t.listed) {
		t.listed = askedAt
	}
	for _, r := range t.rows {
		r.listed = false
	}
	for _, vm := range vms {
		if vm.ID == t.self.ID {
			continue
		}
		r, ok := t.rows[vm.ID]
		if !ok {
			r = &member{
				digest:   Digest{ID: vm.ID, Address: vm.Address, DataCentre: vm.DataCentre},
				advanced: now,
				changed:  now,
			}
			t.rows[vm.ID] = r
			t.stale = true
		}
		r.listed, r.leaving = true, vm.Leaving
	}
	t.forget(now)
}

// forget drops rows that are down or left, off the list and quiet. It waits for
// the silent limit, so that a digest still on its way doesn't add a dead VM again.
func (t *Table) forget(now time.Time) {
	for id, r := range t.rows {
		over := r.state == Down || r.state == Left
		if over && !r.listed && now.Sub(r.changed) > t.silentLimit() {
			delete(t.rows, id)
			t.stale = true
		}
	}
}

// Member is one VM in the view.
type Member struct {
	Digest
	State State
	// Leaving: it drains, or the platform is about to take it away.
	Leaving bool
	// Listed: it is on the platform's last list.
	Listed bool
	// Age is the time since its beat moved.
	Age time.Duration
}

// Members is the view, by id, without this VM. Whoever acts on it asks Fresh first.
func (t *Table) Members(now time.Time) []Member {
	all := make([]Member, 0, len(t.rows))
	for _, r := range t.rows {
		all = append(all, Member{
			Digest:  r.digest,
			State:   r.state,
			Leaving: r.leaving || r.digest.Draining || r.digest.Left,
			Listed:  r.listed,
			Age:     now.Sub(r.advanced),
		})
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

func target(r *member) peer.Target {
	return peer.Target{ID: r.digest.ID, Address: r.digest.Address}
}
