// Package vm is one entry VM of goldcrestfork as a library: it wires the
// configuration, the decisions, the ledger and the fleet to the callers' and the
// operators' listeners. cmd/goldcrestd is a thin shell over it.
//
// Lock order: the package has no locks of its own.
package vm

import (
	"context"
	"errors"
	"net"
	"net/http"
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
	"goldcrestfork/router/dispatch"
	"goldcrestfork/router/engine"
	"goldcrestfork/router/entry"
	"goldcrestfork/router/service"
	"goldcrestfork/router/settings"
)

const (
	// headerTimeout bounds the time a caller takes to send its headers, and idleTimeout
	// a kept connection's rest: slow senders must not hold a VM's memory.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeader bounds a request's headers, in bytes.
	maxHeader = 64 << 10
	// drainTick is how often a planned stop looks whether the last request has ended.
	drainTick = 50 * time.Millisecond
)

// VM is one entry VM.
type VM struct {
	settings *settings.Settings
	log      zerolog.Logger
	registry *prometheus.Registry
	store    *httpstore.Client
	cache    *config.Cache
	editor   *config.Editor
	dispatch *dispatch.Dispatcher
	entry    *entry.Entry
	engines  *engine.Client
	ledger   *ledger.Ledger
	claims   *ledger.Claims
	bills    *bill.Spool
	recorder *rollout.Recorder
	fleet    *fleet
	slots    *slots
	bounds   slot.Params
	loops    *loops.Loops
	brakes   *rollout.Brakes
	heads    *heads
	// incarnation tells this start from an earlier one of the same VM.
	incarnation uint64

	callers   net.Listener
	operators net.Listener
}

// New opens the listeners and wires a VM; Run serves.
func New(s *settings.Settings, log zerolog.Logger) (*VM, error) {
	return newVM(s, log, slot.Defaults)
}

// newVM is New with bounds of the cold slots that tests can shorten.
func newVM(s *settings.Settings, log zerolog.Logger, bounds slot.Params) (*VM, error) {
	v := &VM{
		bounds:   bounds,
		settings: s,
		log:      log.With().Str("vm", s.VM).Logger(),
		registry: prometheus.NewRegistry(),
		store:    httpstore.New(s.Platform.URL),

		// The clock's word is only for the process's name; a clock that went back is mended
		// by membership.
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

// listen opens all listeners, so that a port in use is known before anything starts.
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

// close ends the listeners that are open.
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
	weights, learning := picker.WeightsCost, cascade.DefaultSettings()
	if v.settings.Prefer == "latency" {
		weights, learning = picker.WeightsLatency, cascade.LatencySettings()
	}
	peers := exchange.New(exchange.Options{
		Self: v.settings.VM, DataCentre: v.settings.DataCentre,
		Fleet: v.fleet, Link: v.fleet, Rank: rendezvous.Rank,
	})
	v.cache = config.NewCache(config.Options{
		Store: v.store, Peers: peers, Contacts: peers, DataCentre: v.settings.DataCentre,
		VMs: v.fleet.perDataCentre, Metrics: config.NewMetrics(v.registry), Log: v.log,
	})
	v.fleet.revision = v.cache.Revision
	v.editor = config.NewEditor(v.store, v.cache)
	v.recorder = rollout.NewRecorder(process(v.settings.VM, v.incarnation))
	v.brakes = &rollout.Brakes{}
	v.heads = newHeads(v.registry)
	v.slots = &slots{self: v.settings.VM, bounds: v.bounds, cold: slot.NewService(slot.Options{
		Params: v.bounds, Store: v.store, Link: v.fleet.link, Membership: v.fleet.members,
		Limit: v.coldLimit, Registerer: v.registry, Log: v.log,
	})}
	v.slots.deal(v.fleet.ids())
	v.ledger = ledger.New(v.store, v.fleet, v.registry, ledger.Settings{VM: v.settings.VM, Incarnation: v.incarnation})
	v.claims = ledger.NewClaims(v.ledger, v.fleet.living)
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
		Addresses:     answers{v},
		Rater:         newRater(v.settings.Rating.URL),
		Cascade:       learning,
		Outcomes:      v.recorder,
		Brakes:        v.brakes,
		WrongVersion:  func(endpoint string) { v.loops.Suspect(context.Background(), endpoint) },
		Metrics:       entry.NewMetrics(v.registry),
		Secret:        secret,
	})
	v.loops = v.newLoops()
	v.handlers()
	return nil
}

// coldLimit is what an endpoint bears cold by this VM's configuration.
func (v *VM) coldLimit(endpoint string) int {
	e := v.cache.Snapshot().Endpoints[endpoint]
	if e == nil {
		return 0
	}
	return e.ColdSlots
}

// CallersAddress is where callers connect.
func (v *VM) CallersAddress() string { return v.callers.Addr().String() }

// OperatorsAddress is where operators connect.
func (v *VM) OperatorsAddress() string { return v.operators.Addr().String() }

// Run serves until the context ends, then stops as planned: it leaves the address
// answers, serves until those that name it have run out, lets every running
// request finish, and returns.
func (v *VM) Run(ctx context.Context) error {
	// What a planned stop still needs outlives ctx.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	callers := v.server(v.entry.Handler())
	operators := v.server(v.operatorsHandler())
	for _, loop := range []func(context.Context){
		v.register, v.fleet.members.Run, v.slots.cold.Run, v.tell,
		v.cache.Run, func(ctx context.Context) { v.cache.Subscribe(ctx, v.dispatch.Configure) },
		v.dispatch.Run, v.pollCold, v.spreadPoison,
		func(ctx context.Context) { v.bills.Run(ctx, bill.FlushInterval(len(v.fleet.ids()))) },
		v.loops.Run, v.upkeep,
	} {
		g.Go(func() error { loop(work); return nil })
	}
	g.Go(func() error { return serve(callers, v.callers, v.settings.Callers) })
	g.Go(func() error { return serve(operators, v.operators, v.settings.Operators) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
		}
		v.drain(work)
		v.settle(work)
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

func (v *VM) server(h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
	v.heads.watch(s)
	return s
}

// serve speaks HTTPS where the settings name a certificate.
func serve(s *http.Server, l net.Listener, at settings.Listener) error {
	var err error
	if at.Certificate != "" {
		err = s.ServeTLS(l, at.Certificate, at.Key)
	} else {
		err = s.Serve(l)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// drain is a planned stop. Callers keep an address for the time they were told, so
// that a VM which closed at once would turn away every caller that acts on an
// older answer; and a stream that runs when the process ends is a cut answer.
func (v *VM) drain(ctx context.Context) {
	v.log.Info().Msg("leaving: no longer in address answers")
	v.fleet.members.Drain()
	v.slots.cold.Drain()
	wait(ctx, time.Duration(v.settings.SpreadLeaving)+time.Duration(v.settings.KeepAddresses))
	v.entry.Close()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(v.settings.StopGrace))
	defer cancel()
	for v.entry.Running() > 0 && wait(ctx, drainTick) {
	}
	v.log.Info().Int("cut", v.entry.Running()).Msg("stopped")
}

// wait sleeps for d; false when ctx ended before.
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
