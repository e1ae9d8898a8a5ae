package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// Interval is the time between two rounds of datagrams. The other VMs stop naming a
	// silent VM after freshRounds intervals.
	Interval = 400 * time.Millisecond
	// fanout bounds the datagrams that a VM sends in a round, whatever the size of the fleet.
	fanout = 12
	// freshRounds is the number of rounds without a message after which a VM no longer counts
	// as alive: one datagram in a hundred is lost, and a paused process misses a round.
	freshRounds = 4
	// dataCentreSilence is the time without a message from any VM of a data centre after which
	// none of them is named, if it has at least minSilentVMs VMs. By then two datagrams of each
	// are missing; losing all of them by chance is less likely than the failure of one VM.
	dataCentreSilence = 2*Interval + Interval/2
	minSilentVMs      = 2
	// ForgetAfter is the time after which a silent VM is removed, if the platform's entries show no
	// other sign of it either. Until then it is still sent datagrams every silentInterval, since it
	// may be partitioned rather than dead.
	ForgetAfter = 2 * time.Minute
	// remoteFanout bounds the datagrams of a round to other data centres, since that traffic is
	// billed. The receivers forward the reports within their data centre.
	remoteFanout = 4
	// remoteReports is the mean number of reports on each VM of a data centre that are sent to
	// every other data centre in a round. It exceeds one because one datagram in a hundred is
	// lost and the reports are drawn at random.
	remoteReports = 3
	// maxNamed bounds the members whose addresses a datagram contains, 60 bytes each;
	// maxNamedLarge is the bound in a fleet with more peers than fanout.
	maxNamed      = 4
	maxNamedLarge = 2
	// A datagram reports on one in reportShare members, drawn at random, and on at least
	// minReports. A VM sends its own state to only fanout (12) receivers in a round, so several
	// of these must forward it. maxReports keeps the datagram within one frame.
	reportShare = 4
	minReports  = 24
	maxReports  = 160
	// indirectRounds is added to freshRounds in a fleet with more peers than fanout, where most
	// of a VM's state arrives through other VMs.
	indirectRounds = 3
)

// Member is the name and the addresses of a VM.
type Member struct {
	Name       string `cbor:"1,keyasint"`
	Peer       string `cbor:"2,keyasint"` // ip:port for datagrams
	Front      string `cbor:"3,keyasint"` // ip:port for callers
	DataCentre string `cbor:"4,keyasint"`
	// LinkMbps is the bandwidth of the VM's link, 0 if unknown.
	LinkMbps int `cbor:"5,keyasint,omitempty"`
}

// Message is the content of a datagram.
type Message struct {
	From Member `cbor:"1,keyasint"`
	// Incarnation is a random number that identifies one run of the sender's process.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Sequence orders the messages of one incarnation.
	Sequence uint64 `cbor:"3,keyasint"`
	// Ready reports whether callers may be sent to the sender.
	Ready bool `cbor:"4,keyasint"`
	// Payload is the sender's part of the fleet's sums; this package doesn't interpret it.
	Payload []byte `cbor:"5,keyasint,omitempty"`
	// Others are some of the members that the sender knows to be alive.
	Others []Member `cbor:"6,keyasint,omitempty"`
	// Reports holds reports on other VMs, from which the sender received a message itself or on
	// which it received a report.
	Reports Reports `cbor:"7,keyasint,omitempty"`
	// PathsLost reports that the sender has lost its network paths to the endpoints.
	PathsLost bool `cbor:"8,keyasint,omitempty"`
}

// peer is the state of another VM; its times are those of the Table's clock.
type peer struct {
	Member
	incarnation, sequence uint64
	ready                 bool
	pathsLost             bool          // it has lost its network paths to the endpoints
	heardAt               time.Duration // last message, also as known from a report; 0 for never
	learntAt              time.Duration
	sentAt                time.Duration
}

// Table holds a VM's state of all other VMs. It is safe for concurrent use. Methods take the
// current time of a clock that continues while the VM is suspended.
type Table struct {
	self Member

	mu     sync.Mutex
	peers  map[string]*peer
	byHash map[uint32]*peer
	probed []Member      // get one datagram in the next round
	readAt time.Duration // when the platform's entries were last read
	// minorityAt is the time of the last round in which this VM had lost the majority, 0 for none, and
	// minoritySince that of the first round of which this was so.
	minorityAt, minoritySince time.Duration
}

// NewTable returns an empty table of the VM self.
func NewTable(self Member) *Table {
	return &Table{self: self, peers: make(map[string]*peer), byHash: make(map[uint32]*peer)}
}

// Learn records addresses of members that the platform or another VM named. It doesn't change a
// member from which a message or on which a report arrived, and doesn't count as a sign of life.
func (t *Table) Learn(now time.Duration, ms ...Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range ms {
		if m.Name == "" || m.Name == t.self.Name {
			continue
		}
		if p := t.peers[m.Name]; p == nil {
			t.add(&peer{Member: m, learntAt: now})
		} else if p.heardAt == 0 {
			p.Member = m
		}
	}
}

func (t *Table) add(p *peer) {
	t.peers[p.Name] = p
	t.byHash[hashOf(p.Name)] = p
}

// Apply applies a received message; ok is false if a later message of the sender is known.
// newIncarnation reports that the message is the first of an incarnation, whose VM knows no
// others yet and waits for an answer.
func (t *Table) Apply(now time.Duration, m *Message) (ok, newIncarnation bool) {
	if m.From.Name == "" || m.From.Name == t.self.Name {
		return false, false
	}
	t.mu.Lock()
	p := t.peers[m.From.Name]
	if p == nil {
		p = &peer{Member: m.From, learntAt: now}
		t.add(p)
	}
	if p.incarnation == m.Incarnation && p.sequence >= m.Sequence {
		t.mu.Unlock()
		return false, false
	}
	newIncarnation = p.incarnation != m.Incarnation
	p.Member, p.incarnation, p.sequence, p.ready, p.pathsLost, p.heardAt = m.From, m.Incarnation, m.Sequence, m.Ready, m.PathsLost, now
	t.applyReports(now, m.Reports)
	t.mu.Unlock()
	t.Learn(now, m.Others...)
	return true, newIncarnation
}

// applyReports applies reports on VMs that are newer than this VM's own state. A report's age
// counts from the reported VM's own datagram, so that forwarding a report repeatedly doesn't
// make a dead VM look alive. Callers hold t.mu.
func (t *Table) applyReports(now time.Duration, reports Reports) {
	for r := range reports.all() {
		if p := t.byHash[r.hash]; p != nil && now-r.age > p.heardAt {
			p.heardAt, p.ready, p.pathsLost = now-r.age, r.ready, r.pathsLost
		}
	}
}

// freshness returns the time for which a VM counts as alive after its last message. Callers
// hold t.mu.
func (t *Table) freshness() time.Duration {
	rounds := freshRounds
	if len(t.peers) > fanout {
		rounds += indirectRounds
	}
	return time.Duration(rounds) * Interval
}

// Usable returns the VMs that callers may be sent to, without this VM, by name; those of the
// given data centre come first.
func (t *Table) Usable(now time.Duration, dataCentre string) []Member {
	return t.usable(now, dataCentre, func(*peer) bool { return true })
}

// UsableWithPaths returns those VMs of Usable that have not lost their network paths to the endpoints.
func (t *Table) UsableWithPaths(now time.Duration, dataCentre string) []Member {
	return t.usable(now, dataCentre, func(p *peer) bool { return !p.pathsLost })
}

func (t *Table) usable(now time.Duration, dataCentre string, include func(*peer) bool) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	silent := t.silentDataCentres(now)
	var out []Member
	for _, p := range t.peers {
		if include(p) && p.ready && p.heardAt != 0 && now-p.heardAt < t.freshness() && !silent[p.DataCentre] {
			out = append(out, p.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int {
		if near := (b.DataCentre == dataCentre); near != (a.DataCentre == dataCentre) {
			if near {
				return 1
			}
			return -1
		}
		return strings.Compare(a.Name, b.Name)
	})
	return out
}

// silentDataCentres returns the other data centres whose VMs all fell silent at once, as after a
// loss of power or a partition. Callers that were sent there would each wait a second for a
// connection, and a whole data centre is detected sooner than a single VM can be. Callers hold
// t.mu.
func (t *Table) silentDataCentres(now time.Duration) map[string]bool {
	type centre struct {
		vms   int
		heard time.Duration
	}
	centres := make(map[string]centre)
	for _, p := range t.peers {
		if p.heardAt == 0 || now-p.heardAt >= t.freshness() {
			continue
		}
		c := centres[p.DataCentre]
		c.vms++
		c.heard = max(c.heard, p.heardAt)
		centres[p.DataCentre] = c
	}
	out := make(map[string]bool)
	for name, c := range centres {
		if name != t.self.DataCentre && c.vms >= minSilentVMs && now-c.heard >= dataCentreSilence {
			out[name] = true
		}
	}
	return out
}

// Peers returns the VMs to read from, without this VM: the usable ones, or all that are alive
// while fewer than half of those are usable, as when a fleet starts.
func (t *Table) Peers(now time.Duration) []Member {
	ready := t.Usable(now, "")
	t.mu.Lock()
	defer t.mu.Unlock()
	var heard []Member
	for _, p := range t.peers {
		if p.heardAt != 0 && now-p.heardAt < t.freshness() {
			heard = append(heard, p.Member)
		}
	}
	if 2*len(ready) >= len(heard) {
		return ready
	}
	return heard
}

// silentInterval is the time between two datagrams to a VM that isn't alive.
const silentInterval = 5 * Interval

// Batch is the content of a datagram of a round and its receivers.
type Batch struct {
	To      []string // addresses
	Others  []Member // members to name
	Reports Reports  // on some of the VMs that are alive
}

// Round returns the datagrams of a round. It prefers the receivers whose last datagram is the
// oldest. Datagrams to other data centres report on the VMs of this one, about which those have
// no other source. allDataCentres is set when this VM has a payload, which others don't
// forward: the round then doesn't prefer the receivers in this data centre.
func (t *Table) Round(now time.Duration, rng *rand.Rand, allDataCentres bool) []Batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hasLost(now) && !t.seesMajority(now) {
		if t.minorityAt == 0 || now-t.minorityAt >= settleTime {
			t.minoritySince = now
		}
		t.minorityAt = now
	}
	var due, alive, own []*peer
	for name, p := range t.peers {
		if t.readAt-max(p.heardAt, p.learntAt) > ForgetAfter {
			delete(t.peers, name)
			delete(t.byHash, hashOf(name))
			continue
		}
		live := p.heardAt != 0 && now-p.heardAt < t.freshness()
		if live || now-p.sentAt >= silentInterval || now-p.learntAt < t.freshness() {
			due = append(due, p)
		}
		if live {
			alive = append(alive, p)
		}
		if live && p.DataCentre == t.self.DataCentre {
			own = append(own, p)
		}
	}
	// The order differs between VMs: in a common order, VMs that start together would all send
	// to the same receivers at the same time.
	shuffle(rng, due)
	slices.SortStableFunc(due, func(a, b *peer) int { return cmp.Compare(a.sentAt, b.sentAt) })
	local, remote := t.selectReceivers(due, allDataCentres)
	var out []Batch
	for _, part := range []struct{ to, about []*peer }{{local, alive}, {remote, own}} {
		if len(part.to) == 0 {
			continue
		}
		batch := Batch{}
		for _, p := range part.to {
			p.sentAt = now
			batch.To = append(batch.To, p.Peer)
		}
		shuffle(rng, part.about)
		batch.Others, batch.Reports = t.describe(now, part.about)
		out = append(out, batch)
	}
	return t.addProbes(now, out, alive)
}

// shuffle puts peers, which come from a map, into an order that depends only on rng.
func shuffle(rng *rand.Rand, peers []*peer) {
	slices.SortFunc(peers, func(a, b *peer) int { return strings.Compare(a.Name, b.Name) })
	rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}

// describe returns the members that a datagram names and the reports that it contains, for a
// list of peers in random order. Callers hold t.mu.
func (t *Table) describe(now time.Duration, about []*peer) (others []Member, reports Reports) {
	named := maxNamed
	if len(t.peers) > fanout {
		named = maxNamedLarge
	}
	for _, p := range about[:min(named, len(about))] {
		others = append(others, p.Member)
	}
	if len(t.peers) <= fanout {
		return others, nil // every VM sends to all others itself
	}
	for _, p := range about[:min(t.reportCount(), len(about))] {
		reports = reports.add(report{hash: hashOf(p.Name), age: now - p.heardAt, ready: p.ready, pathsLost: p.pathsLost})
	}
	return others, reports
}

// reportCount returns the number of members that a datagram reports on. Callers hold t.mu.
func (t *Table) reportCount() int { return min(max(len(t.peers)/reportShare, minReports), maxReports) }

// selectReceivers takes a round's receivers from the peers that are due, in the given order:
// mostly from this VM's data centre (local). If allDataCentres is set or the fanout reaches all of
// them, local has the receivers of all data centres and remote is empty. Callers hold t.mu.
func (t *Table) selectReceivers(due []*peer, allDataCentres bool) (local, remote []*peer) {
	if allDataCentres || len(due) <= fanout {
		return due[:min(fanout, len(due))], nil
	}
	for _, p := range due {
		if p.DataCentre == t.self.DataCentre {
			local = append(local, p)
		} else {
			remote = append(remote, p)
		}
	}
	n := min(len(local), fanout-min(t.remoteCount(), len(remote)))
	return local[:n], remote[:min(len(remote), fanout-n, t.remoteCount())]
}

// remoteCount returns the number of datagrams of a round to other data centres. Callers hold
// t.mu.
func (t *Table) remoteCount() int {
	own, centres := 1, map[string]bool{}
	for _, p := range t.peers {
		if p.DataCentre == t.self.DataCentre {
			own++
		} else {
			centres[p.DataCentre] = true
		}
	}
	reported := min(own, t.reportCount())
	return min((remoteReports*len(centres)+reported-1)/reported, remoteFanout)
}
