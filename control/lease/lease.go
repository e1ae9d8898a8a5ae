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

// Kind is the platform's kind of lease objects.
const Kind = "lease"

// Settings are the figures of a Lease.
type Settings struct {
	// TTL is how long the holder may act after a renewal was sent. Default 6 s: at
	// a holder's death the next one acts within TTL, its margin and a renewal,
	// 8.6 s; a shorter lease would be lost to one slow platform call.
	TTL time.Duration
	// Renew is the time between renewals, and between looks of the others. Default TTL/3.
	Renew time.Duration
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings { return Settings{TTL: 6 * time.Second, Renew: 2 * time.Second} }

// patience is how much longer than TTL the others wait, for clocks that run at
// unlike rates. A tenth is far beyond what a quartz or a slewed clock is off.
const patience = 1.1

// record is the lease object's value.
type record struct {
	// Holder is a VM's incarnation; empty where the last holder gave it up.
	Holder string `cbor:"1,keyasint"`
	// Nonce tells the holder's writes apart when a reply was lost.
	Nonce uint64 `cbor:"2,keyasint"`
}

// Lease is one VM's view of one lease. Safe for concurrent use.
type Lease struct {
	store    durable.Store
	key      durable.Key
	holder   string
	settings Settings
	metrics  metrics

	// tick keeps rounds apart.
	tick  sync.Mutex
	nonce uint64

	mu      sync.Mutex
	machine *stateless.StateMachine
	// version is the object's version at our last write or look, seenAt when a
	// look first showed it, seenHolder whose it was.
	version    int64
	seenAt     time.Time
	seenHolder string
	// until is when our hold ends by our own clock.
	until time.Time
	// sent are the writes without a reply: nonce to the moment before sending.
	sent map[uint64]time.Time
}

// New returns a Lease on the object named name. holder names this incarnation of
// the VM; a replaced VM must use another one.
func New(store durable.Store, name, holder string, s Settings, reg prometheus.Registerer, log zerolog.Logger) *Lease {
	l := &Lease{
		store: store, key: durable.Key{Kind: Kind, Name: name}, holder: holder, settings: s,
		sent:    make(map[uint64]time.Time),
		metrics: newMetrics(name, reg),
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

// Held says whether this VM holds the lease, and until when by its own clock.
// Ask right before each act: a process that was paused finds out here.
func (l *Lease) Held() (until time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lapse()
	return l.until, l.state() == stateHeld
}

// lapse ends a hold that has run out. Callers hold l.mu.
func (l *Lease) lapse() {
	if l.state() == stateHeld && !time.Now().Before(l.until) {
		l.fire(triggerLapsed)
	}
}

func (l *Lease) state() string { return l.machine.MustState().(string) }

// fire is for triggers that every state permits or ignores. Callers hold l.mu.
func (l *Lease) fire(trigger string) {
	if err := l.machine.Fire(trigger); err != nil {
		panic(err) // a state that doesn't know a trigger is a broken invariant
	}
}

// Run keeps the lease while candidate says that this VM should try, and gives it
// up when it says so no more or ctx ends. Few VMs should be candidates: each looks
// once each Renew. A holder that stayed on after others were ranked before it would
// hold the lease without being sent what its loop works with.
func (l *Lease) Run(ctx context.Context, candidate func() bool) {
	ticker := time.NewTicker(l.settings.Renew)
	defer ticker.Stop()
	for {
		if candidate() {
			l.Tick(ctx)
		} else {
			l.giveUp(ctx)
		}
		select {
		case <-ctx.Done():
			l.giveUp(context.WithoutCancel(ctx))
			return
		case <-ticker.C:
		}
	}
}

// Tick does one round: the holder renews, another looks and takes over what lapsed.
func (l *Lease) Tick(ctx context.Context) {
	l.tick.Lock()
	defer l.tick.Unlock()
	ctx, cancel := context.WithTimeout(ctx, durable.CallTimeout)
	defer cancel()
	if _, held := l.Held(); held || l.look(ctx) {
		l.write(ctx, l.holder)
	}
}

// look reads the object and says whether the lease is free to take.
func (l *Lease) look(ctx context.Context) bool {
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
	l.see(o)
	if l.seenHolder == "" || l.seenHolder == l.holder {
		return true
	}
	return time.Since(l.seenAt) >= time.Duration(patience*float64(l.settings.TTL))
}

// see notes the object as it stands. Callers hold l.mu.
func (l *Lease) see(o durable.Object) {
	if o.Version == l.version && !l.seenAt.IsZero() {
		return
	}
	var r record
	if err := cbor.Unmarshal(o.Value, &r); err != nil {
		r = record{Holder: "unreadable"} // waits out as any other holder
	}
	l.version, l.seenAt, l.seenHolder = o.Version, time.Now(), r.Holder
	sentAt, ours := l.sent[r.Nonce]
	if ours && r.Holder == l.holder {
		// A reply was lost and the write took effect: we hold since its sending.
		l.hold(sentAt)
	}
}

// write takes, renews or (holder empty) gives up the lease.
func (l *Lease) write(ctx context.Context, holder string) {
	l.nonce++
	value, err := cbor.Marshal(record{Holder: holder, Nonce: l.nonce})
	if err != nil {
		panic(err) // a struct of a string and a number always encodes
	}
	l.mu.Lock()
	version, sentAt := l.version, time.Now()
	l.sent[l.nonce] = sentAt
	l.mu.Unlock()
	o, err := l.store.Put(ctx, l.key, value, version)
	l.mu.Lock()
	defer l.mu.Unlock()
	var conflict *durable.ConflictError
	switch {
	case err == nil:
		l.version, l.seenAt, l.seenHolder = o.Version, time.Now(), holder
		if holder == l.holder {
			l.hold(sentAt)
		}
	case errors.As(err, &conflict):
		l.lose(conflict.Current)
	}
	// Otherwise the effect is unknown or there was none: the hold ends when it
	// ends, and the next round finds out by the object's version.
	l.lapse()
}

// hold counts from before the write was sent. Callers hold l.mu.
func (l *Lease) hold(sentAt time.Time) {
	clear(l.sent)
	l.until = sentAt.Add(l.settings.TTL)
	if time.Now().Before(l.until) {
		l.fire(triggerTaken)
	}
}

// lose notes the object that a write met; it may be our own earlier write. Callers hold l.mu.
func (l *Lease) lose(current durable.Object) {
	l.seenAt = time.Time{}
	if current.Version == 0 {
		l.version = 0
		l.fire(triggerLost)
		return
	}
	l.see(current)
	if l.seenHolder != l.holder {
		l.fire(triggerLost)
	}
}

// giveUp lets the next holder act at once; nothing happens where the lease isn't held.
func (l *Lease) giveUp(ctx context.Context) {
	l.tick.Lock()
	defer l.tick.Unlock()
	if _, held := l.Held(); !held {
		return
	}
	l.mu.Lock()
	l.fire(triggerGiven)
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, durable.CallTimeout)
	defer cancel()
	l.write(ctx, "")
}

// Dump is the lease's part of the state dump.
type Dump struct {
	Lease   string        `json:"lease"`
	State   string        `json:"state"`
	Left    time.Duration `json:"left,omitempty"`
	Holder  string        `json:"holder"`
	Version int64         `json:"version"`
}

// Dump returns the lease as this VM sees it.
func (l *Lease) Dump() Dump {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lapse()
	d := Dump{Lease: l.key.Name, State: l.state(), Holder: l.seenHolder, Version: l.version}
	if d.State == stateHeld {
		d.Left = time.Until(l.until)
	}
	return d
}
