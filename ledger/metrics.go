package ledger

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"goldcrestfork/durable"
)

// batchBuckets are the histogram's buckets for batch sizes, from one operation to the largest
// batch that fits into maxBatch.
var batchBuckets = []float64{1, 2, 4, 8, 16, 32, 64, 128, 512, 2048}

type metrics struct {
	// decides is goldcrest_ledger_decides_total{outcome}: operations by outcome.
	decides *prometheus.CounterVec
	// writes is goldcrest_ledger_writes_total{result}: writes of heads.
	writes *prometheus.CounterVec
	// conflicts is goldcrest_ledger_conflicts_total: head writes that lost to another VM's.
	conflicts prometheus.Counter
	// reads is goldcrest_ledger_reads_total: reads of heads and segments.
	reads prometheus.Counter
	// batch is goldcrest_ledger_batch_entries: operations in one committed write.
	batch prometheus.Histogram
	// segments is goldcrest_ledger_segments_total{event}: sealed, seal_failed, deleted.
	segments *prometheus.CounterVec
	// forwards is goldcrest_ledger_forwards_total{result}: operations sent to a shard's owner.
	forwards *prometheus.CounterVec
	// settlePending is goldcrest_ledger_settle_pending: outcomes not yet recorded.
	settlePending prometheus.Gauge
	// settleLost is goldcrest_ledger_settle_lost_total: outcomes that were dropped; their claims
	// stay unknown.
	settleLost prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		decides:   newCounterVec("goldcrest_ledger_decides_total", "Operations by outcome.", "outcome"),
		writes:    newCounterVec("goldcrest_ledger_writes_total", "Writes of shard heads by result.", "result"),
		conflicts: newCounter("goldcrest_ledger_conflicts_total", "Head writes that lost to another VM's write."),
		reads:     newCounter("goldcrest_ledger_reads_total", "Reads of heads and segments."),
		batch: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "goldcrest_ledger_batch_entries", Help: "Operations in one committed write.", Buckets: batchBuckets,
		}),
		segments: newCounterVec("goldcrest_ledger_segments_total", "Segments by event.", "event"),
		forwards: newCounterVec("goldcrest_ledger_forwards_total", "Operations sent to a shard's owner.", "result"),
		settlePending: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "goldcrest_ledger_settle_pending", Help: "Outcomes not yet recorded.",
		}),
		settleLost: newCounter("goldcrest_ledger_settle_lost_total", "Outcomes that were dropped; their claims stay unknown."),
	}
	if r != nil {
		r.MustRegister(m.decides, m.writes, m.conflicts, m.reads, m.batch,
			m.segments, m.forwards, m.settlePending, m.settleLost)
	}
	return m
}

func newCounterVec(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

// countWrite counts one write of a head.
func (m *metrics) countWrite(err error) {
	m.writes.WithLabelValues(writeResult(err)).Inc()
	if errors.Is(err, durable.ErrConflict) {
		m.conflicts.Inc()
	}
}

func writeResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, durable.ErrConflict):
		return "conflict"
	case errors.Is(err, durable.ErrUnavailable):
		return "unavailable"
	}
	return "unknown"
}

func (m *metrics) countSeal(err error) {
	event := "sealed"
	if err != nil && !errors.Is(err, durable.ErrConflict) {
		event = "seal_failed"
	}
	m.segments.WithLabelValues(event).Inc()
}

var verdictNames = map[verdict]string{
	verdictMine:      "mine",
	verdictOther:     "other",
	verdictOtherBody: "other_body",
	verdictFenced:    "fenced",
	verdictMissing:   "missing",
}

// countDecide counts one operation.
func (m *metrics) countDecide(r result, err error) {
	outcome := verdictNames[r.Verdict]
	switch {
	case errors.Is(err, ErrUnavailable):
		outcome = "unavailable"
	case err != nil:
		outcome = "unknown"
	}
	m.decides.WithLabelValues(outcome).Inc()
}
