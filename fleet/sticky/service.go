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
	// askTimeout is how long an attempt waits for the keepers' answers: several round trips
	// between the data centres of a region.
	askTimeout = 20 * time.Millisecond
	// maxAttempts bounds how often a keeper is asked; one datagram in a hundred is lost.
	maxAttempts = 2
)

// Config configures a Service.
type Config struct {
	// Self is this VM's name in rings.
	Self string
	// Clock returns the time of a clock that continues while the VM is suspended.
	Clock func() time.Duration
	// Ring returns the ring of the VMs that can be keepers now.
	Ring func() *Ring
	// Send sends a packet to a keeper's address. The packet may be lost without an error.
	Send func(b []byte, to string) error
	Log  zerolog.Logger
	// Registerer registers the metrics; it is required.
	Registerer prometheus.Registerer
}

// kind is the type of a message.
type kind uint8

const (
	kindHold    kind = iota + 1 // a Hold; answered by kindHeld
	kindHeld                    // a HoldResult
	kindSet                     // a Hold whose proposal is Set; has no answer
	kindRelease                 // a Release; has no answer
	kindReplica                 // a Replica; has no answer
)

// message is the content of a packet.
type message struct {
	Kind      kind   `cbor:"1,keyasint"`
	From      string `cbor:"2,keyasint,omitempty"`
	RequestID uint64 `cbor:"3,keyasint,omitempty"`
	Key       Key    `cbor:"4,keyasint,omitempty"`
	Holder    uint64 `cbor:"5,keyasint,omitempty"`
	Value     Value  `cbor:"6,keyasint,omitempty"`
	KeepForMs int64  `cbor:"7,keyasint,omitempty"`
	Rank      uint8  `cbor:"8,keyasint,omitempty"`
	// Age is used in kindHeld and kindReplica.
	Age time.Duration `cbor:"9,keyasint,omitempty"`
}

// maxRetention bounds the times that other VMs send.
const maxRetention = time.Hour

// retention returns KeepForMs as a duration, limited to the range from 0 to maxRetention.
func (m *message) retention() time.Duration {
	return time.Duration(min(max(m.KeepForMs, 0), maxRetention.Milliseconds())) * time.Millisecond
}

func (m *message) hold() Hold {
	return Hold{Key: m.Key, Holder: m.Holder, MaxDuration: m.retention(), Proposal: m.Value, Rank: m.Rank}
}

// Service asks the keepers of keys, and stores the keys of which this VM is a keeper.
type Service struct {
	cfg   Config
	store *Store
	holds *prometheus.CounterVec

	mu       sync.Mutex
	waiting  map[uint64]chan HoldResult
	lastRing *Ring // ring at the last Rebalance, nil before the first
}

// New returns a service. Packets from other VMs must be passed to Receive.
func New(cfg Config) *Service {
	s := &Service{cfg: cfg, store: NewStore(), waiting: make(map[uint64]chan HoldResult), holds: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "goldcrest_sticky_holds_total", Help: "Queries for a key's value, by result.",
	}, []string{"result"})}
	cfg.Registerer.MustRegister(s.holds)
	return s
}

// Hold holds the key at its keepers and returns its value; ok is false if no keeper answered. It
// waits for at most maxAttempts*askTimeout, and no longer than ctx.
func (s *Service) Hold(ctx context.Context, h Hold) (out HoldResult, ok bool) {
	keepers := s.cfg.Ring().Keepers(h.Key)
	answers := s.ask(ctx, keepers, h)
	if len(answers) == 0 {
		s.holds.WithLabelValues("silent").Inc()
		return HoldResult{}, false
	}
	// The decision of the highest rank wins; at the same rank, the keeper that has known the key
	// for longest: the other one may have lost its memory and stored a proposal since.
	out = slices.MaxFunc(answers, func(a, b HoldResult) int { return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Age, b.Age)) })
	if out.Age > 0 {
		s.holds.WithLabelValues("known").Inc()
	} else {
		s.holds.WithLabelValues("new").Inc()
	}
	s.correct(keepers, answers, h, out)
	return out, true
}

// ask returns the answers in the order of keepers. It asks silent keepers again unless another
// one knows the key.
func (s *Service) ask(ctx context.Context, keepers []Keeper, h Hold) []HoldResult {
	id, in := s.register()
	defer s.unregister(id)
	got := make(map[string]HoldResult)
	knows := func() bool {
		for _, a := range got {
			if a.Age > 0 {
				return true
			}
		}
		return false
	}
	for attempt := 0; attempt < maxAttempts && len(got) < len(keepers) && !knows() && ctx.Err() == nil; attempt++ {
		for _, k := range keepers {
			if _, ok := got[k.Name]; !ok {
				s.askKeeper(k, id, h, got)
			}
		}
		s.collect(ctx, in, got, len(keepers))
	}
	var out []HoldResult
	for _, k := range keepers {
		if a, ok := got[k.Name]; ok {
			out = append(out, a)
		}
	}
	return out
}

// askKeeper sends the query to one keeper. If that is this VM, the answer is added to got at once.
func (s *Service) askKeeper(k Keeper, id uint64, h Hold, got map[string]HoldResult) {
	if k.Name == s.cfg.Self {
		a := s.store.Hold(s.cfg.Clock(), h)
		a.Keeper = k.Name
		got[k.Name] = a
		return
	}
	s.send(k, message{Kind: kindHold, RequestID: id, Key: h.Key, Holder: h.Holder, Value: h.Proposal, KeepForMs: h.MaxDuration.Milliseconds()})
}

// collect adds answers to got until all keepers have answered, for at most askTimeout.
func (s *Service) collect(ctx context.Context, in <-chan HoldResult, got map[string]HoldResult, keepers int) {
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

// correct sends the right value to the keepers that answered with another one, and to silent ones
// that may have stored the proposal instead.
func (s *Service) correct(keepers []Keeper, answers []HoldResult, h Hold, right HoldResult) {
	for _, k := range keepers {
		answered := h.Proposal
		if i := slices.IndexFunc(answers, func(a HoldResult) bool { return a.Keeper == k.Name }); i >= 0 {
			answered = answers[i].Value
		}
		if answered != right.Value {
			s.sendReplica(k, Replica{Key: h.Key, Value: right.Value, Rank: right.Rank, Age: max(right.Age, 1), Retention: h.MaxDuration})
		}
	}
}

// Set holds the key and makes the proposal its value at both keepers, unless they know a decision
// of a higher rank. It doesn't wait for the keepers.
func (s *Service) Set(h Hold) {
	for _, k := range s.cfg.Ring().Keepers(h.Key) {
		s.deliver(k, message{Kind: kindSet, Key: h.Key, Holder: h.Holder, Value: h.Proposal, Rank: h.Rank, KeepForMs: h.MaxDuration.Milliseconds()})
	}
}

// sendReplica sends the state of a key to a keeper.
func (s *Service) sendReplica(k Keeper, c Replica) {
	s.deliver(k, message{Kind: kindReplica, Key: c.Key, Value: c.Value, Rank: c.Rank, Age: c.Age, KeepForMs: c.Retention.Milliseconds()})
}

// Release ends a hold at both keepers. It doesn't wait for them.
func (s *Service) Release(r Release) {
	for _, k := range s.cfg.Ring().Keepers(r.Key) {
		s.deliver(k, message{Kind: kindRelease, Key: r.Key, Holder: r.Holder, Value: r.Value, KeepForMs: r.Retention.Milliseconds()})
	}
}

// HandOver sends the keys of this VM to their keepers on a ring without this VM, and returns the
// number of keys.
func (s *Service) HandOver(ring *Ring) int {
	all := s.store.Replicas(s.cfg.Clock())
	for _, c := range all {
		for _, k := range ring.Keepers(c.Key) {
			s.sendReplica(k, c)
		}
	}
	return len(all)
}

// Rebalance sends the keys of this VM to the VMs that became their keepers since the last call,
// because another keeper left or because they started. A VM that starts has no keys.
func (s *Service) Rebalance() {
	ring := s.cfg.Ring()
	s.mu.Lock()
	last := s.lastRing
	s.lastRing = ring
	s.mu.Unlock()
	if last == nil || last.equal(ring) {
		return
	}
	for _, c := range s.store.Replicas(s.cfg.Clock()) {
		before := last.Keepers(c.Key)
		for _, k := range ring.Keepers(c.Key) {
			if !slices.Contains(before, k) {
				s.sendReplica(k, c)
			}
		}
	}
}

// Sweep removes expired keys and returns how many are left at this VM.
func (s *Service) Sweep() int { return s.store.Sweep(s.cfg.Clock()) }

// deliver passes a message that has no answer to a keeper, which may be this VM.
func (s *Service) deliver(k Keeper, m message) {
	if k.Name == s.cfg.Self {
		s.apply(&m)
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
		s.cfg.Log.Warn().Err(err).Str("address", address).Msg("can't send the message about a key")
	}
}

// Receive processes a packet from another VM; from is the address for the answer.
func (s *Service) Receive(b []byte, from string) {
	var m message
	if err := cbor.Unmarshal(b, &m); err != nil {
		s.holds.WithLabelValues("unreadable").Inc()
		return
	}
	switch m.Kind {
	case kindHold:
		a := s.store.Hold(s.cfg.Clock(), m.hold())
		s.sendTo(from, message{Kind: kindHeld, RequestID: m.RequestID, Value: a.Value, Rank: a.Rank, Age: a.Age})
	case kindHeld:
		s.mu.Lock()
		in := s.waiting[m.RequestID]
		s.mu.Unlock()
		select {
		case in <- HoldResult{Value: m.Value, Rank: m.Rank, Age: m.Age, Keeper: m.From}:
		default: // late, or of another incarnation of this VM
		}
	default:
		s.apply(&m)
	}
}

// apply applies a message that has no answer to the store.
func (s *Service) apply(m *message) {
	now := s.cfg.Clock()
	switch m.Kind {
	case kindSet:
		s.store.Set(now, m.hold())
	case kindReplica:
		s.store.Merge(now, Replica{Key: m.Key, Value: m.Value, Rank: m.Rank, Age: min(max(m.Age, 1), maxRetention), Retention: m.retention()})
	case kindRelease:
		s.store.Release(now, Release{Key: m.Key, Holder: m.Holder, Value: m.Value, Retention: m.retention()})
	}
}

// register registers a query under a new ID, whose answers arrive on in.
func (s *Service) register() (id uint64, in chan HoldResult) {
	id, in = rand.Uint64(), make(chan HoldResult, replicas*maxAttempts)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[id] = in
	return id, in
}

// unregister ends a query; later answers are dropped.
func (s *Service) unregister(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
}
