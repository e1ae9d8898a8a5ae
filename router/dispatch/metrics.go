package dispatch

import (
	"github.com/prometheus/client_golang/prometheus"

	"goldcrestfork/policy/outlier"
)

var stateNames = map[outlier.State]string{
	outlier.Healthy:   "healthy",
	outlier.Ejected:   "ejected",
	outlier.Probation: "probation",
}

type metrics struct {
	refused     *prometheus.CounterVec
	retries     *prometheus.CounterVec
	hedges      *prometheus.CounterVec
	ejections   *prometheus.CounterVec
	quarantined prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "goldcrest_admission_refused_total",
			Help: "Requests refused by the queues, by reason.",
		}, []string{"reason"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "goldcrest_retries_total",
			Help: "Decisions after a failed attempt; an empty reason means that the attempt was repeated.",
		}, []string{"refused_for"}),
		hedges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "goldcrest_hedges_total",
			Help: "Decisions on a second attempt in parallel to a slow one; an empty reason means that the budget allowed it.",
		}, []string{"refused_for"}),
		ejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "goldcrest_endpoint_states_total",
			Help: "Changes of endpoints' states by the outlier detector.",
		}, []string{"state"}),
		quarantined: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "goldcrest_quarantined_total",
			Help: "Requests refused because they crashed the endpoints that ran them.",
		}),
	}
	r.MustRegister(m.refused, m.retries, m.hedges, m.ejections, m.quarantined)
	return m
}
