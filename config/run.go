package config

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"goldcrestfork/durable"
)

// Mode says where a cache takes the configuration from.
type Mode string

// The modes of a cache.
const (
	// ModeStarting: nothing is in force yet.
	ModeStarting Mode = "starting"
	// ModeWatching: it holds the platform's watch.
	ModeWatching Mode = "watching"
	// ModeFollowing: it takes the configuration from peers.
	ModeFollowing Mode = "following"
	// ModeReading: it hears too little from its peers and reads the platform itself.
	ModeReading Mode = "reading"
)

// Periods of a cache.
const (
	// Rotation is how long one watch is held before it is opened anew. A watch over
	// a dead connection looks like one without events, so only a fresh one proves
	// that nothing was missed. 3 s keeps the proof under half of staleness.Bound at
	// a price of a third of a call a second for each watcher.
	Rotation = 3 * time.Second
	// lookPeriod is how often a follower compares its revision with those heard. It
	// is the way of a lost notice, so half of a heartbeat's period is soon enough; a
	// look lists the fleet, which at 400 VMs takes a tenth of a millisecond or more.
	lookPeriod = 500 * time.Millisecond
	// fetchTimeout bounds one fetch from a peer: a root of 100 KB within a region
	// takes milliseconds, another region's round trip a few hundred (estimated).
	fetchTimeout = time.Second
	// readAfter is the age of the last proof from anybody at which a follower reads
	// the platform itself: above what a sound watcher's answer gives (two rotations of
	// at most 3.6 s, and askPeriod), below staleness.Bound by two attempts.
	readAfter = 10 * time.Second
	// minRetry and maxRetry bound the mean pause after failed calls to the platform.
	// At 400 VMs the upper one is 80 calls a second when an outage ends.
	minRetry = 200 * time.Millisecond
	maxRetry = 5 * time.Second
)

// Run keeps the cache up to date until ctx ends.
func (c *Cache) Run(ctx context.Context) {
	var background sync.WaitGroup
	defer background.Wait()
	if c.opts.Contacts != nil {
		background.Go(func() { c.inquire(ctx) })
		background.Go(func() { c.announce(ctx) })
	}
	failures := 0
	for ctx.Err() == nil {
		var err error
		switch c.choose(time.Now()) {
		case ModeWatching:
			err = c.watch(ctx)
		case ModeReading:
			_, err = c.list(ctx)
			if err == nil {
				sleep(ctx, jitter(lookPeriod))
			}
		case ModeFollowing:
			c.follow(ctx)
			c.idle(ctx, jitter(lookPeriod))
		}
		if err == nil {
			failures = 0
			continue
		}
		failures++
		c.retreat(ctx, failures)
	}
}

// retreat waits after a failed call to the platform; peers are listened to meanwhile.
func (c *Cache) retreat(ctx context.Context, failures int) {
	mean := min(maxRetry, minRetry<<min(failures-1, 10))
	until := time.Now().Add(jitter(mean))
	for ctx.Err() == nil && time.Now().Before(until) {
		c.follow(ctx)
		c.idle(ctx, min(lookPeriod, time.Until(until)))
	}
}

// choose picks the mode for the next step.
func (c *Cache) choose(now time.Time) Mode {
	mode := ModeFollowing
	switch {
	case c.opts.Peers == nil || c.opts.Peers.Watcher():
		mode = ModeWatching
	case c.judge(now).Age(now) > readAfter:
		mode = ModeReading
	}
	c.mu.Lock()
	changed := c.mode != mode
	c.mode = mode
	c.mu.Unlock()
	if changed {
		c.opts.Metrics.ModeChanges.WithLabelValues(string(mode)).Inc()
		c.opts.Log.Info().Str("mode", string(mode)).Msg("source of configuration changed")
	}
	return mode
}

// list reads the root and returns the revision from which a watch misses nothing.
func (c *Cache) list(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, durable.CallTimeout)
	defer cancel()
	start, floor := time.Now(), c.Revision()
	listing, err := c.opts.Store.List(ctx, RootKey.Kind)
	c.opts.Metrics.StoreCalls.WithLabelValues("list").Inc()
	if err != nil {
		c.failed()
		return 0, err
	}
	seen := int64(0)
	for _, o := range listing.Objects {
		if o.Key == RootKey {
			if seen, _, err = c.take(o.Value); err != nil {
				return 0, err
			}
		}
	}
	if seen < floor {
		// An older root than the one in force proves nothing about newer ones.
		c.failed()
		c.opts.Metrics.Reverted.Inc()
		return 0, ErrReverted
	}
	c.confirm(start)
	return listing.Revision, nil
}

// watch holds the platform's watch, opened anew each Rotation, while this VM ranks as a watcher.
func (c *Cache) watch(ctx context.Context) error {
	from, err := c.list(ctx)
	if err != nil {
		return err
	}
	for ctx.Err() == nil && c.choose(time.Now()) == ModeWatching {
		from, err = c.rotate(ctx, from)
		switch {
		case errors.Is(err, durable.ErrGone):
			// The platform dropped events that were asked for: only a list closes the gap.
			c.opts.Metrics.Relists.Inc()
			if from, err = c.list(ctx); err != nil {
				return err
			}
		case err != nil:
			return err
		}
	}
	return nil
}

// rotate holds one watch for a Rotation and returns the version to go on from.
func (c *Cache) rotate(ctx context.Context, from int64) (int64, error) {
	start := time.Now()
	w, err := c.open(ctx, from)
	if err != nil {
		return from, err
	}
	defer w.Close()
	held, cancel := context.WithDeadline(ctx, start.Add(rotation()))
	defer cancel()
	for {
		event, err := w.Next(held)
		switch {
		case err != nil && held.Err() != nil:
			// What changed before the watch was opened has been delivered by now.
			if ctx.Err() == nil {
				c.confirm(start)
			}
			return from, nil
		case err != nil:
			if !errors.Is(err, durable.ErrGone) {
				c.failed()
			}
			return from, err
		}
		from = event.Version
		if event.Key != RootKey || event.Deleted {
			continue
		}
		if _, _, err := c.take(event.Value); err != nil {
			return from, err
		}
	}
}

// open starts a watch; the call is bounded, the watch is not.
func (c *Cache) open(ctx context.Context, from int64) (durable.Watch, error) {
	ctx, cancel := context.WithTimeout(ctx, durable.CallTimeout)
	defer cancel()
	c.opts.Metrics.StoreCalls.WithLabelValues("watch").Inc()
	w, err := c.opts.Store.Watch(ctx, RootKey.Kind, from)
	if err != nil && !errors.Is(err, durable.ErrGone) {
		c.failed()
	}
	return w, err
}

// follow takes the configuration from a peer that has a higher revision, if one is heard.
func (c *Cache) follow(ctx context.Context) {
	if c.opts.Peers == nil {
		return
	}
	have := c.Revision()
	ahead := newest(c.opts.Peers.Revisions(), have)
	// Any of those ahead will do; the first of a random order spreads a new revision
	// over all that have it instead of over the two watchers.
	rand.Shuffle(len(ahead), func(i, j int) { ahead[i], ahead[j] = ahead[j], ahead[i] })
	for _, vm := range ahead[:min(len(ahead), maxFetches)] {
		if c.fetch(ctx, vm, have) {
			return
		}
	}
}

// maxFetches bounds the peers asked in one round; the next round is lookPeriod away.
const maxFetches = 2

// fetch asks one peer and reports whether its answer was put in force. A delta
// that does not fit is followed by the whole, unless another answer came first.
func (c *Cache) fetch(ctx context.Context, vm string, have int64) bool {
	ok, err := c.fetchOnce(ctx, vm, have)
	if errors.Is(err, errNoDelta) && c.Revision() == have {
		ok, _ = c.fetchOnce(ctx, vm, 0)
	}
	return ok
}

func (c *Cache) fetchOnce(ctx context.Context, vm string, have int64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	encoded, err := c.opts.Peers.Fetch(ctx, vm, have)
	if err != nil || encoded == nil {
		c.opts.Metrics.Fetches.WithLabelValues("failed").Inc()
		return false, err
	}
	c.opts.Metrics.Fetches.WithLabelValues("answered").Inc()
	c.opts.Metrics.FetchedBytes.Add(float64(len(encoded)))
	return c.Offer(encoded)
}

// newest lists the VMs above have that are at the highest revision heard.
func newest(revisions map[string]int64, have int64) []string {
	var ahead []string
	best := have
	for vm, revision := range revisions {
		switch {
		case revision > best:
			best, ahead = revision, append(ahead[:0], vm)
		case revision == best && revision > have:
			ahead = append(ahead, vm)
		}
	}
	return ahead
}

// rotation spreads Rotation over 0.8 to 1.2 of it, so that watchers part and the
// age of a proof stays under staleness.Bound.
func rotation() time.Duration {
	return Rotation*4/5 + time.Duration(rand.Int64N(int64(Rotation*2/5)))
}

// jitter spreads a pause over half to one and a half of it, so that VMs part.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
