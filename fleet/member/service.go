package member

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"goldcrestfork/durable"
	"goldcrestfork/fleet/peer"
)

const (
	// listInterval is the time between two reads of the platform's list. At 15 s, 400
	// VMs make 27 of the platform's 2,000 reads a second; heartbeats carry the changes
	// in between.
	listInterval = 15 * time.Second
	// isolatedListInterval replaces listInterval while no peer answers, so that an
	// isolated VM stays fresh by the list.
	isolatedListInterval = 2 * time.Second
)

// methodLeave is the peer method that receives a VM's last message.
const methodLeave = "member.leave"

// leaveTimeout bounds the last messages, so that unreachable peers don't delay a stop.
const leaveTimeout = 2 * time.Second

// Link is the part of peer.Link that the service uses.
type Link interface {
	Send(peer.Target, []byte)
	OnDatagram(peer.DatagramHandler)
	Register(method string, h peer.Handler)
	Call(ctx context.Context, t peer.Target, method string, body []byte) ([]byte, error)
}

// Lister is the part of durable.Store that the service uses.
type Lister interface {
	VMs(ctx context.Context) ([]durable.VM, error)
}

// Options configure a Service.
type Options struct {
	Self  Self
	Link  Link
	Store Lister
	// Registerer registers the metrics; nil registers none.
	Registerer prometheus.Registerer
	Log        zerolog.Logger
}

// Service runs a Table: it sends the pings, receives the messages and reads the
// platform's list.
type Service struct {
	link  Link
	store Lister
	log   zerolog.Logger

	messages  *prometheus.CounterVec
	malformed prometheus.Counter

	mu    sync.Mutex
	table *Table
	fresh bool
}

// NewService creates the service and starts to receive datagrams and calls from the
// link. Run starts the pings.
func NewService(o Options) *Service {
	s := &Service{link: o.Link, store: o.Store, log: o.Log, table: NewTable(time.Now(), o.Self)}
	s.register(o.Registerer)
	o.Link.OnDatagram(s.receive)
	o.Link.Register(methodSync, s.serveSync)
	o.Link.Register(methodLeave, s.serveLeave)
	return s
}

func (s *Service) register(r prometheus.Registerer) {
	// goldcrest_member_messages_total by direction (out, in).
	s.messages = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "goldcrest_member_messages_total", Help: "Heartbeats by direction."}, []string{"direction"})
	// goldcrest_member_malformed_total: heartbeats that could not be decoded.
	s.malformed = prometheus.NewCounter(prometheus.CounterOpts{Name: "goldcrest_member_malformed_total", Help: "Heartbeats that could not be decoded."})
	if r == nil {
		return
	}
	r.MustRegister(s.messages, s.malformed)
	gauge := func(name, help string, value func() float64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	// goldcrest_member_fresh_bool: 1 while this VM may act on its views.
	gauge("goldcrest_member_fresh_bool", "1 while this VM may act on its views.", func() float64 {
		if s.Fresh(time.Now()) {
			return 1
		}
		return 0
	})
	// goldcrest_member_alive_total: VMs seen alive, without this one.
	gauge("goldcrest_member_alive_total", "VMs seen alive.", func() float64 {
		return float64(s.Dump(time.Now()).States[Alive.String()])
	})
}

// Run pings, reads the list and synchronises with peers until the context ends.
func (s *Service) Run(ctx context.Context) {
	var others sync.WaitGroup
	defer others.Wait()
	others.Go(func() { s.pollList(ctx) })
	others.Go(func() { s.runSync(ctx) })
	ticker := time.NewTicker(Tick)
	defer ticker.Stop()
	for {
		s.tick(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) tick(now time.Time) {
	s.mu.Lock()
	out := s.table.Tick(now)
	fresh := s.table.Fresh(now)
	changed := fresh != s.fresh
	s.fresh = fresh
	s.mu.Unlock()
	if changed {
		s.log.Info().Bool("fresh", fresh).Msg("membership freshness changed")
	}
	s.send(out)
}

func (s *Service) send(out []Outgoing) {
	for _, o := range out {
		data, err := o.Message.Encode()
		if err != nil {
			panic("member: own message does not encode: " + err.Error())
		}
		s.messages.WithLabelValues("out").Inc()
		s.link.Send(o.To, data)
	}
}

func (s *Service) receive(from string, payload []byte, reply func([]byte)) {
	m, err := Decode(payload)
	if err != nil {
		s.malformed.Inc()
		return
	}
	s.messages.WithLabelValues("in").Inc()
	s.mu.Lock()
	answer, ok := s.table.Receive(time.Now(), from, m)
	s.mu.Unlock()
	if !ok {
		return
	}
	data, err := answer.Encode()
	if err != nil {
		panic("member: own message does not encode: " + err.Error())
	}
	s.messages.WithLabelValues("out").Inc()
	reply(data)
}

// pollList reads the platform's list at intervals until the context ends.
func (s *Service) pollList(ctx context.Context) {
	for {
		asked := time.Now()
		call, cancel := context.WithTimeout(ctx, durable.CallTimeout)
		vms, err := s.store.VMs(call)
		cancel()
		wait := listInterval
		s.mu.Lock()
		if err == nil {
			s.table.ObserveList(time.Now(), asked, vms)
		}
		if age, ok := s.table.PeerContact(time.Now()); !ok || age > FreshLimit {
			wait = isolatedListInterval
		}
		s.mu.Unlock()
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// Leave tells the pinged VMs that this VM stops; it is the last step of a planned stop.
// It uses calls, since a datagram may still wait in the socket when the process ends,
// and callers would then be sent to this VM until its silence is detected. It returns
// when all peers have answered, or after leaveTimeout.
func (s *Service) Leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	s.mu.Lock()
	out := s.table.Leave()
	s.mu.Unlock()
	var calls sync.WaitGroup
	for _, o := range out {
		data, err := o.Message.Encode()
		if err != nil {
			panic("member: own message does not encode: " + err.Error())
		}
		calls.Go(func() {
			if _, err := s.link.Call(ctx, o.To, methodLeave, data); err != nil {
				s.log.Info().Err(err).Str("vm", o.To.ID).Msg("peer not notified that this VM leaves")
			}
		})
	}
	calls.Wait()
}

// serveLeave receives the last message of a VM.
func (s *Service) serveLeave(_ context.Context, from string, body []byte) ([]byte, error) {
	m, err := Decode(body)
	if err != nil {
		s.malformed.Inc()
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Receive(time.Now(), from, m)
	return nil, nil
}

// Drain announces, from the next tick on, that this VM accepts no new callers.
func (s *Service) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Drain()
}

// Update sets the values that the heartbeats publish: the configuration revision, the
// slot epoch, and the load in thousandths.
func (s *Service) Update(revision int64, epoch uint64, load uint16) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Update(revision, epoch, load)
}

// Self returns this VM's digest.
func (s *Service) Self() Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Self()
}

// Members returns Table.Members.
func (s *Service) Members(now time.Time) []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Members(now)
}

// Fresh returns Table.Fresh.
func (s *Service) Fresh(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Fresh(now)
}

// ListAge returns Table.ListAge.
func (s *Service) ListAge(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.ListAge(now)
}

// Dump is membership's part of the state dump.
type Dump struct {
	Self  Digest
	Fresh bool
	// States is the number of other VMs by the name of their state.
	States map[string]int
	// Targets are the ids of the VMs that are pinged each tick.
	Targets []string
	Counts  Counts
	Members []Member
}

// Dump returns the state of the service at now.
func (s *Service) Dump(now time.Time) Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := Dump{
		Self:    s.table.self,
		Fresh:   s.table.Fresh(now),
		States:  make(map[string]int),
		Targets: append([]string(nil), s.table.targets...),
		Counts:  s.table.Counts,
		Members: s.table.Members(now),
	}
	for _, m := range d.Members {
		d.States[m.State.String()]++
	}
	return d
}
