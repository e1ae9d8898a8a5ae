package lease

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/qmuntal/stateless"
	"github.com/rs/zerolog"

	"goldcrestfork/durable"
)

// Kind is the kind of lease objects in the platform's store.
const Kind = "lease"

// Settings holds the durations of a Lease.
type Settings struct {
	// TTL is how long the holder may act after it sent a renewal. Default 6 s. When
	// a holder crashes, the next VM acts within TTL, the margin on it and one renewal
	// interval, 8.6 s in all. A shorter lease would be lost to one slow platform call.
	TTL time.Duration
	// Interval is the time between the holder's renewals, and between the reads of
	// each other candidate. Default TTL/3.
	Interval time.Duration
}

// DefaultSettings returns the default TTL and renewal interval.
func DefaultSettings() Settings { return Settings{TTL: 6 * time.Second, Interval: 2 * time.Second} }

// takeoverFactor is the multiple of TTL that other VMs wait before they take the lease
// over, since their clocks may run at different rates. A tenth is far more than the
// drift of a quartz or slewed clock.
const takeoverFactor = 1.1

// record is the lease object's value.
type record struct {
	// Holder is the incarnation of the VM that holds the lease; it is empty after the
	// last holder released the lease.
	Holder string `cbor:"1,keyasint"`
	// Nonce identifies one write of the holder, so that the holder recognises a write
	// whose reply was lost.
	Nonce uint64 `cbor:"2,keyasint"`
}

// Lease is one VM's view of one lease. It is safe for concurrent use.
type Lease struct {
	store    durable.Store
	key      durable.Key
	holder   string
	settings Settings
	metrics  metrics

	// roundMu serialises rounds.
	roundMu sync.Mutex
	nonce   uint64

	mu      sync.Mutex
	machine *stateless.StateMachine
	// version is the object's version at this VM's last write or read, observedAt the
	// time at which this VM first observed that version, observedHolder its holder.
	version        int64
	observedAt     time.Time
	observedHolder string
	// heldUntil is the end of this VM's hold by its own clock.
	heldUntil time.Time
	// unconfirmed maps the nonce of each write without a reply to the time just before
	// it was sent.
	unconfirmed map[uint64]time.Time
}

// New returns a Lease on the object with the given name. holder identifies this
// incarnation of the VM; a VM that replaces another must use a different one.
func New(store durable.Store, name, holder string, s Settings, reg prometheus.Registerer, log zerolog.Logger) *Lease {
	l := &Lease{
		store: store, key: durable.Key{Kind: Kind, Name: name}, holder: holder, settings: s,
		unconfirmed: make(map[uint64]time.Time),
		metrics:     newMetrics(name, reg),
	}
	l.machine = newMachine(func(cause, to string) {
		l.metrics.changes.WithLabelValues(cause).Inc()
		l.metrics.held.Set(0)
		if to == stateHeld {
			l.metrics.held.Set(1)
		}
		log.Info().Str("lease", name).Str("cause", cause).Msg("lease " + to)
	})
	return l
}

// Held reports whether this VM holds the lease, and until when by its own clock.
// Callers check it right before each action, since a process that was paused
// detects here that its lease has expired.
func (l *Lease) Held() (until time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	return l.heldUntil, l.state() == stateHeld
}

// expire ends a hold whose time is over. Callers hold l.mu.
func (l *Lease) expire() {
	if l.state() == stateHeld && !time.Now().Before(l.heldUntil) {
		l.fire(triggerExpired)
	}
}

func (l *Lease) state() string { return l.machine.MustState().(string) }

// fire applies a trigger that every state permits or ignores. Callers hold l.mu.
func (l *Lease) fire(trigger string) {
	if err := l.machine.Fire(trigger); err != nil {
		panic(err) // every state handles every trigger; anything else is a broken invariant
	}
}

// Run acquires and renews the lease while candidate returns true, and releases it
// when candidate returns false or ctx ends. Only a few VMs should be candidates,
// since each reads the lease object once per Interval. A VM that is no longer
// ranked as a candidate must release the lease, because the other VMs no longer
// send it the input of its loop.
func (l *Lease) Run(ctx context.Context, candidate func() bool) {
	ticker := time.NewTicker(l.settings.Interval)
	defer ticker.Stop()
	for {
		if candidate() {
			l.Tick(ctx)
		} else {
			l.release(ctx)
		}
		select {
		case <-ctx.Done():
			l.release(context.WithoutCancel(ctx))
			return
		case <-ticker.C:
		}
	}
}

// Tick does one round: the holder renews the lease; any other VM reads it and takes
// it over if it is free.
func (l *Lease) Tick(ctx context.Context) {
	l.roundMu.Lock()
	defer l.roundMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, durable.CallTimeout)
	defer cancel()
	if _, held := l.Held(); held || l.checkFree(ctx) {
		l.write(ctx, l.holder)
	}
}

// checkFree reads the lease object and reports whether this VM may take the lease.
func (l *Lease) checkFree(ctx context.Context) bool {
	o, err := l.store.Get(ctx, l.key)
	missing := errors.Is(err, durable.ErrNotFound)
	if err != nil && !missing {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if missing {
		l.version = 0
		return true
	}
	l.observe(o)
	if l.observedHolder == "" || l.observedHolder == l.holder {
		return true
	}
	return time.Since(l.observedAt) >= time.Duration(takeoverFactor*float64(l.settings.TTL))
}

// observe records the current lease object. Callers hold l.mu.
func (l *Lease) observe(o durable.Object) {
	if o.Version == l.version && !l.observedAt.IsZero() {
		return
	}
	var r record
	if err := cbor.Unmarshal(o.Value, &r); err != nil {
		r = record{Holder: "unreadable"} // the lease can be taken over after the usual wait
	}
	l.version, l.observedAt, l.observedHolder = o.Version, time.Now(), r.Holder
	sentAt, ours := l.unconfirmed[r.Nonce]
	if ours && r.Holder == l.holder {
		// The write took effect although its reply was lost; the hold started when the
		// write was sent.
		l.extend(sentAt)
	}
}

// write takes or renews the lease, or releases it if holder is empty.
func (l *Lease) write(ctx context.Context, holder string) {
	l.nonce++
	value, err := cbor.Marshal(record{Holder: holder, Nonce: l.nonce})
	if err != nil {
		panic(err) // encoding a string and a number can't fail
	}
	l.mu.Lock()
	version, sentAt := l.version, time.Now()
	l.unconfirmed[l.nonce] = sentAt
	l.mu.Unlock()
	o, err := l.store.Put(ctx, l.key, value, version)
	l.mu.Lock()
	defer l.mu.Unlock()
	var conflict *durable.ConflictError
	switch {
	case err == nil:
		l.version, l.observedAt, l.observedHolder = o.Version, time.Now(), holder
		if holder == l.holder {
			l.extend(sentAt)
		}
	case errors.As(err, &conflict):
		l.handleConflict(conflict.Current)
	}
	// After any other error the write had no effect or an unknown one. The current
	// hold keeps its end, and the next round learns the result from the object's version.
	l.expire()
}

// extend sets the end of the hold, measured from just before the write was sent.
// Callers hold l.mu.
func (l *Lease) extend(sentAt time.Time) {
	clear(l.unconfirmed)
	l.heldUntil = sentAt.Add(l.settings.TTL)
	if time.Now().Before(l.heldUntil) {
		l.fire(triggerTaken)
	}
}

// handleConflict records the object that a write conflicted with, which may be the
// result of an earlier write of this VM. Callers hold l.mu.
func (l *Lease) handleConflict(current durable.Object) {
	l.observedAt = time.Time{}
	if current.Version == 0 {
		l.version = 0
		l.fire(triggerLost)
		return
	}
	l.observe(current)
	if l.observedHolder != l.holder {
		l.fire(triggerLost)
	}
}

// release gives the lease up, so that another VM can take it at once. It does nothing
// if this VM doesn't hold the lease.
func (l *Lease) release(ctx context.Context) {
	l.roundMu.Lock()
	defer l.roundMu.Unlock()
	if _, held := l.Held(); !held {
		return
	}
	l.mu.Lock()
	l.fire(triggerReleased)
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, durable.CallTimeout)
	defer cancel()
	l.write(ctx, "")
}

// Dump holds the lease's part of the state dump.
type Dump struct {
	Lease string `json:"lease"`
	State string `json:"state"`
	// Left is the remaining time of this VM's hold.
	Left time.Duration `json:"left,omitempty"`
	// Holder and Version are as this VM last wrote or read the lease object.
	Holder  string `json:"holder"`
	Version int64  `json:"version"`
}

// Dump returns this VM's view of the lease.
func (l *Lease) Dump() Dump {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	d := Dump{Lease: l.key.Name, State: l.state(), Holder: l.observedHolder, Version: l.version}
	if d.State == stateHeld {
		d.Left = time.Until(l.heldUntil)
	}
	return d
}
