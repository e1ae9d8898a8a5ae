package gossip

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// Interval is the time between two rounds of datagrams. A VM that stops is out of
	// the others' answers after freshRounds of them.
	Interval = 400 * time.Millisecond
	// fanout bounds the datagrams of a round, so that a VM's cost stays flat as VMs are
	// added: 12 of about 300 bytes each 400 ms are 9 KB/s.
	fanout = 12
	// freshRounds is how many rounds to a VM may be missed: one datagram in a hundred
	// is lost, and a paused process misses a round.
	freshRounds = 4
	// forgotten is how long a silent VM is still sent a datagram now and then: it may
	// have been cut off rather than gone.
	forgotten = 2 * time.Minute
	// known bounds the other members that a datagram names.
	maxNamed = 4
)

// Member is one VM as others reach it.
type Member struct {
	Name       string `cbor:"1,keyasint"`
	Peer       string `cbor:"2,keyasint"` // ip:port for datagrams
	Front      string `cbor:"3,keyasint"` // ip:port for callers
	DataCentre string `cbor:"4,keyasint"`
}

// Message is one datagram.
type Message struct {
	From Member `cbor:"1,keyasint"`
	// Life tells one process of a VM from the next.
	Life uint64 `cbor:"2,keyasint"`
	// Sequence orders the messages of one life.
	Sequence uint64 `cbor:"3,keyasint"`
	// Ready says that callers may be sent here.
	Ready bool `cbor:"4,keyasint"`
	// Payload is what the VM adds to the fleet's sums; opaque here.
	Payload []byte `cbor:"5,keyasint,omitempty"`
	// Others are members that the sender heard lately, a few at a time.
	Others []Member `cbor:"6,keyasint,omitempty"`
}

type peer struct {
	Member
	life, sequence uint64
	ready          bool
	heard          time.Duration // 0 for never
	learnt         time.Duration
	sent           time.Duration
}

// Table is what one VM knows of the others. It is safe for concurrent use; time is an
// argument, on a clock that runs while the VM is suspended.
type Table struct {
	self Member

	mu    sync.Mutex
	peers map[string]*peer
}

// NewTable returns a table for a VM that knows no others.
func NewTable(self Member) *Table {
	return &Table{self: self, peers: make(map[string]*peer)}
}

// Learn takes members' addresses from the platform or another VM's word.
func (t *Table) Learn(now time.Duration, ms ...Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range ms {
		if m.Name == "" || m.Name == t.self.Name {
			continue
		}
		if p := t.peers[m.Name]; p == nil {
			t.peers[m.Name] = &peer{Member: m, learnt: now}
		} else if p.heard == 0 {
			p.Member = m
		}
	}
}

// Heard takes a message. It returns false for one that is older than what is known.
func (t *Table) Heard(now time.Duration, m *Message) bool {
	if m.From.Name == "" || m.From.Name == t.self.Name {
		return false
	}
	t.mu.Lock()
	p := t.peers[m.From.Name]
	if p == nil {
		p = &peer{learnt: now}
		t.peers[m.From.Name] = p
	}
	if p.life == m.Life && p.sequence >= m.Sequence {
		t.mu.Unlock()
		return false
	}
	p.Member, p.life, p.sequence, p.ready, p.heard = m.From, m.Life, m.Sequence, m.Ready, now
	t.mu.Unlock()
	t.Learn(now, m.Others...)
	return true
}

// fresh is how long a VM counts as alive after it was heard. Callers hold t.mu.
func (t *Table) fresh() time.Duration {
	rounds := (len(t.peers) + fanout - 1) / fanout
	return time.Duration(freshRounds*max(rounds, 1)) * Interval
}

// Usable returns the VMs that callers may be sent to, this one not included; those of
// the given data centre first.
func (t *Table) Usable(now time.Duration, dataCentre string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Member
	for _, p := range t.peers {
		if p.ready && p.heard != 0 && now-p.heard < t.fresh() {
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

// Peers returns the VMs to read from, this one not included: those that are ready, or
// while a fleet starts and most aren't yet, all that are heard.
func (t *Table) Peers(now time.Duration) []Member {
	ready := t.Usable(now, "")
	t.mu.Lock()
	defer t.mu.Unlock()
	var heard []Member
	for _, p := range t.peers {
		if p.heard != 0 && now-p.heard < t.fresh() {
			heard = append(heard, p.Member)
		}
	}
	if 2*len(ready) >= len(heard) {
		return ready
	}
	return heard
}

// Alive is the number of VMs that are heard, this one included.
func (t *Table) Alive(now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 1
	for _, p := range t.peers {
		if p.heard != 0 && now-p.heard < t.fresh() {
			n++
		}
	}
	return n
}

// Names returns the VMs that are heard, this one included, in order.
func (t *Table) Names(now time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []string{t.self.Name}
	for _, p := range t.peers {
		if p.heard != 0 && now-p.heard < t.fresh() {
			out = append(out, p.Name)
		}
	}
	slices.Sort(out)
	return out
}

// silentEvery is how often a VM that isn't heard is sent a datagram.
const silentEvery = 5 * Interval

// Round returns whom to send this round's message, and members to name in it. VMs
// that were not sent to for longest come first.
func (t *Table) Round(now time.Duration, rng *rand.Rand) (to []string, others []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []*peer
	for name, p := range t.peers {
		last := max(p.heard, p.learnt)
		if now-last > forgotten {
			delete(t.peers, name)
			continue
		}
		if now-last < t.fresh() || now-p.sent >= silentEvery {
			due = append(due, p)
		}
		if p.heard != 0 && now-p.heard < t.fresh() {
			others = append(others, p.Member)
		}
	}
	slices.SortFunc(due, func(a, b *peer) int {
		if a.sent != b.sent {
			return int(a.sent/time.Millisecond) - int(b.sent/time.Millisecond)
		}
		return strings.Compare(a.Name, b.Name)
	})
	for _, p := range due[:min(fanout, len(due))] {
		p.sent = now
		to = append(to, p.Peer)
	}
	rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return to, others[:min(maxNamed, len(others))]
}
