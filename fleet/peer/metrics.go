package peer

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the Prometheus collectors of the package.
type metrics struct {
	// refused is goldcrest_peer_refused_total: peers without a certificate of the
	// fleet's CA.
	refused prometheus.Counter
	// calls is goldcrest_peer_calls_total by side (sent, served) and result.
	calls *prometheus.CounterVec
	// datagrams is goldcrest_peer_datagrams_total by result (sent, received, dropped).
	datagrams *prometheus.CounterVec
	// payload is goldcrest_peer_payload_bytes_total by direction (out, in), without
	// QUIC's overhead.
	payload *prometheus.CounterVec
	// malformed is goldcrest_peer_malformed_total: messages that could not be decoded.
	malformed prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	vec := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
	}
	m := &metrics{
		refused:   counter("goldcrest_peer_refused_total", "Peers refused without a certificate of the fleet's CA."),
		malformed: counter("goldcrest_peer_malformed_total", "Peer messages that could not be decoded."),
		calls:     vec("goldcrest_peer_calls_total", "Peer calls by side and result.", "side", "result"),
		datagrams: vec("goldcrest_peer_datagrams_total", "Peer datagrams by result.", "result"),
		payload:   vec("goldcrest_peer_payload_bytes_total", "Payload bytes by direction.", "direction"),
	}
	if r != nil {
		r.MustRegister(m.refused, m.malformed, m.calls, m.datagrams, m.payload)
	}
	return m
}
