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
	// Interval is the time between two rounds of datagrams. A VM that stops is out of
	// the others' answers after freshRounds of them.
	Interval = 400 * time.Millisecond
	// fanout bounds the datagrams of a round, so that their number stays flat as VMs are added.
	fanout = 12
	// freshRounds is how many rounds to a VM may be missed: one datagram in a hundred
	// is lost, and a paused process misses a round.
	freshRounds = 4
	// centreSilence is how long nothing may be heard of any of a data centre's VMs,
	// leastSilent or more, before none of them is named: two datagrams of each are missing
	// then, and that all of them were lost by chance is less likely than the end of one VM.
	centreSilence = 2*Interval + Interval/2
	leastSilent   = 2
	// forgotten is how long a silent VM is still sent a datagram now and then: it may
	// have been cut off rather than gone.
	forgotten = 2 * time.Minute
	// farFanout bounds those that go to other data centres, where bytes are billed: what is
	// heard there is passed on within.
	farFanout = 4
	// farWords is how often in a round each VM of a data centre is spoken of to each other one,
	// on the mean: one datagram in a hundred is lost, and words are drawn at random.
	farWords = 3
	// maxNamed bounds the members whose addresses a datagram gives, and maxNamedLarge does in
	// a fleet that is larger than a round reaches: 60 bytes each.
	maxNamed      = 4
	maxNamedLarge = 2
	// A datagram says of one in wordsShare members, drawn at random, when they were heard: what
	// a VM says of itself to twelve others must be passed on by more than one of them to as many.
	// mostWords bounds them for a datagram of one frame.
	wordsShare = 4
	leastWords = 24
	mostWords  = 160
	// secondHandRounds is how many rounds more a VM may be silent in a fleet that is
	// larger than a round reaches, where most is heard at second hand.
	secondHandRounds = 3
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
	// Words say when the sender heard others, at first or second hand.
	Words Words `cbor:"7,keyasint,omitempty"`
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
	marks map[uint32]*peer
}

// NewTable returns a table for a VM that knows no others.
func NewTable(self Member) *Table {
	return &Table{self: self, peers: make(map[string]*peer), marks: make(map[uint32]*peer)}
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
			t.add(&peer{Member: m, learnt: now})
		} else if p.heard == 0 {
			p.Member = m
		}
	}
}

func (t *Table) add(p *peer) {
	t.peers[p.Name] = p
	t.marks[markOf(p.Name)] = p
}

// Heard takes a message; ok is false for one that is older than what is known. met says
// that it is the first of a new life, whose VM knows nobody and waits for an answer.
func (t *Table) Heard(now time.Duration, m *Message) (ok, met bool) {
	if m.From.Name == "" || m.From.Name == t.self.Name {
		return false, false
	}
	t.mu.Lock()
	p := t.peers[m.From.Name]
	if p == nil {
		p = &peer{Member: m.From, learnt: now}
		t.add(p)
	}
	if p.life == m.Life && p.sequence >= m.Sequence {
		t.mu.Unlock()
		return false, false
	}
	met = p.life != m.Life
	p.Member, p.life, p.sequence, p.ready, p.heard = m.From, m.Life, m.Sequence, m.Ready, now
	t.takeWords(now, m.Words)
	t.mu.Unlock()
	t.Learn(now, m.Others...)
	return true, met
}

// takeWords takes what others heard later than this VM did. A word's age counts from
// the VM's own datagram, so that passing it on keeps nobody alive. Callers hold t.mu.
func (t *Table) takeWords(now time.Duration, words Words) {
	for w := range words.all() {
		if p := t.marks[w.mark]; p != nil && now-w.age > p.heard {
			p.heard, p.ready = now-w.age, w.ready
		}
	}
}

// fresh is how long a VM counts as alive after it was heard. Callers hold t.mu.
func (t *Table) fresh() time.Duration {
	rounds := freshRounds
	if len(t.peers) > fanout {
		rounds += secondHandRounds
	}
	return time.Duration(rounds) * Interval
}

// Usable returns the VMs that callers may be sent to, this one not included; those of
// the given data centre first.
func (t *Table) Usable(now time.Duration, dataCentre string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	silent := t.silentCentres(now)
	var out []Member
	for _, p := range t.peers {
		if p.ready && p.heard != 0 && now-p.heard < t.fresh() && !silent[p.DataCentre] {
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

// silentCentres are other data centres whose VMs all fell silent at once, as when one loses
// power or is cut off. Callers that were sent there would each wait a second for a
// connection; together the VMs are missed sooner than one alone may be. Callers hold t.mu.
func (t *Table) silentCentres(now time.Duration) map[string]bool {
	type centre struct {
		vms   int
		heard time.Duration
	}
	centres := make(map[string]centre)
	for _, p := range t.peers {
		if p.heard == 0 || now-p.heard >= t.fresh() {
			continue
		}
		c := centres[p.DataCentre]
		c.vms++
		c.heard = max(c.heard, p.heard)
		centres[p.DataCentre] = c
	}
	out := make(map[string]bool)
	for name, c := range centres {
		if name != t.self.DataCentre && c.vms >= leastSilent && now-c.heard >= centreSilence {
			out[name] = true
		}
	}
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

// Batch is one datagram of a round and who gets it.
type Batch struct {
	To     []string
	Others []Member // members to name in it
	Words  Words    // on some that are heard
}

// Round returns what to send this round. VMs that were not sent to for longest come first.
// Words to other data centres are of this one's VMs, which these hear of nowhere else. wide
// says that this VM has something to add to the fleet's sums, which others don't pass on: the
// round then goes to all data centres alike.
func (t *Table) Round(now time.Duration, rng *rand.Rand, wide bool) []Batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due, alive, own []*peer
	for name, p := range t.peers {
		if now-max(p.heard, p.learnt) > forgotten {
			delete(t.peers, name)
			delete(t.marks, markOf(name))
			continue
		}
		live := p.heard != 0 && now-p.heard < t.fresh()
		if live || now-p.sent >= silentEvery || now-p.learnt < t.fresh() {
			due = append(due, p)
		}
		if live {
			alive = append(alive, p)
		}
		if live && p.DataCentre == t.self.DataCentre {
			own = append(own, p)
		}
	}
	// In an order of its own: VMs that start together would all send to the same ones at a time.
	shuffle(rng, due)
	slices.SortStableFunc(due, func(a, b *peer) int { return cmp.Compare(a.sent, b.sent) })
	near, far := t.spread(due, wide)
	var out []Batch
	for _, part := range []struct{ to, about []*peer }{{near, alive}, {far, own}} {
		if len(part.to) == 0 {
			continue
		}
		batch := Batch{}
		for _, p := range part.to {
			p.sent = now
			batch.To = append(batch.To, p.Peer)
		}
		shuffle(rng, part.about)
		batch.Others, batch.Words = t.tell(now, part.about)
		out = append(out, batch)
	}
	return out
}

func shuffle(rng *rand.Rand, peers []*peer) {
	slices.SortFunc(peers, func(a, b *peer) int { return strings.Compare(a.Name, b.Name) })
	rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}

// tell is what a datagram says of some members, in random order. Callers hold t.mu.
func (t *Table) tell(now time.Duration, about []*peer) (others []Member, words Words) {
	named := maxNamed
	if len(t.peers) > fanout {
		named = maxNamedLarge
	}
	for _, p := range about[:min(named, len(about))] {
		others = append(others, p.Member)
	}
	if len(t.peers) <= fanout {
		return others, nil // all are heard at first hand
	}
	for _, p := range about[:min(t.words(), len(about))] {
		words = words.add(word{mark: markOf(p.Name), age: now - p.heard, ready: p.ready})
	}
	return others, words
}

// words is how many members a datagram speaks of. Callers hold t.mu.
func (t *Table) words() int { return min(max(len(t.peers)/wordsShare, leastWords), mostWords) }

// spread takes a round's receivers from those that are due, in the order given: mostly from
// this VM's data centre, or without distinction if wide. Callers hold t.mu.
func (t *Table) spread(due []*peer, wide bool) (near, far []*peer) {
	if wide || len(due) <= fanout {
		return due[:min(fanout, len(due))], nil
	}
	for _, p := range due {
		if p.DataCentre == t.self.DataCentre {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	n := min(len(near), fanout-min(t.farShare(), len(far)))
	return near[:n], far[:min(len(far), fanout-n, t.farShare())]
}

// farShare is how many datagrams of a round go to other data centres. Callers hold t.mu.
func (t *Table) farShare() int {
	own, centres := 1, map[string]bool{}
	for _, p := range t.peers {
		if p.DataCentre == t.self.DataCentre {
			own++
		} else {
			centres[p.DataCentre] = true
		}
	}
	told := min(own, t.words())
	return min((farWords*len(centres)+told-1)/told, farFanout)
}
