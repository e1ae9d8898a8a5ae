package config

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"goldcrestfork/durable"
)

// Mode is the source of a cache's configuration.
type Mode string

// The modes of a cache.
const (
	// ModeStarting is the mode before the first step: nothing is in force yet.
	ModeStarting Mode = "starting"
	// ModeWatching holds a watch on the platform.
	ModeWatching Mode = "watching"
	// ModeFollowing fetches the configuration from other VMs.
	ModeFollowing Mode = "following"
	// ModeReading lists the platform's objects, since the other VMs gave no recent confirmation.
	ModeReading Mode = "reading"
)

// Periods and timeouts of a cache.
const (
	// WatchRotation is how long one watch is held before a new one is opened. A watch over a
	// dead connection looks like one without events, so only a newly opened watch confirms that
	// no event was missed. At 3 s, a watcher's confirmation stays younger than half of
	// staleness.MaxConfirmationAge, and each watcher makes a third of a call a second.
	WatchRotation = 3 * time.Second
	// followPeriod is how often a follower compares its revision with those in the heartbeats.
	// The comparison makes up for lost notices, so half of a heartbeat's period is soon enough.
	// It lists the fleet, which takes a tenth of a millisecond or more with 400 VMs.
	followPeriod = 500 * time.Millisecond
	// fetchTimeout bounds one fetch from a VM: a root of 100 KB takes milliseconds within a
	// region and a few hundred from another region.
	fetchTimeout = time.Second
	// directReadAge is the age of the last confirmation, by any VM, above which a follower reads
	// the platform itself. It is above the age in a healthy watcher's answer (two rotations of
	// at most 3.6 s, and askPeriod) and below staleness.MaxConfirmationAge by two attempts.
	directReadAge = 10 * time.Second
	// minRetryDelay and maxRetryDelay bound the mean pause after failed calls to the platform.
	// With 400 VMs, maxRetryDelay means 80 calls a second when an outage ends.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// Run keeps the cache up to date until ctx ends.
func (c *Cache) Run(ctx context.Context) {
	var background sync.WaitGroup
	defer background.Wait()
	if c.opts.Contacts != nil {
		background.Go(func() { c.pollPeers(ctx) })
		background.Go(func() { c.announce(ctx) })
	}
	failures := 0
	for ctx.Err() == nil {
		var err error
		switch c.chooseMode(time.Now()) {
		case ModeWatching:
			err = c.watch(ctx)
		case ModeReading:
			_, err = c.list(ctx)
			if err == nil {
				sleep(ctx, jitter(followPeriod))
			}
		case ModeFollowing:
			c.follow(ctx)
			c.waitForHint(ctx, jitter(followPeriod))
		}
		if err == nil {
			failures = 0
			continue
		}
		failures++
		c.backOff(ctx, failures)
	}
}

// backOff waits after a failed call to the platform and goes on fetching from other VMs
// meanwhile.
func (c *Cache) backOff(ctx context.Context, failures int) {
	mean := min(maxRetryDelay, minRetryDelay<<min(failures-1, 10))
	until := time.Now().Add(jitter(mean))
	for ctx.Err() == nil && time.Now().Before(until) {
		c.follow(ctx)
		c.waitForHint(ctx, min(followPeriod, time.Until(until)))
	}
}

// chooseMode returns the mode for the next step.
func (c *Cache) chooseMode(now time.Time) Mode {
	mode := ModeFollowing
	switch {
	case c.opts.Peers == nil || c.opts.Peers.Watcher():
		mode = ModeWatching
	case c.evaluate(now).Age(now) > directReadAge:
		mode = ModeReading
	}
	c.mu.Lock()
	changed := c.mode != mode
	c.mode = mode
	c.mu.Unlock()
	if changed {
		c.opts.Metrics.ModeChanges.WithLabelValues(string(mode)).Inc()
		c.opts.Log.Info().Str("mode", string(mode)).Msg("configuration source changed")
	}
	return mode
}

// list reads the root and returns the platform's revision from which a watch misses no event.
func (c *Cache) list(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, durable.CallTimeout)
	defer cancel()
	start, floor := time.Now(), c.Revision()
	listing, err := c.opts.Store.List(ctx, RootKey.Kind)
	c.opts.Metrics.StoreCalls.WithLabelValues("list").Inc()
	if err != nil {
		c.recordFailure()
		return 0, err
	}
	listed := int64(0)
	for _, o := range listing.Objects {
		if o.Key == RootKey {
			if listed, _, err = c.install(o.Value); err != nil {
				return 0, err
			}
		}
	}
	if listed < floor {
		// A root that is older than the one in force doesn't show that there is no newer one.
		c.recordFailure()
		c.opts.Metrics.Reverted.Inc()
		return 0, ErrReverted
	}
	c.recordConfirmation(start)
	return listing.Revision, nil
}

// watch holds a watch on the platform and opens a new one each WatchRotation, while this VM is
// a watcher.
func (c *Cache) watch(ctx context.Context) error {
	from, err := c.list(ctx)
	if err != nil {
		return err
	}
	for ctx.Err() == nil && c.chooseMode(time.Now()) == ModeWatching {
		from, err = c.rotate(ctx, from)
		switch {
		case errors.Is(err, durable.ErrGone):
			// The platform no longer has the events after this revision, so only a list closes the
			// gap.
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

// rotate holds one watch for a WatchRotation and returns the platform's revision to continue
// from.
func (c *Cache) rotate(ctx context.Context, from int64) (int64, error) {
	start := time.Now()
	w, err := c.openWatch(ctx, from)
	if err != nil {
		return from, err
	}
	defer w.Close()
	held, cancel := context.WithDeadline(ctx, start.Add(jitteredRotation()))
	defer cancel()
	for {
		event, err := w.Next(held)
		switch {
		case err != nil && held.Err() != nil:
			// All changes from before the watch was opened have been delivered by now.
			if ctx.Err() == nil {
				c.recordConfirmation(start)
			}
			return from, nil
		case err != nil:
			if !errors.Is(err, durable.ErrGone) {
				c.recordFailure()
			}
			return from, err
		}
		from = event.Version
		if event.Key != RootKey || event.Deleted {
			continue
		}
		if _, _, err := c.install(event.Value); err != nil {
			return from, err
		}
	}
}

// openWatch opens a watch. The timeout bounds the call, not the watch.
func (c *Cache) openWatch(ctx context.Context, from int64) (durable.Watch, error) {
	ctx, cancel := context.WithTimeout(ctx, durable.CallTimeout)
	defer cancel()
	c.opts.Metrics.StoreCalls.WithLabelValues("watch").Inc()
	w, err := c.opts.Store.Watch(ctx, RootKey.Kind, from)
	if err != nil && !errors.Is(err, durable.ErrGone) {
		c.recordFailure()
	}
	return w, err
}

// follow fetches the configuration from a VM that has a higher revision, if there is one.
func (c *Cache) follow(ctx context.Context) {
	if c.opts.Peers == nil {
		return
	}
	have := c.Revision()
	ahead := newestPeers(c.opts.Peers.Revisions(), have)
	// The VMs are tried in random order, so that the fetches of a new revision spread over all
	// VMs that have it instead of the two watchers.
	rand.Shuffle(len(ahead), func(i, j int) { ahead[i], ahead[j] = ahead[j], ahead[i] })
	for _, vm := range ahead[:min(len(ahead), maxFetches)] {
		if c.fetch(ctx, vm, have) {
			return
		}
	}
}

// maxFetches bounds the VMs asked in one call of follow; the next call comes after
// followPeriod.
const maxFetches = 2

// fetch fetches from one VM and reports whether its answer was put in force. If a delta does
// not fit, fetch gets the whole configuration, unless the revision has changed meanwhile.
func (c *Cache) fetch(ctx context.Context, vm string, have int64) bool {
	ok, err := c.fetchOnce(ctx, vm, have)
	if errors.Is(err, errDeltaMismatch) && c.Revision() == have {
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

// newestPeers lists the VMs with the highest revision, if it is above have.
func newestPeers(revisions map[string]int64, have int64) []string {
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

// jitteredRotation returns 0.8 to 1.2 times WatchRotation, so that watchers don't call at the
// same time. The upper limit keeps the age of a confirmation below staleness.MaxConfirmationAge.
func jitteredRotation() time.Duration {
	return WatchRotation*4/5 + time.Duration(rand.Int64N(int64(WatchRotation*2/5)))
}

// jitter returns 0.5 to 1.5 times d, so that VMs don't call at the same time.
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
