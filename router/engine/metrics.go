package engine

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts the attempts and frames of the engine client.
type Metrics struct {
	attempts     *prometheus.CounterVec
	wrongVersion prometheus.Counter
	frames       [frameVerdictCount]prometheus.Counter
}

// NewMetrics registers the client's counters.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "goldcrest_engine_attempts_total",
			Help: "Attempts at model engines by result.",
		}, []string{"result"}),
		wrongVersion: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "goldcrest_engine_wrong_version_total",
			Help: "Answers dropped because the engine ran another version than asked for.",
		}),
	}
	frames := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "goldcrest_engine_frames_total",
		Help: "Frames of engines by the decision on them.",
	}, []string{"verdict"})
	for v := range frameVerdictCount {
		m.frames[v] = frames.WithLabelValues(verdictNames[v])
	}
	r.MustRegister(m.attempts, m.wrongVersion, frames)
	return m
}
