// Package vm is one entry VM of goldcrestfork as a library: it wires the
// configuration, the decisions, the ledger and the fleet to the callers' and the
// operators' listeners. cmd/goldcrestd is a thin shell over it.
//
// Lock order: the package has no locks of its own.
package vm

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"goldcrestfork/config"
	"goldcrestfork/ledger"
	"goldcrestfork/ledger/bill"
	"goldcrestfork/ledger/pin"
	"goldcrestfork/platform/httpstore"
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
	// incarnation tells this start from an earlier one of the same VM.
	incarnation uint64

	callers   net.Listener
	operators net.Listener
}

// New opens the listeners and wires a VM; Run serves.
func New(s *settings.Settings, log zerolog.Logger) (*VM, error) {
	v := &VM{
		settings: s,
		log:      log.With().Str("vm", s.VM).Logger(),
		registry: prometheus.NewRegistry(),
		store:    httpstore.New(s.Platform.URL),

		incarnation: rand.Uint64(),
	}
	v.cache = config.NewCache(config.Options{Store: v.store, Metrics: config.NewMetrics(v.registry)})
	v.editor = &config.Editor{
		Store:    v.store,
		Floor:    v.cache.Revision,
		Accepted: func(encoded []byte) { _, _ = v.cache.Offer(encoded) },
	}
	if err := v.wire(); err != nil {
		return nil, trace.Wrap(err)
	}
	var err error
	if v.callers, err = net.Listen("tcp", s.Callers.Address); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if v.operators, err = net.Listen("tcp", s.Operators.Address); err != nil {
		_ = v.callers.Close()
		return nil, trace.ConvertSystemError(err)
	}
	return v, nil
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
	v.recorder = rollout.NewRecorder(fmt.Sprintf("%s/%x", v.settings.VM, v.incarnation))
	v.ledger = ledger.New(v.store, nil, v.registry, ledger.Settings{VM: v.settings.VM, Incarnation: v.incarnation})
	v.claims = ledger.NewClaims(v.ledger, nil)
	v.bills = bill.NewSpool(v.store, v.registry, bill.Settings{VM: v.settings.VM, Incarnation: v.incarnation})
	v.dispatch = dispatch.New(dispatch.Config{
		DataCentre: v.settings.DataCentre,
		Region:     v.settings.Region,
		Weights:    weights,
		Slots:      sole{},
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
		Addresses:     ownAddress{v},
		Rater:         newRater(v.settings.Rating.URL),
		Cascade:       learning,
		Outcomes:      v.recorder,
		Metrics:       entry.NewMetrics(v.registry),
		Secret:        secret,
	})
	return nil
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
	g.Go(func() error { v.cache.Run(work); return nil })
	g.Go(func() error { v.cache.Subscribe(work, v.dispatch.Configure); return nil })
	g.Go(func() error { v.dispatch.Run(work); return nil })
	g.Go(func() error { v.bills.Run(work, bill.FlushInterval(1)); return nil })
	g.Go(func() error { v.pollCold(work); return nil })
	g.Go(func() error { return serve(callers, v.callers) })
	g.Go(func() error { return serve(operators, v.operators) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
		}
		v.drain(work)
		v.settle(work)
		stop()
		_ = callers.Close()
		_ = operators.Close()
		v.engines.Close()
		return nil
	})
	v.log.Info().Str("callers", v.CallersAddress()).Str("operators", v.OperatorsAddress()).Msg("serving")
	return trace.Wrap(g.Wait())
}

func (v *VM) server(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// drain is a planned stop. Callers keep an address for the time they were told, so
// that a VM which closed at once would turn away every caller that acts on an
// older answer; and a stream that runs when the process ends is a cut answer.
func (v *VM) drain(ctx context.Context) {
	v.log.Info().Msg("leaving: no longer in address answers")
	wait(ctx, time.Duration(v.settings.KeepAddresses))
	v.entry.Close()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(v.settings.StopGrace))
	defer cancel()
	for v.entry.Running() > 0 && wait(ctx, drainTick) {
	}
	v.log.Info().Int("cut", v.entry.Running()).Msg("stopped")
}

// settleTimeout bounds how long a planned stop keeps at the outcomes that the store
// has not taken yet; an outage that is longer leaves their claims "unknown".
const settleTimeout = time.Minute

// settle hands to the store what this VM still owes it.
func (v *VM) settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if left := v.claims.Close(ctx); left > 0 {
		v.log.Warn().Int("outcomes", left).Msg("stopped with outcomes unrecorded; their claims stay unknown")
	}
	if err := v.bills.Flush(ctx); err != nil {
		v.log.Warn().Int("bills", v.bills.Held()).Err(err).Msg("stopped with bills unwritten; they are lost")
	}
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
