package sticky

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

const (
	// askTimeout is how long keepers have to answer before they are asked once more: some
	// round trips between data centres of a region.
	askTimeout = 20 * time.Millisecond
	// tries is how often keepers are asked; one datagram in a hundred is lost.
	tries = 2
)

// Config sets a service.
type Config struct {
	// Self is this VM's name in rings.
	Self  string
	Clock func() time.Duration
	// Ring returns the VMs that keep keys now.
	Ring func() *Ring
	// Send sends a packet without word of its arrival.
	Send func(b []byte, to string) error
	Log  zerolog.Logger
	// Registerer takes the metrics; required.
	Registerer prometheus.Registerer
}

// kind says what a message is.
type kind uint8

const (
	hold    kind = iota + 1 // a question, which holds the key
	held                    // its answer
	set                     // a hold that decides, without an answer
	release                 // the end of a hold
	known                   // what another keeper knows
)

// message is one packet.
type message struct {
	Kind      kind   `cbor:"1,keyasint"`
	From      string `cbor:"2,keyasint,omitempty"`
	Ask       uint64 `cbor:"3,keyasint,omitempty"`
	Key       Key    `cbor:"4,keyasint,omitempty"`
	Holder    uint64 `cbor:"5,keyasint,omitempty"`
	Value     Value  `cbor:"6,keyasint,omitempty"`
	KeepForMs int64  `cbor:"7,keyasint,omitempty"`
	Rank      uint8  `cbor:"8,keyasint,omitempty"`
	// Age is in an answer, and in what another keeper knows.
	Age time.Duration `cbor:"9,keyasint,omitempty"`
}

// longestKeep bounds what another VM may ask for.
const longestKeep = time.Hour

func (m *message) keepFor() time.Duration {
	return time.Duration(min(max(m.KeepForMs, 0), longestKeep.Milliseconds())) * time.Millisecond
}

func (m *message) hold() Hold {
	return Hold{Key: m.Key, Holder: m.Holder, Longest: m.keepFor(), Proposal: m.Value, Rank: m.Rank}
}

// Service is one VM's part: it asks keepers, and keeps keys.
type Service struct {
	cfg   Config
	board *Board
	holds *prometheus.CounterVec

	mu      sync.Mutex
	waiting map[uint64]chan Held
	last    *Ring // of the last Rebalance
}

// New returns a service; packets from other VMs go to Receive.
func New(cfg Config) *Service {
	s := &Service{cfg: cfg, board: NewBoard(), waiting: make(map[uint64]chan Held), holds: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "goldcrest_sticky_holds_total", Help: "Questions for a key's value, by what became of them.",
	}, []string{"result"})}
	cfg.Registerer.MustRegister(s.holds)
	return s
}

// Hold asks the key's keepers; ok is false where none answered. It waits tries*askTimeout
// at most, and no longer than ctx.
func (s *Service) Hold(ctx context.Context, h Hold) (out Held, ok bool) {
	keepers := s.cfg.Ring().Keepers(h.Key)
	answers := s.ask(ctx, keepers, h)
	if len(answers) == 0 {
		s.holds.WithLabelValues("silent").Inc()
		return Held{}, false
	}
	// The latest decision; else the keeper that has known the key for longest: another one
	// may have lost its memory and taken a proposal since.
	out = slices.MaxFunc(answers, func(a, b Held) int { return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Age, b.Age)) })
	if out.Age > 0 {
		s.holds.WithLabelValues("known").Inc()
	} else {
		s.holds.WithLabelValues("new").Inc()
	}
	s.correct(keepers, answers, h, out)
	return out, true
}

// ask returns the answers by the keepers' rank. Keepers that are silent are asked again
// unless another one knows the key.
func (s *Service) ask(ctx context.Context, keepers []Keeper, h Hold) []Held {
	ask, in := s.await()
	defer s.forget(ask)
	got := make(map[string]Held)
	knows := func() bool {
		for _, a := range got {
			if a.Age > 0 {
				return true
			}
		}
		return false
	}
	for try := 0; try < tries && len(got) < len(keepers) && !knows() && ctx.Err() == nil; try++ {
		for _, k := range keepers {
			if _, ok := got[k.Name]; !ok {
				s.question(k, ask, h, got)
			}
		}
		s.collect(ctx, in, got, len(keepers))
	}
	var out []Held
	for _, k := range keepers {
		if a, ok := got[k.Name]; ok {
			out = append(out, a)
		}
	}
	return out
}

// question asks one keeper; this VM answers itself at once.
func (s *Service) question(k Keeper, ask uint64, h Hold, got map[string]Held) {
	if k.Name == s.cfg.Self {
		a := s.board.Hold(s.cfg.Clock(), h)
		a.Keeper = k.Name
		got[k.Name] = a
		return
	}
	s.send(k, message{Kind: hold, Ask: ask, Key: h.Key, Holder: h.Holder, Value: h.Proposal, KeepForMs: h.Longest.Milliseconds()})
}

// collect takes answers until all keepers' came, for askTimeout at most.
func (s *Service) collect(ctx context.Context, in <-chan Held, got map[string]Held, keepers int) {
	t := time.NewTimer(askTimeout)
	defer t.Stop()
	for len(got) < keepers {
		select {
		case a := <-in:
			if _, ok := got[a.Keeper]; !ok {
				got[a.Keeper] = a
			}
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// correct tells the value to the keepers that answered otherwise, or may have taken the
// proposal instead.
func (s *Service) correct(keepers []Keeper, answers []Held, h Hold, right Held) {
	for _, k := range keepers {
		has := h.Proposal
		if i := slices.IndexFunc(answers, func(a Held) bool { return a.Keeper == k.Name }); i >= 0 {
			has = answers[i].Value
		}
		if has != right.Value {
			s.copyTo(k, Copy{Key: h.Key, Value: right.Value, Rank: right.Rank, Age: max(right.Age, 1), Rest: h.Longest})
		}
	}
}

// Set makes the proposal the key's value, where no decision of a higher rank did.
func (s *Service) Set(h Hold) {
	for _, k := range s.cfg.Ring().Keepers(h.Key) {
		s.tell(k, message{Kind: set, Key: h.Key, Holder: h.Holder, Value: h.Proposal, Rank: h.Rank, KeepForMs: h.Longest.Milliseconds()})
	}
}

// copyTo gives a keeper what is known of a key.
func (s *Service) copyTo(k Keeper, c Copy) {
	s.tell(k, message{Kind: known, Key: c.Key, Value: c.Value, Rank: c.Rank, Age: c.Age, KeepForMs: c.Rest.Milliseconds()})
}

// Release ends a hold.
func (s *Service) Release(r Release) {
	for _, k := range s.cfg.Ring().Keepers(r.Key) {
		s.tell(k, message{Kind: release, Key: r.Key, Holder: r.Holder, Value: r.Value, KeepForMs: r.Rest.Milliseconds()})
	}
}

// HandOver gives what this VM knows to the keepers on a ring without it, and returns how
// many keys that were.
func (s *Service) HandOver(ring *Ring) int {
	all := s.board.All(s.cfg.Clock())
	for _, c := range all {
		for _, k := range ring.Keepers(c.Key) {
			s.copyTo(k, c)
		}
	}
	return len(all)
}

// Rebalance gives what this VM knows to VMs that became keepers of it since the last call,
// by others' end or by their own start; one that starts knows nothing.
func (s *Service) Rebalance() {
	ring := s.cfg.Ring()
	s.mu.Lock()
	last := s.last
	s.last = ring
	s.mu.Unlock()
	if last == nil || last.same(ring) {
		return
	}
	for _, c := range s.board.All(s.cfg.Clock()) {
		before := last.Keepers(c.Key)
		for _, k := range ring.Keepers(c.Key) {
			if !slices.Contains(before, k) {
				s.copyTo(k, c)
			}
		}
	}
}

// Sweep forgets keys that are over, and returns how many are left.
func (s *Service) Sweep() int { return s.board.Sweep(s.cfg.Clock()) }

// tell gives a message without an answer to a keeper, which may be this VM.
func (s *Service) tell(k Keeper, m message) {
	if k.Name == s.cfg.Self {
		s.keep(&m)
		return
	}
	s.send(k, m)
}

func (s *Service) send(k Keeper, m message) { s.sendTo(k.Address, m) }

func (s *Service) sendTo(address string, m message) {
	m.From = s.cfg.Self
	b, err := cbor.Marshal(&m)
	if err == nil {
		err = s.cfg.Send(b, address)
	}
	if err != nil {
		s.cfg.Log.Warn().Err(err).Str("address", address).Msg("message on a key can't be sent")
	}
}

// Receive takes a packet of another VM.
func (s *Service) Receive(b []byte, from string) {
	var m message
	if err := cbor.Unmarshal(b, &m); err != nil {
		s.holds.WithLabelValues("unreadable").Inc()
		return
	}
	switch m.Kind {
	case hold:
		a := s.board.Hold(s.cfg.Clock(), m.hold())
		s.sendTo(from, message{Kind: held, Ask: m.Ask, Value: a.Value, Rank: a.Rank, Age: a.Age})
	case held:
		s.mu.Lock()
		in := s.waiting[m.Ask]
		s.mu.Unlock()
		select {
		case in <- Held{Value: m.Value, Rank: m.Rank, Age: m.Age, Keeper: m.From}:
		default: // late, or not for this process
		}
	default:
		s.keep(&m)
	}
}

// keep takes a message that has no answer.
func (s *Service) keep(m *message) {
	now := s.cfg.Clock()
	switch m.Kind {
	case set:
		s.board.Set(now, m.hold())
	case known:
		s.board.Copy(now, Copy{Key: m.Key, Value: m.Value, Rank: m.Rank, Age: min(max(m.Age, 1), longestKeep), Rest: m.keepFor()})
	case release:
		s.board.Release(now, Release{Key: m.Key, Holder: m.Holder, Value: m.Value, Rest: m.keepFor()})
	}
}

// await opens a question.
func (s *Service) await() (ask uint64, in chan Held) {
	ask, in = rand.Uint64(), make(chan Held, copies*tries)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[ask] = in
	return ask, in
}

func (s *Service) forget(ask uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, ask)
}
