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

	"goldcrestfork/fleet/gossip"
	"goldcrestfork/policy/room"
	"goldcrestfork/router/listen"
)

const (
	// readHeaderTimeout bounds the time in which a caller sends the head of a request;
	// operators' own limit is some seconds.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long a caller's idle connection is kept. It is longer than the idle
	// timeout that operators give callers, so that the caller closes first and no request is
	// sent on a connection that this VM closes.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a head in memory; the limit of the configuration is checked later.
	maxHeaderBytes = 64 << 10
	// directoryTTL is how long callers may keep an answer of the directory. Some keep it three
	// times as long, so a VM that stops continues to serve for that long.
	directoryTTL = time.Second
	// directoryConnShare is the part, one in so many, that the directory may have of the connections that
	// a VM's callers may keep.
	directoryConnShare = 4
	// feedTime bounds a read of this VM's feeds by another VM. Those that wait for news give up after the limit on
	// the age of a feed, some seconds.
	feedTime = 30 * time.Second
	// maxAddresses bounds the addresses in one answer of the directory.
	maxAddresses = 64
)

func (n *Node) listen() error {
	n.front = &http.Server{Handler: n.handler}
	n.front.ConnState = limitCallerBuffers
	// Answers to callers take as long as they need, and the handler cuts off callers that read nothing.
	if err := n.serve(n.front, n.s.Front, n.callers, listen.Times{}); err != nil {
		return err
	}
	peers := listen.NewConnections(room.MaxPeerConnections(n.s.MemoryMB, n.s.Descriptors))
	if err := n.serve(&http.Server{Handler: n.feedTransport.Handler()}, n.self().Peer, peers, listen.Times{Request: feedTime}); err != nil {
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
	// Callers open connections to the directory as well, for one short answer each.
	conns := listen.NewConnections(room.MaxConnections(n.s.MemoryMB, n.s.Descriptors) / directoryConnShare)
	for a := range addresses {
		if err := n.serve(&http.Server{Handler: side}, a, conns, listen.Times{Request: n.s.DirectoryTime}); err != nil {
			return err
		}
	}
	return nil
}

// serve serves an address, with its connections and their times within bounds.
func (n *Node) serve(s *http.Server, address string, conns *listen.Connections, times listen.Times) error {
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = readHeaderTimeout, idleTimeout, maxHeaderBytes
	// net/http logs a line for each broken connection; the handler's own lines say more.
	s.ErrorLog = stdlog.New(io.Discard, "", 0)
	n.servers = append(n.servers, s)
	guarded := n.guard.Listen(s, l, conns, times)
	n.spawn(func() {
		if err := s.Serve(guarded); !errors.Is(err, http.ErrServerClosed) {
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

// serveDirectory returns the addresses of the VMs to use: this VM and the others that sent a
// message recently, if they are ready, with the caller's data centre first. VMs that have lost their
// network paths to the endpoints are left out as long as others have theirs.
func (n *Node) serveDirectory(w http.ResponseWriter, r *http.Request) {
	near := n.edge.DataCentreOf(r)
	addresses := n.named(!n.paths.tracker.Lost(), n.gossip.Table().UsableWithPaths(bootClock(), near))
	if len(addresses) == 0 {
		addresses = n.named(true, n.gossip.Table().Usable(bootClock(), near))
	}
	if len(addresses) == 0 {
		// No VM is ready. A caller that gets no answer tries the next VM and keeps the addresses
		// it has.
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	n.edge.WriteAddresses(w, addresses[:min(len(addresses), maxAddresses)], min(directoryTTL, n.bounds().MostDirectoryTTL))
}

// named returns the callers' addresses of this VM, if it is included and ready, and of others.
func (n *Node) named(self bool, others []gossip.Member) (addresses []string) {
	if self && n.Ready() {
		addresses = append(addresses, n.s.Front)
	}
	for _, m := range others {
		addresses = append(addresses, m.Front)
	}
	return addresses
}

const (
	// stopAcceptTime is how long a VM that stops accepts new connections. It covers callers that
	// keep an answer of the directory for three times its TTL, and a round of datagrams.
	stopAcceptTime = 3*directoryTTL + 600*time.Millisecond
	// graceShare is the part of the grace period that is used. Timers fire late on a slowed VM,
	// and requests that still run in the last part were sent too late to complete here.
	graceShare = 0.88
	// lastAnswers is how long before that requests in progress get their final answers.
	lastAnswers = 300 * time.Millisecond
)

// stop removes this VM from the directory, serves late callers, and then closes each connection
// when its requests are complete.
func (n *Node) stop(ctx context.Context) {
	began := time.Now()
	deadline := began.Add(share(n.bounds().GracePeriod, graceShare))
	n.stopping.Store(true)
	ending := deadline.Add(-lastAnswers)
	n.handler.Stop(began.Add(stopAcceptTime/2), ending)
	defer time.AfterFunc(time.Until(ending), n.handler.End).Stop()
	n.log.Info().Int64("active", n.handler.Active()).Msg("stopping")
	n.gossip.TriggerRound()
	n.handOverSessions()
	withdrawn, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := n.withdraw(withdrawn); err != nil {
		n.log.Info().Err(err).Msg("entry not deleted, other VMs will find this VM silent")
	}
	time.Sleep(time.Until(began.Add(min(stopAcceptTime, n.bounds().GracePeriod/2))))
	n.handOverSessions() // for sessions that VMs unaware of the stop asked for since
	end, cancel2 := context.WithDeadline(ctx, deadline)
	defer cancel2()
	err := n.front.Shutdown(end)
	n.log.Info().Err(err).Dur("took_ms", time.Since(began)).Int64("cut", n.handler.Active()).Msg("stopped")
}
