package slot

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	// goldcrest_slot_acquired_total by way (own, handed_over, borrowed, none).
	acquired *prometheus.CounterVec
	// goldcrest_slot_unreturned_total: loans whose return did not arrive.
	unreturned prometheus.Counter
	// goldcrest_slot_malformed_total: messages that could not be decoded.
	malformed prometheus.Counter
	// goldcrest_slot_epoch_calls_total by call (read, write, confirm) and result.
	epochs *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		acquired:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "goldcrest_slot_acquired_total", Help: "Cold slots asked for, by how they were had."}, []string{"way"}),
		unreturned: prometheus.NewCounter(prometheus.CounterOpts{Name: "goldcrest_slot_unreturned_total", Help: "Loans whose return did not arrive."}),
		malformed:  prometheus.NewCounter(prometheus.CounterOpts{Name: "goldcrest_slot_malformed_total", Help: "Slot messages that could not be decoded."}),
		epochs:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "goldcrest_slot_epoch_calls_total", Help: "Calls that keep the epoch, by call and result."}, []string{"call", "result"}),
	}
	if r != nil {
		r.MustRegister(m.acquired, m.unreturned, m.malformed, m.epochs)
	}
	return m
}
