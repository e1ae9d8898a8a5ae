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

// Peers provides the other VMs' revisions and configurations.
type Peers interface {
	// Watcher reports whether this VM is one of the VMs of its data centre, usually two, that
	// hold the watch on the platform.
	Watcher() bool
	// Revisions returns the configuration revisions in the VMs' recent heartbeats, by VM.
	Revisions() map[string]int64
	// Fetch returns a VM's encoded configuration or delta if its revision is above have, else
	// nil.
	Fetch(ctx context.Context, vm string, have int64) ([]byte, error)
}

// Options configure a Cache.
type Options struct {
	// Store is the platform's store.
	Store durable.Store
	// Peers are the other VMs; nil if there are none.
	Peers Peers
	// Contacts asks the other VMs for their evidence. It is set exactly when Peers is.
	Contacts Contacts
	// DataCentre is the data centre of this VM.
	DataCentre string
	// VMs returns the number of VMs in each data centre in the platform's last list, this VM
	// included; nil if there are no other VMs.
	VMs func() map[string]int
	// Metrics counts the cache's operations; nil stands for unregistered metrics.
	Metrics *Metrics
	// Log receives a line for each change of the verdict or of the configuration's source.
	Log zerolog.Logger
}

// published is a configuration in force on this VM. encoded returns the bytes for other VMs,
// which are made at the first call.
type published struct {
	root    *root
	encoded func() []byte
}

// publishedFromBytes returns a configuration that was received encoded. The bytes are passed on
// unchanged, since those of a newer release hold fields that this release doesn't know.
func publishedFromBytes(r *root, encoded []byte) *published {
	return &published{root: r, encoded: func() []byte { return encoded }}
}

// publishedFromRoot returns a configuration that this VM assembled; encoded returns nil if the
// encoding fails.
func publishedFromRoot(r *root) *published {
	return &published{root: r, encoded: sync.OnceValue(func() []byte {
		encoded, err := r.encode()
		if err != nil {
			return nil
		}
		return encoded
	})}
}

// Cache holds the configuration in force on this VM. It only ever moves to a higher revision,
// whatever the platform or another VM sends.
type Cache struct {
	opts    Options
	current atomic.Pointer[published]
	poller  poller
	hints   chan hint

	// mu guards the fields below.
	mu      sync.Mutex
	changed chan struct{}
	// ownConfirmedAt is the latest time at which a call of this VM to the platform showed that
	// no newer root existed.
	ownConfirmedAt time.Time
	// confirmedAt is the latest time at which this VM's configuration is known to have been
	// current, by its own call or another VM's. It never decreases.
	confirmedAt time.Time
	// storeFailing reports whether this VM's last call to the platform failed.
	storeFailing bool
	// verdict is the last verdict on staleness.
	verdict staleness.Verdict
	// mode is the present source of the configuration.
	mode Mode
}

// NewCache returns a cache at revision zero. Run fills it.
func NewCache(opts Options) *Cache {
	if opts.Metrics == nil {
		opts.Metrics = NewMetrics(nil)
	}
	c := &Cache{opts: opts, changed: make(chan struct{}), mode: ModeStarting, hints: make(chan hint, 1)}
	c.poller = poller{contacts: opts.Contacts, metrics: opts.Metrics, reports: make(map[string]staleness.Report)}
	c.current.Store(publishedFromBytes(&root{Format: formatVersion, Snapshot: &Snapshot{}}, nil))
	return c
}

// Snapshot returns the configuration in force. It is never nil, and callers must not modify it.
func (c *Cache) Snapshot() *Snapshot { return c.current.Load().root.Snapshot }

// Revision returns the revision in force.
func (c *Cache) Revision() int64 { return c.Snapshot().Revision }

// Encoded returns the bytes that bring a VM from revision have to the one in force here: a
// delta if the history reaches back to have, else the whole configuration. It returns nil if
// have is not below the revision in force. With have 0 it returns the whole configuration.
func (c *Cache) Encoded(have int64) []byte {
	p := c.current.Load()
	if p.root.Snapshot.Revision <= have {
		return nil
	}
	if d, ok := p.root.encodeDelta(have); ok {
		return d
	}
	return p.encoded()
}

// Offer decodes a configuration or delta from the platform, another VM or an accepted change,
// and puts it in force if it is newer. It reports whether it did. The error is ErrFormat, or
// says that a delta does not fit.
func (c *Cache) Offer(encoded []byte) (bool, error) {
	_, ok, err := c.install(encoded)
	return ok, err
}

// install decodes a configuration or delta and puts it in force if it is newer. It returns its
// revision and whether it was put in force.
func (c *Cache) install(encoded []byte) (int64, bool, error) {
	var p *published
	if bytes.HasPrefix(encoded, deltaMagic) {
		r, err := c.current.Load().root.applyDelta(encoded)
		if err != nil {
			c.opts.Metrics.Misfits.Inc()
			return 0, false, err
		}
		p = publishedFromRoot(r)
	} else {
		r, err := decodeRoot(encoded)
		if err != nil {
			c.opts.Metrics.Undecodable.Inc()
			return 0, false, err
		}
		p = publishedFromBytes(r, encoded)
	}
	return p.root.Snapshot.Revision, c.publish(p), nil
}

// publish puts a configuration in force if its revision is higher than the one in force. A
// stale list, a late watch event or a VM that lags would otherwise restore a withdrawn version.
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

// WaitRevision waits until the configuration is at revision or above and returns it, so that a
// change can be read on any VM. It returns the context's error if ctx ends first.
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

// Changed returns a channel that is closed at the next publication. Callers get the channel
// before they read the snapshot, so that they miss no publication.
func (c *Cache) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Subscribe calls f with the configuration in force and with later ones until ctx ends. If f is
// slow, it misses revisions in between; revisions never decrease.
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

// State is the configuration part of the state dump.
type State struct {
	// Revision is the revision in force.
	Revision int64 `json:"revision"`
	Mode     Mode  `json:"mode"`
	// StoreFailing reports whether this VM's last call to the platform failed.
	StoreFailing bool               `json:"storeFailing"`
	Staleness    staleness.Decision `json:"staleness"`
	// Objects is the number of objects of each kind.
	Objects map[Kind]int `json:"objects"`
}

// Dump returns the revision in force, its source, the decision whether this VM takes work, and
// the number of objects of each kind.
func (c *Cache) Dump(now time.Time) State {
	s := c.Snapshot()
	c.mu.Lock()
	mode, failing := c.mode, c.storeFailing
	c.mu.Unlock()
	counts := make(map[Kind]int)
	for _, kind := range Kinds {
		counts[kind] = len(s.unsorted(kind))
	}
	return State{
		Revision: s.Revision, Mode: mode, StoreFailing: failing,
		Staleness: c.evaluate(now), Objects: counts,
	}
}
