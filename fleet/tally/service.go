package tally

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"goldcrestfork/fleet/datagram"
)

const (
	// askTimeout is how long a request waits for its keeper's answer: some round trips
	// in a data centre, and nothing beside the two seconds that callers give an engine.
	askTimeout = 10 * time.Millisecond
	// shun is how long a keeper that did not answer isn't asked: one in a hundred
	// datagrams is lost, so that it must be short, and a dead VM is out of the list of
	// keepers after two seconds.
	shun = 500 * time.Millisecond
	// refresh is how often a VM with work under way reports when nothing changes.
	refresh = 500 * time.Millisecond
	// between is the time between two summaries to other data centres. At 60 endpoints
	// and four data centres 100 ms make 16 KB/s over all of them.
	between = 100 * time.Millisecond
)

// Keeper is a VM that may keep the tally of its data centre.
type Keeper struct {
	Name    string
	Address string // ip:port of its tally
}

// Config sets a service.
type Config struct {
	// Self is this VM; Address is where its tally listens.
	Self    string
	Address string
	Clock   func() time.Duration
	// Keepers are the VMs of this data centre that may keep its tally, this one
	// included, in the order that all VMs agree on as far as they know the same VMs.
	Keepers func() []Keeper
	// Others are the first keepers of the other data centres.
	Others func() []Keeper
	// State is what this VM has under way and keeps away from.
	State func() State
	// Apply takes what all others say.
	Apply func(State)
	// Outcomes are what this VM's attempts told of the endpoints lately.
	Outcomes func() []Outcomes
	// ApplyOutcomes takes the sums over all VMs; endpoints that aren't named failed nothing.
	ApplyOutcomes func([]Outcomes)
	Log           zerolog.Logger
	// Registerer takes the metrics and Traffic counts the packets; both required.
	Registerer prometheus.Registerer
	Traffic    *datagram.Traffic
}

// kind says what a message is.
type kind uint8

const (
	report        kind = iota + 1 // a VM's work under way; with Ask set, a question as well
	totals                        // the answer: the work of all others
	summary                       // a data centre's sums, for the other keepers
	outcomes                      // what a VM's attempts told lately; answered by fleetOutcomes
	outcomeSums                   // a data centre's sums of outcomes, for the other keepers
	fleetOutcomes                 // the sums over all VMs
)

// message is one datagram.
type message struct {
	Kind     kind   `cbor:"1,keyasint"`
	From     string `cbor:"2,keyasint"`
	Life     uint64 `cbor:"3,keyasint"`
	Sequence uint64 `cbor:"4,keyasint"`
	Ask      uint64 `cbor:"5,keyasint,omitempty"`
	State    State  `cbor:"6,keyasint"`
	// Outcomes is empty in all kinds but those named for it.
	Outcomes []Outcomes `cbor:"7,keyasint,omitempty"`
}

// Service is one VM's part: it asks and reports, and keeps the tally when it is its turn.
type Service struct {
	cfg      Config
	socket   *datagram.Socket
	board    *Board
	life     uint64
	sequence atomic.Uint64
	asks     *prometheus.CounterVec

	mu      sync.Mutex
	waiting map[uint64]chan struct{}
	shunned map[string]time.Duration
	applied uint64 // the newest question whose answer was applied
}

// Listen opens the socket at Address.
func Listen(cfg Config) (*Service, error) {
	socket, err := datagram.Listen(cfg.Address, "load", cfg.Traffic)
	if err != nil {
		return nil, err
	}
	s := &Service{
		cfg: cfg, socket: socket, board: NewBoard(), life: rand.Uint64(),
		waiting: make(map[uint64]chan struct{}), shunned: make(map[string]time.Duration),
		asks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "goldcrest_tally_asks_total", Help: "Questions for the load of the fleet before a choice, by what became of them.",
		}, []string{"result"}),
	}
	cfg.Registerer.MustRegister(s.asks)
	return s, nil
}

// Run receives, refreshes reports and sends summaries until the context ends.
func (s *Service) Run(ctx context.Context) {
	var receiver sync.WaitGroup
	receiver.Go(func() {
		s.socket.Run(ctx, s.receive, func(error) { s.asks.WithLabelValues("failed").Inc() })
	})
	defer receiver.Wait()
	t := time.NewTicker(between)
	defer t.Stop()
	var last time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		s.summarize()
		if now := s.cfg.Clock(); now-last >= refresh {
			last = now
			s.Changed()
			s.tellOutcomes()
		}
	}
}

// keeper is the VM to report to: the first that isn't shunned; ok is false for none.
func (s *Service) keeper() (Keeper, bool) {
	keepers := s.cfg.Keepers()
	now := s.cfg.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range keepers {
		if k.Name == s.cfg.Self || now >= s.shunned[k.Name] {
			return k, true
		}
	}
	return Keeper{}, false
}

// Ask learns what all others have under way, as of now, and waits askTimeout at most.
func (s *Service) Ask(ctx context.Context) {
	k, ok := s.keeper()
	if !ok {
		s.asks.WithLabelValues("nobody").Inc()
		return
	}
	if k.Name == s.cfg.Self {
		s.asks.WithLabelValues("own").Inc()
		s.cfg.Apply(s.board.Totals(s.cfg.Clock(), s.cfg.Self))
		return
	}
	ask := s.sequence.Add(1)
	done := make(chan struct{})
	s.mu.Lock()
	s.waiting[ask] = done
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.waiting, ask)
		s.mu.Unlock()
	}()
	s.send(k, message{Kind: report, Sequence: ask, Ask: ask, State: s.cfg.State()})
	t := time.NewTimer(askTimeout)
	defer t.Stop()
	select {
	case <-done:
		s.asks.WithLabelValues("answered").Inc()
	case <-ctx.Done():
	case <-t.C:
		s.asks.WithLabelValues("silent").Inc()
		s.mu.Lock()
		s.shunned[k.Name] = s.cfg.Clock() + shun
		s.mu.Unlock()
		s.cfg.Log.Debug().Str("keeper", k.Name).Msg("keeper of the tally is silent")
	}
}

// Changed reports what this VM has under way.
func (s *Service) Changed() {
	k, ok := s.keeper()
	if !ok {
		return
	}
	seq := s.sequence.Add(1)
	state := s.cfg.State()
	if k.Name == s.cfg.Self {
		s.board.Report(s.cfg.Clock(), s.cfg.Self, s.life, seq, state)
		return
	}
	s.send(k, message{Kind: report, Sequence: seq, State: state})
}

// summarize tells the other data centres' keepers what this one has under way, if this
// VM keeps its tally.
func (s *Service) summarize() {
	k, ok := s.keeper()
	if !ok || k.Name != s.cfg.Self {
		return
	}
	sums := s.board.Sums(s.cfg.Clock())
	seq := s.sequence.Add(1)
	for _, other := range s.cfg.Others() {
		s.send(other, message{Kind: summary, Sequence: seq, State: State{Work: sums}})
	}
}

func (s *Service) send(k Keeper, m message) { s.sendTo(k.Address, m) }

func (s *Service) sendTo(address string, m message) {
	m.From, m.Life = s.cfg.Self, s.life
	b, err := cbor.Marshal(&m)
	if err == nil {
		err = s.socket.Send(b, address)
	}
	if err != nil {
		s.cfg.Log.Warn().Err(err).Str("address", address).Msg("message of the tally can't be sent")
	}
}

func (s *Service) receive(b []byte, from string) {
	var m message
	if err := cbor.Unmarshal(b, &m); err != nil {
		s.asks.WithLabelValues("unreadable").Inc()
		return
	}
	s.take(from, &m)
}

func (s *Service) take(from string, m *message) {
	now := s.cfg.Clock()
	switch m.Kind {
	case report:
		s.board.Report(now, m.From, m.Life, m.Sequence, m.State)
		if m.Ask != 0 {
			s.sendTo(from, message{Kind: totals, Ask: m.Ask, State: s.board.Totals(now, m.From)})
		}
	case totals:
		s.answer(m)
	case summary:
		s.board.Summary(now, m.From, m.Life, m.Sequence, m.State.Work)
	case outcomes, outcomeSums, fleetOutcomes:
		s.takeOutcomes(now, from, m)
	}
}

// answer applies an answer unless a later question's came first, and wakes its asker.
func (s *Service) answer(m *message) {
	s.mu.Lock()
	done := s.waiting[m.Ask]
	delete(s.waiting, m.Ask)
	newer := done != nil && m.Ask > s.applied
	if newer {
		s.applied = m.Ask
	}
	s.mu.Unlock()
	if done == nil {
		return // late, or not for this process
	}
	if newer {
		s.cfg.Apply(m.State)
	}
	close(done)
}
