package vm

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// headWatcher counts connections that were closed or refused before a complete request
// head arrived: slow senders, oversized headers, bytes that are not HTTP. net/http closes
// these without calling a handler, so without this count an attack on the listener would
// not show up in the metrics.
//
// Lock order: headWatcher.mu is a leaf.
type headWatcher struct {
	bad prometheus.Counter

	mu sync.Mutex
	// pending holds the connections that have received bytes of a request which no
	// handler has been called for.
	pending map[net.Conn]bool
}

func newHeadWatcher(r prometheus.Registerer) *headWatcher {
	h := &headWatcher{pending: make(map[net.Conn]bool), bad: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "goldcrest_bad_heads_total",
		Help: "Connections closed because the request head was malformed, too long or too slow.",
	})}
	r.MustRegister(h.bad)
	return h
}

// watch installs the connection hooks on a server and wraps its handler.
func (h *headWatcher) watch(s *http.Server) {
	type key struct{}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, key{}, c) }
	s.ConnState = h.connStateChanged
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(key{}).(net.Conn); ok {
			h.headRead(c)
		}
		next.ServeHTTP(w, r)
	})
}

// connStateChanged tracks a connection's state. StateActive means that bytes of a request
// head arrived.
func (h *headWatcher) connStateChanged(c net.Conn, state http.ConnState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch state {
	case http.StateActive:
		h.pending[c] = true
	case http.StateClosed, http.StateHijacked:
		if h.pending[c] {
			h.bad.Inc()
		}
		delete(h.pending, c)
	}
}

func (h *headWatcher) headRead(c net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.pending, c)
}
