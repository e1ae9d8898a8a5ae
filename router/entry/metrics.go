package entry

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts the answers and refusals sent to callers and the decisions behind them.
type Metrics struct {
	answers  *prometheus.CounterVec
	refusals *prometheus.CounterVec
	pins     *prometheus.CounterVec
	claims   *prometheus.CounterVec
	cascade  *prometheus.CounterVec
}

// NewMetrics registers the entry's counters.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "goldcrest_answers_total",
			Help: "Complete answers by kind.",
		}, []string{"kind"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "goldcrest_refusals_total",
			Help: "Final refusals by code and by what is known of the run.",
		}, []string{"code", "ran"}),
		pins: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "goldcrest_session_pins_total",
			Help: "Versions of sessions by their source; hash means that the platform's store was down.",
		}, []string{"source"}),
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "goldcrest_claims_total",
			Help: "Requests with an Idempotency-Key by the outcome of their claim.",
		}, []string{"outcome"}),
		cascade: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "goldcrest_cascade_steps_total",
			Help: "Cascade steps by decision and reason.",
		}, []string{"action", "reason"}),
	}
	r.MustRegister(m.answers, m.refusals, m.pins, m.claims, m.cascade)
	return m
}

func itoa(n int) string { return strconv.Itoa(n) }
