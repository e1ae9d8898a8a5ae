package gossip

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

// Config configures a Service.
type Config struct {
	// Self is this VM; Listen opens the socket at Self.Peer.
	Self Member
	// Clock returns the time of a clock that continues while the VM is suspended.
	Clock func() time.Duration
	// Ready reports whether callers may be sent to this VM.
	Ready func() bool
	// PathsLost reports whether this VM has lost its network paths to the endpoints.
	PathsLost func() bool
	// Payload returns this VM's part of the fleet's sums, empty for none.
	Payload func() []byte
	// HandlePayload is called with the payloads of other VMs.
	HandlePayload func(from string, incarnation uint64, payload []byte)
	Log           zerolog.Logger
	// Registerer registers the metrics and Traffic counts the packets; both are required.
	Registerer prometheus.Registerer
	Traffic    *datagram.Traffic
}

// Service sends and receives the datagrams of one VM.
type Service struct {
	cfg         Config
	table       *Table
	socket      *datagram.Socket
	incarnation uint64
	sequence    atomic.Uint64
	trigger     chan struct{}
	received    *prometheus.CounterVec
}

// Listen opens the socket at Self.Peer. It returns an error if the address can't be used.
func Listen(cfg Config) (*Service, error) {
	socket, err := datagram.Listen(cfg.Self.Peer, "gossip", cfg.Traffic)
	if err != nil {
		return nil, err
	}
	s := &Service{
		cfg: cfg, table: NewTable(cfg.Self), socket: socket, incarnation: rand.Uint64(), trigger: make(chan struct{}, 1),
		received: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "goldcrest_gossip_received_total", Help: "Datagrams from other VMs, by result.",
		}, []string{"result"}),
	}
	cfg.Registerer.MustRegister(s.received)
	return s, nil
}

// Channel opens a channel of the socket for another purpose; see datagram.Socket.Channel. It must
// be called before Run.
func (s *Service) Channel(tag byte, purpose string, handle func(b []byte, from string)) datagram.Channel {
	return s.socket.Channel(tag, purpose, handle)
}

// Table returns the state of the other VMs.
func (s *Service) Table() *Table { return s.table }

// Incarnation returns the number that identifies this run of the VM's process.
func (s *Service) Incarnation() uint64 { return s.incarnation }

// TriggerRound makes Run send a round at once, for example when this VM stops being ready.
func (s *Service) TriggerRound() {
	select {
	case s.trigger <- struct{}{}:
	default:
	}
}

// Run sends rounds and receives datagrams until ctx is done, then closes the socket.
func (s *Service) Run(ctx context.Context) {
	var receiver sync.WaitGroup
	receiver.Go(func() {
		s.socket.Run(ctx, s.handle, func(error) { s.received.WithLabelValues("failed").Inc() })
	})
	defer receiver.Wait()
	rng := rand.New(rand.NewPCG(s.incarnation, 0))
	t := time.NewTicker(Interval)
	defer t.Stop()
	for {
		s.send(rng)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-s.trigger:
		}
	}
}

// send sends the datagrams of a round.
func (s *Service) send(rng *rand.Rand) {
	payload := s.cfg.Payload()
	for _, b := range s.table.Round(s.cfg.Clock(), rng, len(payload) > 0) {
		s.sendTo(b.To, payload, b.Others, b.Reports)
	}
}

func (s *Service) sendTo(to []string, payload []byte, others []Member, reports Reports) {
	m := Message{
		From: s.cfg.Self, Incarnation: s.incarnation, Sequence: s.sequence.Add(1), Ready: s.cfg.Ready(), PathsLost: s.cfg.PathsLost(),
		Payload: payload, Others: others, Reports: reports,
	}
	b, err := cbor.Marshal(&m)
	if err != nil || len(b) > datagram.MaxPacketSize {
		// The datagram must be sent even if the payload is too large, or the other VMs would
		// consider this one dead.
		s.cfg.Log.Warn().Err(err).Int("bytes", len(b)).Msg("datagram without its payload")
		m.Payload = nil
		if b, err = cbor.Marshal(&m); err != nil {
			return
		}
	}
	for _, peer := range to {
		if err := s.socket.Send(b, peer); err != nil {
			s.cfg.Log.Warn().Err(err).Str("peer", peer).Msg("can't parse the peer's address")
		}
	}
}

// handle processes a received datagram.
func (s *Service) handle(b []byte, _ string) {
	var m Message
	if err := cbor.Unmarshal(b, &m); err != nil {
		s.received.WithLabelValues("unreadable").Inc()
		return
	}
	ok, newIncarnation := s.table.Apply(s.cfg.Clock(), &m)
	if !ok {
		s.received.WithLabelValues("old").Inc()
		return
	}
	s.received.WithLabelValues("taken").Inc()
	if newIncarnation {
		// A VM that starts needs peers to read from at once; the next round may be 400 ms away.
		s.sendTo([]string{m.From.Peer}, s.cfg.Payload(), nil, nil)
	}
	if len(m.Payload) > 0 {
		s.cfg.HandlePayload(m.From.Name, m.Incarnation, m.Payload)
	}
}
