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
	// unansweredLimit is the number of consecutive pings that may go unanswered before
	// a watcher reports a suspicion. It is above 1 since single datagrams get lost.
	unansweredLimit = 3
	// suspectTicks is the time in which a suspect can show a higher beat, in addition
	// to log2(n) ticks for the suspicion and its refutation to spread.
	suspectTicks = 3
	// silentTicks plus one tick per VM bound the time without a beat when no VM
	// suspects the silent one. One link carries a given digest every n/4 ticks, so
	// beats arrive late by a fraction of n: with n/5 a live VM in a fleet of 60 was
	// marked down at times. The limit may be slow: when a watcher fails, the ring closes
	// and the VM that watched it takes over its targets, so this limit only removes VMs
	// of which no digest ever arrived.
	silentTicks = 10
	// pauseTicks is the number of ticks without a call of Tick that shows that this
	// process was paused.
	pauseTicks = 3
	// FreshLimit is the age beyond which this VM does not act on its views: five
	// consecutive pings without an answer from any VM.
	FreshLimit = 5 * Tick
)

// Self is the identity of this VM at the start.
type Self struct {
	ID, Address, CallerAddress, DataCentre string
	// Incarnation must exceed that of earlier processes on this VM. The wall clock's
	// nanoseconds at the start satisfy this. If that clock was set back, the table
	// raises the incarnation as soon as a peer reports the higher one.
	Incarnation uint64
	// Seeds are peers from the settings, for a start while the platform's list is
	// unavailable.
	Seeds []peer.Target
}

// Outgoing is a message to send.
type Outgoing struct {
	To      peer.Target
	Message Message
}

// Table holds the membership state and has no I/O: time is an argument, and messages
// are arguments and results. It is not safe for concurrent use.
type Table struct {
	self    Digest
	seeds   []peer.Target
	rows    map[string]*member
	machine machine
	// sentAt holds the times of the last pings, indexed by beat modulo its length.
	sentAt [64]time.Time
	// lastContact is when the newest ping that was answered was sent; lastList is when
	// the read that returned the newest list began. Zero means never.
	lastContact, lastList time.Time
	lastTick              time.Time
	// targets are pinged each tick; targetsStale is true if they must be chosen again.
	targets      []string
	targetsStale bool
	// order holds the rows by id. The cursors are the positions of the next digests to
	// send, with a separate cursor for urgent ones.
	order                      []*member
	digestCursor, urgentCursor int
	probeCursor                int
	// Counts are event counts for metrics and the state dump.
	Counts Counts
}

// Counts are event counts since the start.
type Counts struct {
	// Pauses counts pauses of this process. Suspicions, Denials and WentDown count other VMs
	// that became suspect, showed a higher beat while suspect, and were marked down. Replaced
	// counts VMs marked down because another VM took over their address. Foreign counts
	// messages whose sender didn't match.
	Pauses, Suspicions, Denials, WentDown, Replaced, Foreign int
}

// NewTable returns a table that knows no other VM.
func NewTable(now time.Time, s Self) *Table {
	return &Table{
		self: Digest{
			ID: s.ID, Address: s.Address, CallerAddress: s.CallerAddress,
			DataCentre: s.DataCentre, Incarnation: max(1, s.Incarnation),
		},
		seeds:        slices.Clone(s.Seeds),
		rows:         make(map[string]*member),
		machine:      newMachine(),
		lastTick:     now,
		targetsStale: true,
	}
}

// Self returns this VM's digest as it is sent.
func (t *Table) Self() Digest { return t.self }

// Update sets what this VM publishes: configuration revision, slot epoch, and load in
// thousandths.
func (t *Table) Update(revision int64, epoch uint64, load uint16) {
	t.self.Revision, t.self.Epoch, t.self.Load = revision, epoch, load
}

// Drain announces that this VM accepts no new callers.
func (t *Table) Drain() { t.self.Draining = true }

// Leave returns the last messages of this VM, to the VMs that it pings. Those spread
// the change, so that leaving costs no more in a large fleet than in a small one.
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

// Fresh reports whether this VM may act on its views: within FreshLimit it sent a ping
// that was answered, or began a read of the list that succeeded. A VM that was paused,
// or is partitioned from all others, detects it here, since the time counts from the
// request: messages from before the pause can't make the VM fresh.
func (t *Table) Fresh(now time.Time) bool {
	return within(now, t.lastContact, FreshLimit) || within(now, t.lastList, FreshLimit)
}

// PeerContact returns the time since this VM sent the newest ping that was answered;
// false if there is none.
func (t *Table) PeerContact(now time.Time) (time.Duration, bool) {
	return now.Sub(t.lastContact), !t.lastContact.IsZero()
}

// ListAge returns the time since the read that returned the newest list began; false if
// there is none.
func (t *Table) ListAge(now time.Time) (time.Duration, bool) {
	return now.Sub(t.lastList), !t.lastList.IsZero()
}

func within(now, at time.Time, limit time.Duration) bool {
	return !at.IsZero() && now.Sub(at) <= limit
}

// spreadTicks returns the number of ticks that a change takes to reach all VMs, about
// log2(n).
func (t *Table) spreadTicks() int { return bits.Len(uint(len(t.rows) + 1)) }

// suspectLimit returns how long a suspect has to show a higher beat.
func (t *Table) suspectLimit() time.Duration {
	return time.Duration(suspectTicks+t.spreadTicks()) * Tick
}

// silentLimit returns the time without a beat after which a VM that no one suspects is
// down.
func (t *Table) silentLimit() time.Duration {
	return time.Duration(silentTicks+len(t.rows)) * Tick
}

// ObserveList applies the platform's list, whose read began at askedAt. It adds unknown
// VMs and drops those that are off the list and down or left. It never marks a VM alive or
// dead, since the list lags in both directions.
func (t *Table) ObserveList(now, askedAt time.Time, vms []durable.VM) {
	if askedAt.After(t.lastList) {
		t.lastList = askedAt
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
			t.targetsStale = true
		}
		r.listed, r.leaving = true, vm.Leaving
	}
	t.forget(now)
}

// forget drops rows that are down or left and off the list. It waits for the silent
// limit, so that a late digest doesn't add a dead VM again.
func (t *Table) forget(now time.Time) {
	for id, r := range t.rows {
		ended := r.state == Down || r.state == Left
		if ended && !r.listed && now.Sub(r.changed) > t.silentLimit() {
			delete(t.rows, id)
			t.targetsStale = true
		}
	}
}

// Member is one VM in the view.
type Member struct {
	Digest
	State State
	// Leaving is true if the VM drains, has left, or is about to be removed by the
	// platform.
	Leaving bool
	// Listed is true if the VM is on the platform's last list.
	Listed bool
	// Age is the time since the VM's beat last increased.
	Age time.Duration
}

// Members returns the other VMs sorted by id. Callers check Fresh before they act on
// the result.
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
