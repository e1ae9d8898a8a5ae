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

// Config sets a service.
type Config struct {
	Self  Member
	Clock func() time.Duration
	// Ready says whether callers may be sent here.
	Ready func() bool
	// Payload is what this VM adds to the fleet's sums; Take receives others'.
	Payload func() []byte
	Take    func(from string, life uint64, payload []byte)
	Log     zerolog.Logger
	// Registerer takes the metrics and Traffic counts the packets; both required.
	Registerer prometheus.Registerer
	Traffic    *datagram.Traffic
}

// Service sends and receives the datagrams of one VM.
type Service struct {
	cfg      Config
	table    *Table
	socket   *datagram.Socket
	life     uint64
	sequence atomic.Uint64
	nudge    chan struct{}
	received *prometheus.CounterVec
}

// Listen opens the socket at Self.Peer.
func Listen(cfg Config) (*Service, error) {
	socket, err := datagram.Listen(cfg.Self.Peer, "gossip", cfg.Traffic)
	if err != nil {
		return nil, err
	}
	s := &Service{
		cfg: cfg, table: NewTable(cfg.Self), socket: socket, life: rand.Uint64(), nudge: make(chan struct{}, 1),
		received: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "goldcrest_gossip_received_total", Help: "Datagrams from other VMs, by what became of them.",
		}, []string{"result"}),
	}
	cfg.Registerer.MustRegister(s.received)
	return s, nil
}

// Channel opens another use of the socket; call it before Run.
func (s *Service) Channel(tag byte, purpose string, take func(b []byte, from string)) datagram.Channel {
	return s.socket.Channel(tag, purpose, take)
}

// Table is what the service knows.
func (s *Service) Table() *Table { return s.table }

// Nudge sends a round now, as when this VM stops being ready.
func (s *Service) Nudge() {
	select {
	case s.nudge <- struct{}{}:
	default:
	}
}

// Run sends rounds and receives until the context ends.
func (s *Service) Run(ctx context.Context) {
	var receiver sync.WaitGroup
	receiver.Go(func() {
		s.socket.Run(ctx, s.take, func(error) { s.received.WithLabelValues("failed").Inc() })
	})
	defer receiver.Wait()
	rng := rand.New(rand.NewPCG(s.life, 0))
	t := time.NewTicker(Interval)
	defer t.Stop()
	for {
		s.send(rng)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-s.nudge:
		}
	}
}

// send sends a round.
func (s *Service) send(rng *rand.Rand) {
	payload := s.cfg.Payload()
	for _, b := range s.table.Round(s.cfg.Clock(), rng, len(payload) > 0) {
		s.sendTo(b.To, payload, b.Others, b.Words)
	}
}

func (s *Service) sendTo(to []string, payload []byte, others []Member, words Words) {
	m := Message{
		From: s.cfg.Self, Life: s.life, Sequence: s.sequence.Add(1), Ready: s.cfg.Ready(),
		Payload: payload, Others: others, Words: words,
	}
	b, err := cbor.Marshal(&m)
	if err != nil || len(b) > datagram.Largest {
		// A payload that grew too large must not cost the word that this VM lives.
		s.cfg.Log.Warn().Err(err).Int("bytes", len(b)).Msg("datagram without its payload")
		m.Payload = nil
		if b, err = cbor.Marshal(&m); err != nil {
			return
		}
	}
	for _, peer := range to {
		if err := s.socket.Send(b, peer); err != nil {
			s.cfg.Log.Warn().Err(err).Str("peer", peer).Msg("peer's address can't be read")
		}
	}
}

// take takes one datagram.
func (s *Service) take(b []byte, _ string) {
	var m Message
	if err := cbor.Unmarshal(b, &m); err != nil {
		s.received.WithLabelValues("unreadable").Inc()
		return
	}
	ok, met := s.table.Heard(s.cfg.Clock(), &m)
	if !ok {
		s.received.WithLabelValues("old").Inc()
		return
	}
	s.received.WithLabelValues("taken").Inc()
	if met {
		// A VM that starts needs to know whom to read from; a round may be 400 ms away.
		s.sendTo([]string{m.From.Peer}, s.cfg.Payload(), nil, nil)
	}
	if len(m.Payload) > 0 {
		s.cfg.Take(m.From.Name, m.Life, m.Payload)
	}
}
