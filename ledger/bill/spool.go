package bill

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"

	"goldcrestfork/durable"
)

const (
	// DefaultKept bounds the bills in memory. Grounds: at the size designed for a
	// VM has 30 a second, so this outlasts an outage of an hour in about 20 MB.
	DefaultKept = 120_000
	// batchBills bounds a batch far below durable.MaxValue.
	batchBills = 4000
	// foldAfter is the age at which a minute may be summed up. Grounds: longer
	// than all but the longest requests; later bills are still counted, at the
	// price of summing their minute again.
	foldAfter = 15 * time.Minute
	// tooLate is the age from which a batch is dropped and counted as lost: its
	// minute may be purged, and sums made anew would miss all that was purged.
	tooLate = 48 * time.Hour
)

// Settings of a Spool.
type Settings struct {
	// VM and Incarnation make the names of batches unique.
	VM          string
	Incarnation uint64
	// Kept bounds the bills in memory; default DefaultKept.
	Kept int
}

// Spool holds bills until they are written. A VM that dies loses those that it
// had not flushed; nothing is ever written twice under two names.
type Spool struct {
	store    durable.Store
	settings Settings
	metrics  *metrics

	// sending admits one flush at a time.
	sending sync.Mutex

	mu     sync.Mutex
	fresh  map[time.Time][]Bill // by minute, not yet in a batch
	unsent []batch
	held   int // bills in fresh and unsent
	number uint64
}

type metrics struct {
	written prometheus.Counter // goldcrest_bills_written_total: bills that the store has
	lost    prometheus.Counter // goldcrest_bills_lost_total: bills dropped, the spool being full or they too late
	batches prometheus.Counter // goldcrest_bill_batches_total: objects written
	spooled prometheus.Gauge   // goldcrest_bills_spooled: bills in memory
}

func newMetrics(r prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	m := &metrics{
		written: counter("goldcrest_bills_written_total", "Bills that the store has."),
		lost:    counter("goldcrest_bills_lost_total", "Bills dropped since the spool was full or they came too late."),
		batches: counter("goldcrest_bill_batches_total", "Batches of bills written."),
		spooled: prometheus.NewGauge(prometheus.GaugeOpts{Name: "goldcrest_bills_spooled", Help: "Bills in memory."}),
	}
	if r != nil {
		r.MustRegister(m.written, m.lost, m.batches, m.spooled)
	}
	return m
}

// NewSpool returns an empty spool. Metrics are registered with r unless it is nil.
func NewSpool(store durable.Store, r prometheus.Registerer, s Settings) *Spool {
	if s.Kept == 0 {
		s.Kept = DefaultKept
	}
	return &Spool{store: store, settings: s, metrics: newMetrics(r), fresh: map[time.Time][]Bill{}}
}

// Add takes a bill over; false says that the spool is full and the bill lost.
func (s *Spool) Add(b Bill) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held >= s.settings.Kept {
		s.metrics.lost.Inc()
		return false
	}
	minute := b.Accepted.UTC().Truncate(time.Minute)
	s.fresh[minute] = append(s.fresh[minute], b)
	s.hold(1)
	return true
}

// hold counts bills in or out. Callers hold s.mu.
func (s *Spool) hold(n int) {
	s.held += n
	s.metrics.spooled.Set(float64(s.held))
}

// Run flushes every interval until the context ends.
func (s *Spool) Run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_ = s.Flush(ctx) // what it leaves, the next tick takes up
		}
	}
}

// Flush writes all bills held. What the store did not take stays, under the
// same names, so that a write whose reply was lost is only repeated.
func (s *Spool) Flush(ctx context.Context) error {
	s.sending.Lock()
	defer s.sending.Unlock()
	if err := s.close(); err != nil {
		return err
	}
	for {
		b, ok := s.first()
		if !ok {
			return nil
		}
		if time.Since(b.Minute) >= tooLate {
			s.sent(b, s.metrics.lost)
			continue
		}
		if err := s.send(ctx, b); err != nil {
			return trace.Wrap(err, "writing bills")
		}
		s.sent(b, s.metrics.written)
		s.metrics.batches.Inc()
	}
}

// close puts fresh bills into batches.
func (s *Spool) close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for minute, bills := range s.fresh {
		for len(bills) > 0 {
			n := min(len(bills), batchBills)
			value, err := cbor.Marshal(bills[:n])
			if err != nil {
				return trace.Wrap(err)
			}
			name := batchName(s.settings.VM, s.settings.Incarnation, s.number)
			s.unsent = append(s.unsent, batch{Minute: minute, Name: name, Value: value, Bills: n})
			s.number++
			bills = bills[n:]
		}
		delete(s.fresh, minute)
	}
	return nil
}

func (s *Spool) first() (batch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unsent) == 0 {
		return batch{}, false
	}
	return s.unsent[0], true
}

// sent forgets the first batch and counts its bills.
func (s *Spool) sent(b batch, as prometheus.Counter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsent = s.unsent[1:]
	s.hold(-b.Bills)
	as.Add(float64(b.Bills))
}

// send writes one batch. The name is this batch's alone, so an object that is
// there already is the batch itself, from a write whose reply was lost.
func (s *Spool) send(ctx context.Context, b batch) error {
	key := durable.Key{Kind: minuteKind(b.Minute), Name: b.Name}
	_, err := s.store.Put(ctx, key, b.Value, 0)
	if err != nil && !errors.Is(err, durable.ErrConflict) {
		return err
	}
	if time.Since(b.Minute) < foldAfter/2 {
		return nil
	}
	// The minute may be summed up already, or be so at this moment, without this
	// batch: its sums are taken away, and the next reader sums it up again.
	return dropSums(ctx, s.store, b.Minute)
}

// Handover gives what is held, for Accept on another VM, and forgets it. The
// batches keep their names: should a write of this VM still take effect, or the
// hand-over arrive twice, the store has each batch once all the same.
func (s *Spool) Handover() ([]byte, error) {
	s.sending.Lock()
	defer s.sending.Unlock()
	if err := s.close(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	body, err := cbor.Marshal(s.unsent)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.unsent = nil
	s.hold(-s.held)
	return body, nil
}

// Accept takes over what another VM handed over; a spool that is full takes it
// all the same, for it would be lost otherwise.
func (s *Spool) Accept(body []byte) error {
	var batches []batch
	if err := cbor.Unmarshal(body, &batches); err != nil {
		return trace.BadParameter("unreadable bills: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsent = append(s.unsent, batches...)
	for _, b := range batches {
		s.hold(b.Bills)
	}
	return nil
}

// Held is the number of bills in memory, for the state dump.
func (s *Spool) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}
