package slot

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the Prometheus collectors of the package.
type metrics struct {
	// acquired is goldcrest_slot_acquired_total by way (own, handed_over, borrowed,
	// none).
	acquired *prometheus.CounterVec
	// unreturned is goldcrest_slot_unreturned_total: loans whose return did not arrive.
	unreturned prometheus.Counter
	// malformed is goldcrest_slot_malformed_total: messages that could not be decoded.
	malformed prometheus.Counter
	// epochCalls is goldcrest_slot_epoch_calls_total by call (read, write, confirm) and
	// result.
	epochCalls *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		acquired:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "goldcrest_slot_acquired_total", Help: "Requests for a cold slot by the way in which it was obtained."}, []string{"way"}),
		unreturned: prometheus.NewCounter(prometheus.CounterOpts{Name: "goldcrest_slot_unreturned_total", Help: "Loans whose return did not arrive."}),
		malformed:  prometheus.NewCounter(prometheus.CounterOpts{Name: "goldcrest_slot_malformed_total", Help: "Slot messages that could not be decoded."}),
		epochCalls: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "goldcrest_slot_epoch_calls_total", Help: "Reads, writes and confirmations of the epoch by result."}, []string{"call", "result"}),
	}
	if r != nil {
		r.MustRegister(m.acquired, m.unreturned, m.malformed, m.epochCalls)
	}
	return m
}
