package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"goldcrestfork/durable"
	"goldcrestfork/fleet/gossip"
	"goldcrestfork/gateway/view"
)

const (
	// announcePause is the pause between attempts to write this VM's entry or to read the others.
	announcePause = 500 * time.Millisecond
	// entriesInterval is the time between two looks at the entries for each VM that this one hears, so
	// that the calls of a fleet don't grow with its size, within minEntriesInterval and
	// maxEntriesInterval.
	entriesInterval    = 500 * time.Millisecond
	minEntriesInterval = 5 * time.Second
	maxEntriesInterval = gossip.ForgetAfter / 4
	// renewalInterval is how long a known VM is silent before this one writes its unchanged entry
	// again, and the time between two such writes. VMs that don't hear this one see by them that it
	// runs, before they forget it.
	renewalInterval = gossip.ForgetAfter / 4
)

// entries is what this VM knows of the VMs' entries at the platform.
type entries struct {
	mu        sync.Mutex
	own       ownEntry
	revisions map[string]int64 // of the entries of all VMs, as last read
	counted   [2]int           // entries and VMs heard, as last logged
}

// ownEntry is what this VM knows of its own entry.
type ownEntry struct {
	// revision is that of the entry which this incarnation of the VM wrote, 0 for none. replaces is that of an
	// entry by another incarnation, which the next write replaces; 0 for none.
	revision, replaces int64
	unsure             bool // the result of the last write isn't known
	withdrawn          bool // this VM stops, and its entry is not to be written again
	writtenAt          time.Duration
	renewals           int
}

// isMissing reports whether the platform lacks the entry of this incarnation, as far as is known.
func (o ownEntry) isMissing() bool { return o.revision == 0 }

// target returns the revision of the entry that the next write replaces, 0 for none.
func (o ownEntry) target() int64 { return max(o.revision, o.replaces) }

// state returns what is known of this VM's own entry.
func (e *entries) state() ownEntry {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.own
}

// announce enters this VM among the VMs and watches their entries.
func (n *Node) announce(ctx context.Context) {
	n.enterFleet(ctx)
	n.watchEntries(ctx)
}

// enterFleet reads the entries of the VMs and writes this VM's own, whose incarnation says which run of the
// process wrote it. Without an entry of an earlier incarnation, by which others know this VM, it then reads a
// list that includes its own entry. Of two VMs that start together at least one then reads the other's
// entry, and its datagrams inform the other, so that no watch is needed. At the first start of a fleet
// there are no entries yet, and the write comes first.
func (n *Node) enterFleet(ctx context.Context) {
	recent, list := n.p.VMs().Recent, n.p.VMs().List
	if n.s.FirstStart {
		time.AfterFunc(maxDiscoveryTime, n.startFollowers)
	} else {
		n.startFollowers()
		n.retry(ctx, "read VMs", func(c context.Context) error { return n.readMembers(c, recent) })
	}
	known := n.entries.state().replaces != 0
	n.retry(ctx, "announce", n.writeEntry)
	if !known {
		n.retry(ctx, "read VMs", func(c context.Context) error { return n.readMembers(c, recent) })
	}
	if !known && !n.entries.isListed(n.s.VM) {
		// The list is older than this VM's entry and may lack the entries of VMs that started at
		// the same time.
		n.retry(ctx, "read VMs", func(c context.Context) error { return n.readMembers(c, list) })
	}
	if n.s.FirstStart {
		sleep(ctx, discoveryTime)
	}
	n.startFollowers()
}

// maxDiscoveryTime ends the discovery of other VMs if the platform doesn't return their
// entries: the platform may still serve other calls, and VMs that know this one send it
// datagrams.
const maxDiscoveryTime = discoveryTime + time.Second

// startFollowers lets the followers begin.
func (n *Node) startFollowers() { n.peersKnownOnce.Do(func() { close(n.peersKnown) }) }

// entry returns this VM's entry.
func (n *Node) entry() gossip.Entry {
	return gossip.Entry{Member: n.self(), Incarnation: n.gossip.Incarnation(), Renewals: n.entries.state().renewals}
}

// writeEntry writes this VM's entry. After a call whose result isn't known, or that met an entry by
// another writer, it reads the entries first.
func (n *Node) writeEntry(ctx context.Context) error {
	err := n.writeEntryOnce(ctx)
	if errors.Is(err, durable.ErrConflict) || errors.Is(err, durable.ErrNotFound) {
		err = n.writeEntryOnce(ctx)
	}
	return err
}

func (n *Node) writeEntryOnce(ctx context.Context) error {
	e := &n.entries
	switch own := e.state(); {
	case own.withdrawn:
		return nil
	case own.unsure:
		if err := n.readMembers(ctx, n.p.VMs().List); err != nil {
			return err
		}
		if !e.state().isMissing() {
			return nil // the call was executed
		}
	}
	revision, err := n.p.Announce(ctx, n.entry(), e.state().target())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.own.unsure = err != nil
	if err == nil {
		e.own.revision, e.own.replaces, e.own.writtenAt = revision, 0, bootClock()
	}
	return err
}

// isListed reports whether the last list named a VM.
func (e *entries) isListed(vm string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.revisions[vm] != 0
}

// withdraw deletes this VM's entry.
func (n *Node) withdraw(ctx context.Context) error {
	n.entries.mu.Lock()
	n.entries.own.withdrawn = true
	n.entries.mu.Unlock()
	if own := n.entries.state(); own.unsure || own.isMissing() {
		if err := n.readMembers(ctx, n.p.VMs().List); err != nil {
			return err
		}
		if n.entries.state().isMissing() {
			return nil
		}
	}
	return n.p.Withdraw(ctx, n.s.VM, n.entries.state().target())
}

// readMembers learns the other VMs from their entries, and whether this VM's own entry stands.
func (n *Node) readMembers(ctx context.Context, list func(context.Context) (view.Listing[gossip.Entry], error)) error {
	l, err := list(ctx)
	if err != nil {
		return err
	}
	for i := range l.Items {
		if it := &l.Items[i]; it.Err != nil {
			n.log.Warn().Str("vm", it.Name).Err(it.Err).Msg("a VM's entry can't be read")
		}
	}
	if lost := n.entries.apply(bootClock(), n.gossip.Table(), n.entry(), &l); lost != "" {
		n.log.Warn().Int64("listed", l.Revision).Msg(lost)
	}
	n.membersRead.Store(true)
	n.gossip.TriggerRound()
	return nil
}

// apply applies a list of the entries. want is this VM's entry as it should be. The result says, for the
// log, why the entry that this VM wrote stands no more; "" if it stands.
func (e *entries) apply(now time.Duration, table *gossip.Table, want gossip.Entry, l *view.Listing[gossip.Entry]) (lost string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found *view.Item[gossip.Entry]
	read := make(map[string]int64, len(l.Items))
	for i := range l.Items {
		it := &l.Items[i]
		last := e.revisions[it.Name]
		read[it.Name] = max(it.Revision, last) // this list may be older than the last one
		switch {
		case it.Name == want.Name:
			found = it
		case it.Err == nil:
			learnEntry(now, table, it, last)
		}
	}
	e.revisions = read
	table.EntriesRead(now)
	return e.checkOwn(found, want, l.Revision)
}

// learnEntry learns a VM from its entry, which was last seen at the given revision; 0 for never. A VM that
// has written its entry since runs, even if this VM doesn't hear it. One that hasn't, and that this VM
// has forgotten, gets a datagram: it counts again once it answers.
func learnEntry(now time.Duration, table *gossip.Table, it *view.Item[gossip.Entry], last int64) {
	switch {
	case last == 0:
		table.Learn(now, it.Value.Member)
	case it.Revision > last:
		table.Confirm(now, it.Value.Member)
	default:
		table.Probe(it.Value.Member)
	}
}

// checkOwn compares this VM's entry, nil for none, in a list of the given revision with what this VM
// wrote. A list that is older than its last write says nothing. Callers hold e.mu.
func (e *entries) checkOwn(found *view.Item[gossip.Entry], want gossip.Entry, listed int64) (lost string) {
	own := &e.own
	stood := !own.isMissing()
	switch {
	case listed < own.revision:
		return ""
	case found == nil:
		own.revision, own.replaces = 0, 0
		lost = "this VM's entry is missing"
	case found.Err == nil && found.Value.Incarnation == want.Incarnation && found.Value.Member == want.Member:
		own.revision, own.replaces, own.unsure = found.Revision, 0, false
		return ""
	default:
		own.revision, own.replaces = 0, found.Revision
		lost = "this VM's entry is by another writer"
	}
	if !stood {
		return ""
	}
	return lost
}

// watchEntries looks at the entries of all VMs from time to time, so that VMs that lost each other find
// each other again, and writes this VM's own if it is gone or has to be renewed.
func (n *Node) watchEntries(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, n.nextLook())
		if wait, ask := n.sourcePolicy.Turn(); ctx.Err() != nil || n.stopping.Load() || wait > 0 || !ask {
			continue
		}
		n.lookAtEntries(ctx)
	}
}

// nextLook returns the time until the next look at the entries, which differs between VMs.
func (n *Node) nextLook() time.Duration {
	heard := time.Duration(len(n.gossip.Table().Alive(bootClock())))
	d := min(max(heard*entriesInterval, minEntriesInterval), maxEntriesInterval)
	return d*3/4 + rand.N(d/2)
}

func (n *Node) lookAtEntries(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, durable.CallTimeout)
	defer cancel()
	err := n.readMembers(c, n.p.VMs().Recent)
	if err == nil {
		n.noteFleet()
		if n.entries.state().isMissing() || n.entries.needsRenewal(bootClock(), n.gossip.Table()) {
			err = n.writeEntry(c)
		}
	}
	if err != nil && !errors.Is(err, durable.ErrConflict) {
		n.log.Info().Err(err).Msg("look at the VMs' entries failed")
	}
}

// needsRenewal reports whether this VM shows that it runs by another write of its entry, and counts it.
func (e *entries) needsRenewal(now time.Duration, table *gossip.Table) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now-e.own.writtenAt < renewalInterval || !table.HasSilent(now, renewalInterval) {
		return false
	}
	e.own.renewals++
	return true
}

// noteFleet logs the number of VMs that this one hears if it differs from the number of entries.
func (n *Node) noteFleet() {
	heard := len(n.gossip.Table().Alive(bootClock()))
	e := &n.entries
	e.mu.Lock()
	defer e.mu.Unlock()
	counted := [2]int{len(e.revisions), heard}
	if counted != e.counted && counted[0] != counted[1] {
		n.log.Info().Int("entries", counted[0]).Int("heard", counted[1]).Msg("VMs heard differ from the entries")
	}
	e.counted = counted
}

func (n *Node) retry(ctx context.Context, what string, call func(context.Context) error) {
	for ctx.Err() == nil {
		if wait, ask := n.sourcePolicy.Turn(); wait > 0 || !ask {
			sleep(ctx, announcePause)
			continue
		}
		c, cancel := context.WithTimeout(ctx, durable.CallTimeout)
		err := call(c)
		cancel()
		if err == nil {
			return
		}
		n.log.Warn().Str("call", what).Err(err).Msg("platform call failed")
		sleep(ctx, announcePause)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
