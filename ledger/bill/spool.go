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
	// DefaultMaxBills is the default maximum number of bills in memory. A VM has 30 bills a
	// second at the intended size, so this lasts for an outage of an hour and takes about 20 MB.
	DefaultMaxBills = 120_000
	// maxBatchBills is the maximum number of bills in a batch; the batch's size stays far below
	// durable.MaxValueBytes.
	maxBatchBills = 4000
	// aggregateAfter is the age at which a minute may be summed up. It is longer than all but
	// the longest requests take. Later bills are still counted, but their minute must be summed
	// up again.
	aggregateAfter = 15 * time.Minute
	// maxBatchAge is the age from which a batch is dropped and counted as lost: the batches of
	// its minute may have been purged, and new sums would lack the purged bills.
	maxBatchAge = 48 * time.Hour
)

// Settings configure a Spool.
type Settings struct {
	// VM and Incarnation make the names of batches unique.
	VM          string
	Incarnation uint64
	// MaxBills is the maximum number of bills in memory; 0 means DefaultMaxBills.
	MaxBills int
}

// Spool holds bills until they are written. A VM that crashes loses the bills that it had not
// flushed. No bill is ever written under two names.
type Spool struct {
	store    durable.Store
	settings Settings
	metrics  *metrics

	// sending is held during a flush, so that only one runs at a time.
	sending sync.Mutex

	mu        sync.Mutex
	unbatched map[time.Time][]Bill // bills that are not in a batch yet, by minute
	unsent    []batch
	held      int // number of bills in unbatched and unsent
	number    uint64
}

type metrics struct {
	// written is goldcrest_bills_written_total: bills in the store.
	written prometheus.Counter
	// lost is goldcrest_bills_lost_total: bills dropped because the spool was full or they were
	// too late.
	lost    prometheus.Counter
	batches prometheus.Counter // goldcrest_bill_batches_total: objects written
	spooled prometheus.Gauge   // goldcrest_bills_spooled: bills in memory
}

func newMetrics(r prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	m := &metrics{
		written: counter("goldcrest_bills_written_total", "Bills written to the store."),
		lost:    counter("goldcrest_bills_lost_total", "Bills dropped because the spool was full or they were too late."),
		batches: counter("goldcrest_bill_batches_total", "Batches of bills written."),
		spooled: prometheus.NewGauge(prometheus.GaugeOpts{Name: "goldcrest_bills_spooled", Help: "Bills in memory."}),
	}
	if r != nil {
		r.MustRegister(m.written, m.lost, m.batches, m.spooled)
	}
	return m
}

// NewSpool returns an empty spool that writes to store. Metrics are registered with r unless it
// is nil.
func NewSpool(store durable.Store, r prometheus.Registerer, s Settings) *Spool {
	if s.MaxBills == 0 {
		s.MaxBills = DefaultMaxBills
	}
	return &Spool{store: store, settings: s, metrics: newMetrics(r), unbatched: map[time.Time][]Bill{}}
}

// Add adds a bill. It returns false if the spool is full; the bill is then lost.
func (s *Spool) Add(b Bill) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held >= s.settings.MaxBills {
		s.metrics.lost.Inc()
		return false
	}
	minute := b.Accepted.UTC().Truncate(time.Minute)
	s.unbatched[minute] = append(s.unbatched[minute], b)
	s.addHeld(1)
	return true
}

// addHeld adds n, which may be negative, to the number of bills held. Callers hold s.mu.
func (s *Spool) addHeld(n int) {
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
			_ = s.Flush(ctx) // the next tick retries what is left
		}
	}
}

// Flush writes all bills held. Batches that the store did not take are kept under the same
// names, so that the repeat of a write whose reply was lost has no second effect.
func (s *Spool) Flush(ctx context.Context) error {
	s.sending.Lock()
	defer s.sending.Unlock()
	if err := s.closeBatches(); err != nil {
		return err
	}
	for {
		b, ok := s.firstUnsent()
		if !ok {
			return nil
		}
		if time.Since(b.Minute) >= maxBatchAge {
			s.removeFirst(b, s.metrics.lost)
			continue
		}
		if err := s.writeBatch(ctx, b); err != nil {
			return trace.Wrap(err, "writing bills")
		}
		s.removeFirst(b, s.metrics.written)
		s.metrics.batches.Inc()
	}
}

// closeBatches moves the unbatched bills into batches.
func (s *Spool) closeBatches() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for minute, bills := range s.unbatched {
		for len(bills) > 0 {
			n := min(len(bills), maxBatchBills)
			value, err := cbor.Marshal(bills[:n])
			if err != nil {
				return trace.Wrap(err)
			}
			name := batchName(s.settings.VM, s.settings.Incarnation, s.number)
			s.unsent = append(s.unsent, batch{Minute: minute, Name: name, Value: value, Bills: n})
			s.number++
			bills = bills[n:]
		}
		delete(s.unbatched, minute)
	}
	return nil
}

func (s *Spool) firstUnsent() (batch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unsent) == 0 {
		return batch{}, false
	}
	return s.unsent[0], true
}

// removeFirst removes the first batch and adds its bills to a counter.
func (s *Spool) removeFirst(b batch, as prometheus.Counter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsent = s.unsent[1:]
	s.addHeld(-b.Bills)
	as.Add(float64(b.Bills))
}

// writeBatch writes one batch. Its name is unique, so an object that exists under it is the
// batch itself, from a write whose reply was lost.
func (s *Spool) writeBatch(ctx context.Context, b batch) error {
	key := durable.Key{Kind: minuteKind(b.Minute), Name: b.Name}
	_, err := s.store.Put(ctx, key, b.Value, 0)
	if err != nil && !errors.Is(err, durable.ErrConflict) {
		return err
	}
	if time.Since(b.Minute) < aggregateAfter/2 {
		return nil
	}
	// The minute may already be summed up, or be summed up at this moment, without this batch.
	// Its sums are deleted, and the next reader sums it up again.
	return deleteSums(ctx, s.store, b.Minute)
}

// Handover removes all bills from the spool and returns them, encoded for Accept on another VM.
// The batches keep their names: if a write of this VM still takes effect, or if Accept is
// called twice, the store contains each batch only once.
func (s *Spool) Handover() ([]byte, error) {
	s.sending.Lock()
	defer s.sending.Unlock()
	if err := s.closeBatches(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	body, err := cbor.Marshal(s.unsent)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.unsent = nil
	s.addHeld(-s.held)
	return body, nil
}

// Accept adds the bills that Handover returned on another VM. A full spool accepts them too,
// because they would be lost otherwise.
func (s *Spool) Accept(body []byte) error {
	var batches []batch
	if err := cbor.Unmarshal(body, &batches); err != nil {
		return trace.BadParameter("unreadable bills: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsent = append(s.unsent, batches...)
	for _, b := range batches {
		s.addHeld(b.Bills)
	}
	return nil
}

// Held returns the number of bills in memory, for the state dump.
func (s *Spool) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}
