// Package vm implements one entry VM of goldcrestfork as a library. It connects the
// configuration, the routing decisions, the ledger and the fleet to the listeners for
// callers and operators. The command cmd/goldcrestd is a thin wrapper around it.
//
// Lock order: headWatcher.mu is a leaf; the package has no other mutex.
package vm

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"goldcrestfork/config"
	"goldcrestfork/config/exchange"
	"goldcrestfork/control/loops"
	"goldcrestfork/durable/httpstore"
	"goldcrestfork/fleet/rendezvous"
	"goldcrestfork/fleet/slot"
	"goldcrestfork/ledger"
	"goldcrestfork/ledger/bill"
	"goldcrestfork/ledger/pin"
	"goldcrestfork/policy/cascade"
	"goldcrestfork/policy/picker"
	"goldcrestfork/policy/rollout"
	"goldcrestfork/policy/room"
	"goldcrestfork/router/dispatch"
	"goldcrestfork/router/engine"
	"goldcrestfork/router/entry"
	"goldcrestfork/router/listen"
	"goldcrestfork/router/service"
	"goldcrestfork/router/settings"
)

const (
	// headerTimeout bounds the time in which a caller sends its headers, and idleTimeout
	// the time for which an idle connection is kept, so that slow senders and unused
	// connections don't hold memory.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes bounds the size of a request's headers.
	maxHeaderBytes = 64 << 10
	// operatorsConnShare is the part, one in so many, of the connections that callers may keep
	// which operators may keep too.
	operatorsConnShare = 4
	// drainPollInterval is the interval at which a planned stop checks for running requests.
	drainPollInterval = 50 * time.Millisecond
	// lastAnswers bounds the time in which the requests that a planned stop ends get their answers.
	lastAnswers = 2 * time.Second
)

// VM is one entry VM. New creates it and Run serves until its context ends.
type VM struct {
	settings   *settings.Settings
	log        zerolog.Logger
	registry   *prometheus.Registry
	store      *httpstore.Client
	cache      *config.Cache
	editor     *config.Editor
	dispatch   *dispatch.Dispatcher
	entry      *entry.Entry
	engines    *engine.Client
	ledger     *ledger.Ledger
	claims     *ledger.Claims
	bills      *bill.Spool
	recorder   *rollout.Recorder
	fleet      *fleet
	slots      *slots
	slotParams slot.Params
	loops      *loops.Loops
	brakes     *rollout.Brakes
	heads      *headWatcher
	guard      *listen.Guard
	bodies     *room.Bytes
	// incarnation distinguishes this run of the process from other runs of the same VM.
	incarnation uint64

	callers   net.Listener
	operators net.Listener
}

// New opens the listeners and connects the parts of a VM. Run starts serving.
func New(s *settings.Settings, log zerolog.Logger) (*VM, error) {
	return newVM(s, log, slot.Defaults)
}

// newVM is New with parameters of the cold slots, which tests shorten.
func newVM(s *settings.Settings, log zerolog.Logger, params slot.Params) (*VM, error) {
	v := &VM{
		slotParams: params,
		settings:   s,
		log:        log.With().Str("vm", s.VM).Logger(),
		registry:   prometheus.NewRegistry(),
		store:      newStore(s.Platform.URL),

		// The time only names this run of the process. If the clock went back, fleet
		// membership corrects the incarnation.
		incarnation: uint64(time.Now().UnixNano()),
	}
	if err := v.listen(); err != nil {
		v.close()
		return nil, err
	}
	if err := v.wire(); err != nil {
		v.close()
		return nil, trace.Wrap(err)
	}
	return v, nil
}

// listen opens all listeners, so that a port in use fails the start before any loop runs.
func (v *VM) listen() error {
	var err error
	if v.callers, err = net.Listen("tcp", v.settings.Callers.Address); err != nil {
		return trace.ConvertSystemError(err)
	}
	if v.operators, err = net.Listen("tcp", v.settings.Operators.Address); err != nil {
		return trace.ConvertSystemError(err)
	}
	advertised := v.settings.Callers.Advertise
	if advertised == "" {
		advertised = v.CallersAddress()
	}
	v.fleet, err = v.newFleet(advertised)
	return trace.Wrap(err)
}

// close closes the listeners that are open.
func (v *VM) close() {
	for _, l := range []net.Listener{v.callers, v.operators} {
		if l != nil {
			_ = l.Close()
		}
	}
	if v.fleet != nil {
		_ = v.fleet.link.Close()
	}
}

func (v *VM) wire() error {
	secret := v.settings.SecretBytes()
	signer, err := pin.NewSigner(0, secret)
	if err != nil {
		return err
	}
	weights, cascadeSettings := picker.WeightsCost, cascade.DefaultSettings()
	if v.settings.Prefer == "latency" {
		weights, cascadeSettings = picker.WeightsLatency, cascade.LatencySettings()
	}
	peers := exchange.New(exchange.Options{
		Self: v.settings.VM, DataCentre: v.settings.DataCentre,
		Fleet: v.fleet, Link: v.fleet, Rank: rendezvous.Rank,
	})
	v.cache = config.NewCache(config.Options{
		Store: v.store, Peers: peers, Contacts: peers, DataCentre: v.settings.DataCentre,
		VMs: v.fleet.countPerDataCentre, Metrics: config.NewMetrics(v.registry), Log: v.log,
	})
	v.fleet.revision = v.cache.Revision
	v.editor = config.NewEditor(v.store, v.cache)
	v.recorder = rollout.NewRecorder(processID(v.settings.VM, v.incarnation))
	v.brakes = &rollout.Brakes{}
	v.heads = newHeadWatcher(v.registry)
	v.guard = listen.NewGuard(room.MaxHeadBytes(v.settings.MemoryMB), v.registry, v.log)
	v.bodies = room.NewBytes(v.settings.MemoryMB)
	v.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "goldcrest_client_bodies_bytes", Help: "Estimated memory of requests' bodies.",
	}, func() float64 { return float64(v.bodies.Held()) }))
	v.slots = &slots{self: v.settings.VM, params: v.slotParams, cold: slot.NewService(slot.Options{
		Params: v.slotParams, Store: v.store, Link: v.fleet.link, Membership: v.fleet.members,
		Limit: v.coldLimit, Registerer: v.registry, Log: v.log,
	})}
	v.slots.setLive(v.fleet.liveIDs())
	v.ledger = ledger.New(v.store, v.fleet, v.registry, ledger.Settings{VM: v.settings.VM, Incarnation: v.incarnation})
	v.claims = ledger.NewClaims(v.ledger, v.fleet.isLive)
	v.bills = bill.NewSpool(v.store, v.registry, bill.Settings{VM: v.settings.VM, Incarnation: v.incarnation})
	v.dispatch = dispatch.New(dispatch.Config{
		DataCentre: v.settings.DataCentre,
		Region:     v.settings.Region,
		Weights:    weights,
		Slots:      v.slots,
		Registerer: v.registry,
	})
	v.engines = engine.NewClient(engine.NewMetrics(v.registry))
	v.entry = entry.New(entry.Config{
		Configuration: inForce{v.cache},
		Dispatch:      v.dispatch,
		Engines:       v.engines,
		Services:      service.NewClient(v.registry),
		Claims:        claims{v.claims},
		Sessions:      sessions{pin.New(v.ledger, signer)},
		Bills:         v.bills,
		Addresses:     addresses{v},
		Rater:         newRater(v.settings.Rating.URL),
		Cascade:       cascadeSettings,
		Outcomes:      v.recorder,
		Brakes:        v.brakes,
		WrongVersion:  func(endpoint string) { v.loops.Suspect(context.Background(), endpoint) },
		Metrics:       entry.NewMetrics(v.registry),
		Secret:        secret,
		Bodies:        v.bodies,
	})
	v.loops = v.newLoops()
	v.registerHandlers()
	return nil
}

// coldLimit returns the endpoint's cold slots in this VM's configuration, 0 for an unknown
// endpoint.
func (v *VM) coldLimit(endpoint string) int {
	e := v.cache.Snapshot().Endpoints[endpoint]
	if e == nil {
		return 0
	}
	return e.ColdSlots
}

// CallersAddress returns the address that callers connect to.
func (v *VM) CallersAddress() string { return v.callers.Addr().String() }

// OperatorsAddress returns the address that operators connect to.
func (v *VM) OperatorsAddress() string { return v.operators.Addr().String() }

// Run serves until ctx ends and then performs a planned stop: the VM leaves the address
// answers, serves until the answers that name it have expired, lets running requests
// finish, writes its unwritten outcomes and bills, and returns.
func (v *VM) Run(ctx context.Context) error {
	// The planned stop needs a context that outlives ctx.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	most, answerWait := room.MaxConnections(v.settings.MemoryMB, v.settings.Descriptors), time.Duration(v.settings.AnswerWait)
	callers, callersListener, err := v.server(v.entry.Handler(), v.callers, v.settings.Callers, most, listen.Times{Piece: answerWait})
	if err != nil {
		return err
	}
	operators, operatorsListener, err := v.server(v.operatorsHandler(), v.operators, v.settings.Operators, most/operatorsConnShare, listen.Times{Request: 2 * answerWait})
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(v.settings.MemoryMB) << 20 / 10 * 7) // from there on the garbage collector runs more often
	for _, loop := range []func(context.Context){
		v.register, v.fleet.members.Run, v.slots.cold.Run, v.updateFleet,
		v.cache.Run, func(ctx context.Context) { v.cache.Subscribe(ctx, v.dispatch.Configure) },
		v.dispatch.Run, v.pollCold, v.spreadPoison, v.storePoison,
		func(ctx context.Context) { v.bills.Run(ctx, bill.FlushInterval(len(v.fleet.liveIDs()))) },
		v.loops.Run, v.maintainLedger,
	} {
		g.Go(func() error { loop(work); return nil })
	}
	g.Go(func() error { return serve(callers, callersListener) })
	g.Go(func() error { return serve(operators, operatorsListener) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
		}
		v.drain(work)
		v.flushOutstanding(work)
		v.slots.cold.Close()
		v.fleet.members.Leave()
		stop()
		_ = callers.Close()
		_ = operators.Close()
		v.engines.Close()
		return v.fleet.link.Close()
	})
	v.log.Info().Str("callers", v.CallersAddress()).Str("operators", v.OperatorsAddress()).Msg("serving")
	return trace.Wrap(g.Wait())
}

// server returns a server and its listener, which serves HTTPS if the settings name a certificate, else HTTP. The
// connections and heads of its clients are bounded, and their times.
func (v *VM) server(h http.Handler, l net.Listener, listener settings.Listener, most int, times listen.Times) (*http.Server, net.Listener, error) {
	conns := listen.NewConnections(most)
	s := &http.Server{Handler: v.guard.RefuseExcess(conns, h), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	v.heads.watch(s)
	if listener.Certificate != "" {
		pair, err := tls.LoadX509KeyPair(listener.Certificate, listener.Key)
		if err != nil {
			return nil, nil, trace.Wrap(err)
		}
		// The guard measures heads of HTTP/1.1.
		l = tls.NewListener(l, &tls.Config{Certificates: []tls.Certificate{pair}, NextProtos: []string{"http/1.1"}, MinVersion: tls.VersionTLS12})
	}
	return s, v.guard.Listen(s, l, conns, times), nil
}

// serve serves until the server is closed.
func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// drain performs the first part of a planned stop. Callers keep an address answer for a
// while, so closing at once would refuse every caller with an older answer. The VM then
// waits for running streams, because ending the process would cut their answers.
func (v *VM) drain(work context.Context) {
	v.log.Info().Msg("leaving: no longer in address answers")
	v.fleet.members.Drain()
	v.slots.cold.Drain()
	wait(work, time.Duration(v.settings.SpreadLeaving)+time.Duration(v.settings.KeepAddresses))
	v.entry.Close()
	ctx, cancel := context.WithTimeout(work, time.Duration(v.settings.StopGrace))
	defer cancel()
	for v.entry.Running() > 0 && wait(ctx, drainPollInterval) {
	}
	ended := v.entry.Running()
	v.entry.End()
	last, cancelLast := context.WithTimeout(work, lastAnswers)
	defer cancelLast()
	for v.entry.Running() > 0 && wait(last, drainPollInterval) {
	}
	v.log.Info().Int("ended", ended).Int("cut", v.entry.Running()).Msg("stopped")
}

// wait sleeps for d and returns false if ctx ended first.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
