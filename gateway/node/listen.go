package node

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/alexedwards/flow"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	// headTime bounds a caller's head; the operators' bound is some seconds.
	headTime = 10 * time.Second
	// idleTime is how long a caller's idle connection is kept: longer than any bound
	// that operators give callers, so that the caller, who knows when it will send
	// next, closes first and no request crosses a close.
	idleTime = 2 * time.Minute
	// headBytes bounds a head in memory; the configuration's own limit is checked later.
	headBytes = 64 << 10
	// directoryTTL is how long callers may keep an answer. Some keep it three times as
	// long; a VM that stops serves on for that long.
	directoryTTL = time.Second
	// mostAddresses bounds one directory answer.
	mostAddresses = 64
)

func (n *Node) listen() error {
	n.front = &http.Server{Handler: n.handler}
	if err := n.serve(n.front, n.s.Front); err != nil {
		return err
	}
	if err := n.serve(&http.Server{Handler: n.relays.Handler()}, n.self().Peer); err != nil {
		return err
	}
	side := flow.New()
	side.HandleFunc(n.edge.ReadyPath, n.serveReady, http.MethodGet)
	side.HandleFunc(n.edge.DirectoryPath, n.serveDirectory, http.MethodGet)
	side.Handle("/metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}), http.MethodGet)
	side.HandleFunc("/state", n.serveState, http.MethodGet)
	addresses := map[string]bool{n.s.Ready: true, n.s.Directory: true, net.JoinHostPort(n.s.IP, strconv.Itoa(n.s.MetricsPort)): true}
	delete(addresses, "")
	delete(addresses, n.s.Front)
	for a := range addresses {
		if err := n.serve(&http.Server{Handler: side}, a); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) serve(s *http.Server, address string) error {
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = headTime, idleTime, headBytes
	// net/http writes a line for each broken connection; the handler's own lines say more.
	s.ErrorLog = stdlog.New(io.Discard, "", 0)
	n.servers = append(n.servers, s)
	n.spawn(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			n.log.Error().Err(err).Str("address", address).Msg("listener ended")
		}
	})
	return nil
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveDirectory names the VMs to use: those heard lately that say they are ready, the
// caller's data centre first.
func (n *Node) serveDirectory(w http.ResponseWriter, r *http.Request) {
	near := n.edge.DataCentreOf(r)
	var addresses []string
	if n.Ready() {
		addresses = append(addresses, n.s.Front)
	}
	for _, m := range n.gossip.Table().Usable(bootClock(), near) {
		addresses = append(addresses, m.Front)
	}
	if len(addresses) == 0 {
		// Nobody is ready. A caller that gets no answer tries the next VM, and keeps what it knows.
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	n.edge.WriteAddresses(w, addresses[:min(len(addresses), mostAddresses)], min(directoryTTL, n.bounds().MostDirectoryTTL))
}

const (
	// lameTime is how long a VM that stops still takes new connections: callers that
	// keep an answer for three times its life, and a round of datagrams.
	lameTime = 3*directoryTTL + 600*time.Millisecond
	// exitShare of the grace period is used: timers on a slowed VM fire late, and what
	// still runs in the last part was sent too late to end here.
	exitShare = 0.88
)

// stop leaves the directory first, serves late callers, then ends the connections as
// their requests end.
func (n *Node) stop(ctx context.Context) {
	began := time.Now()
	deadline := began.Add(share(n.bounds().GracePeriod, exitShare))
	n.stopping.Store(true)
	n.handler.Stop(began.Add(lameTime / 2))
	n.log.Info().Int64("active", n.handler.Active()).Msg("stopping")
	n.gossip.Nudge()
	n.handOver()
	withdrawn, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := n.p.Withdraw(withdrawn, n.s.VM); err != nil {
		n.log.Info().Err(err).Msg("entry not withdrawn, others find this VM silent")
	}
	time.Sleep(time.Until(began.Add(min(lameTime, n.bounds().GracePeriod/2))))
	n.handOver() // what VMs that had not heard of the stop asked for since
	end, cancel2 := context.WithDeadline(ctx, deadline)
	defer cancel2()
	err := n.front.Shutdown(end)
	n.log.Info().Err(err).Dur("took_ms", time.Since(began)).Int64("cut", n.handler.Active()).Msg("stopped")
}
