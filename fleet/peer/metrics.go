package peer

import "github.com/prometheus/client_golang/prometheus"

// metrics counts the link's work.
type metrics struct {
	// goldcrest_peer_refused_total: peers without a certificate of the fleet's CA.
	refused prometheus.Counter
	// goldcrest_peer_calls_total by side (sent, served) and result.
	calls *prometheus.CounterVec
	// goldcrest_peer_datagrams_total by result (sent, received, dropped).
	datagrams *prometheus.CounterVec
	// goldcrest_peer_payload_bytes_total by direction (out, in), before QUIC's own bytes.
	payload *prometheus.CounterVec
	// goldcrest_peer_malformed_total: messages that could not be decoded.
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
		refused:   counter("goldcrest_peer_refused_total", "Peers refused for want of a certificate of the fleet's CA."),
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
