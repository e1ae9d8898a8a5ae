package config

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"goldcrestfork/config/staleness"
	"goldcrestfork/durable"
)

// Peers is what a cache needs of the other VMs.
type Peers interface {
	// Watcher reports whether this VM ranks among the about two of its data centre
	// that hold the platform's watch.
	Watcher() bool
	// Revisions gives the configuration revision of each VM heard lately, by VM.
	Revisions() map[string]int64
	// Fetch asks a VM for its encoded configuration if its revision is above have; nil when it isn't.
	Fetch(ctx context.Context, vm string, have int64) ([]byte, error)
}

// Options of a cache.
type Options struct {
	// Store is the platform.
	Store durable.Store
	// Peers are the other VMs; nil for a VM alone.
	Peers Peers
	// Contacts asks the other VMs for their evidence; given exactly when Peers is.
	Contacts Contacts
	// DataCentre is where this VM runs.
	DataCentre string
	// VMs gives the number of VMs in each data centre by the platform's last list, this
	// one included; nil for a VM alone.
	VMs func() map[string]int
	// Metrics counts; nil counts nowhere.
	Metrics *Metrics
	// Log takes a line for each change of the verdict or of the source.
	Log zerolog.Logger
}

// published is one configuration in force on this VM, with the bytes that peers
// are given; they are made when the first peer needs them.
type published struct {
	root    *root
	encoded func() []byte
}

// fromBytes is a configuration that came encoded. The bytes are passed on as they
// are: a newer release's hold fields that this one does not know.
func fromBytes(r *root, encoded []byte) *published {
	return &published{root: r, encoded: func() []byte { return encoded }}
}

// fromDelta is a configuration that was made here; nil bytes if it can't be encoded.
func fromDelta(r *root) *published {
	return &published{root: r, encoded: sync.OnceValue(func() []byte {
		encoded, err := r.encode()
		if err != nil {
			return nil
		}
		return encoded
	})}
}

// Cache holds the configuration in force on this VM. It only ever moves to a
// higher revision, whatever the platform or a peer says.
type Cache struct {
	opts    Options
	current atomic.Pointer[published]
	inquiry inquiry
	hints   chan hint

	// mu guards what follows.
	mu      sync.Mutex
	changed chan struct{}
	// confirmed is when this VM's own call to the platform last showed that no newer root existed.
	confirmed time.Time
	// proof is the latest moment at which this VM's configuration is known to have been
	// current, by its own call or another VM's; it stays true whatever comes later.
	proof time.Time
	// failing says that this VM's last call to the platform failed.
	failing bool
	// verdict is the last one that was given.
	verdict staleness.Verdict
	// mode is where the configuration comes from now.
	mode Mode
}

// NewCache returns a cache at revision zero; Run fills it.
func NewCache(opts Options) *Cache {
	if opts.Metrics == nil {
		opts.Metrics = NewMetrics(nil)
	}
	c := &Cache{opts: opts, changed: make(chan struct{}), mode: ModeStarting, hints: make(chan hint, 1)}
	c.inquiry = inquiry{contacts: opts.Contacts, metrics: opts.Metrics, reports: make(map[string]staleness.Report)}
	c.current.Store(fromBytes(&root{Format: format, Snapshot: &Snapshot{}}, nil))
	return c
}

// Snapshot returns the configuration in force; it is never nil and never changed.
func (c *Cache) Snapshot() *Snapshot { return c.current.Load().root.Snapshot }

// Revision returns the revision in force.
func (c *Cache) Revision() int64 { return c.Snapshot().Revision }

// Encoded returns the bytes that bring a peer from revision have to the one in
// force here: a delta where the history reaches back, else the whole. It is nil
// when the peer has as much. A have of 0 asks for the whole.
func (c *Cache) Encoded(have int64) []byte {
	p := c.current.Load()
	if p.root.Snapshot.Revision <= have {
		return nil
	}
	if d, ok := p.root.delta(have); ok {
		return d
	}
	return p.encoded()
}

// Offer takes an encoded configuration or delta from the platform, a peer or an
// accepted change, and reports whether it was put in force.
func (c *Cache) Offer(encoded []byte) (bool, error) {
	_, ok, err := c.take(encoded)
	return ok, err
}

// take puts an encoded configuration or delta in force if it is newer, and returns
// its revision.
func (c *Cache) take(encoded []byte) (int64, bool, error) {
	var p *published
	if bytes.HasPrefix(encoded, deltaMagic) {
		r, err := c.current.Load().root.apply(encoded)
		if err != nil {
			c.opts.Metrics.Misfits.Inc()
			return 0, false, err
		}
		p = fromDelta(r)
	} else {
		r, err := decodeRoot(encoded)
		if err != nil {
			c.opts.Metrics.Undecodable.Inc()
			return 0, false, err
		}
		p = fromBytes(r, encoded)
	}
	return p.root.Snapshot.Revision, c.publish(p), nil
}

// publish puts a configuration in force only if its revision is higher than the
// one in force: a stale list, a late watch event or a peer that lags would
// otherwise bring a withdrawn version back.
func (c *Cache) publish(p *published) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	revision := p.root.Snapshot.Revision
	if revision <= c.Revision() {
		c.opts.Metrics.Stale.Inc()
		return false
	}
	c.current.Store(p)
	c.opts.Metrics.Revision.Set(float64(revision))
	c.opts.Metrics.Published.Inc()
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// WaitRevision returns the configuration once it is at revision or above, for
// read-your-writes on any VM, or the context's error.
func (c *Cache) WaitRevision(ctx context.Context, revision int64) (*Snapshot, error) {
	for {
		changed := c.Changed()
		if s := c.Snapshot(); s.Revision >= revision {
			return s, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Changed returns a channel that closes at the next publication. Take it before
// reading the snapshot, so that none is missed.
func (c *Cache) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Subscribe calls f with the configuration in force and with each later one
// until ctx ends. A slow f skips revisions, never goes back.
func (c *Cache) Subscribe(ctx context.Context, f func(*Snapshot)) {
	for {
		changed := c.Changed()
		f(c.Snapshot())
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// State is the cache's part of the state dump.
type State struct {
	Revision     int64              `json:"revision"`
	Mode         Mode               `json:"mode"`
	StoreFailing bool               `json:"storeFailing"`
	Staleness    staleness.Decision `json:"staleness"`
	Objects      map[Kind]int       `json:"objects"`
}

// Dump says what is in force here, where it came from and why work is taken or not.
func (c *Cache) Dump(now time.Time) State {
	s := c.Snapshot()
	c.mu.Lock()
	mode, failing := c.mode, c.failing
	c.mu.Unlock()
	counts := make(map[Kind]int)
	for _, kind := range Kinds {
		counts[kind] = len(s.unsorted(kind))
	}
	return State{
		Revision: s.Revision, Mode: mode, StoreFailing: failing,
		Staleness: c.judge(now), Objects: counts,
	}
}
