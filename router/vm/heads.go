package vm

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// heads counts connections that broke off or were refused before a whole head was
// there: slow senders, endless headers, what is no HTTP. net/http closes these by
// itself, so that an attack on the listener would be seen nowhere.
//
// Lock order: heads.mu is a leaf.
type heads struct {
	bad prometheus.Counter

	mu sync.Mutex
	// waiting holds the connections on which bytes came whose request no handler has
	// seen yet.
	waiting map[net.Conn]bool
}

func newHeads(r prometheus.Registerer) *heads {
	h := &heads{waiting: make(map[net.Conn]bool), bad: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "goldcrest_bad_heads_total",
		Help: "Connections closed with a request's head that was malformed, too long or too slow.",
	})}
	r.MustRegister(h.bad)
	return h
}

// watch has a server tell of its connections.
func (h *heads) watch(s *http.Server) {
	type key struct{}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, key{}, c) }
	s.ConnState = h.changed
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(key{}).(net.Conn); ok {
			h.arrived(c)
		}
		next.ServeHTTP(w, r)
	})
}

// changed follows a connection: active means that bytes of a head came.
func (h *heads) changed(c net.Conn, state http.ConnState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch state {
	case http.StateActive:
		h.waiting[c] = true
	case http.StateClosed, http.StateHijacked:
		if h.waiting[c] {
			h.bad.Inc()
		}
		delete(h.waiting, c)
	}
}

func (h *heads) arrived(c net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.waiting, c)
}
