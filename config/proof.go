package config

import (
	"context"
	"time"

	"goldcrestfork/config/staleness"
)

// recordConfirmation records a successful call to the platform that began at start and showed
// that no root newer than the one in force existed then.
func (c *Cache) recordConfirmation(start time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeFailing = false
	if start.After(c.ownConfirmedAt) {
		c.ownConfirmedAt = start
	}
}

// recordFailure records a failed call to the platform.
func (c *Cache) recordFailure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeFailing = true
	c.opts.Metrics.StoreErrors.Inc()
}

// Evidence returns what this VM reports to others about its configuration. The confirmation may
// come from a third VM, whose answer's age is included.
func (c *Cache) Evidence(now time.Time) staleness.Evidence {
	v := c.view(now)
	e := staleness.Evidence{Revision: v.Revision, StoreFailing: v.StoreFailing, ConfirmedAge: staleness.Never}
	// The revision and the age come from one view. With the confirmation of a later revision,
	// the other VM would take this one for current.
	if d := staleness.Decide(v, now); !d.Confirmed.IsZero() {
		e.ConfirmedAge = d.Age(now)
	}
	return e
}

// view collects the input of the staleness decisions.
func (c *Cache) view(now time.Time) staleness.View {
	v := staleness.View{DataCentre: c.opts.DataCentre}
	if c.opts.VMs != nil {
		v.VMs = c.opts.VMs()
	} else {
		v.VMs = map[string]int{c.opts.DataCentre: 1}
	}
	v.Reports = c.poller.recentReports(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	v.Revision, v.Confirmed, v.StoreFailing = c.Revision(), c.ownConfirmedAt, c.storeFailing
	return v
}

// Staleness decides whether this VM may take new work under its configuration. It runs for each
// request, so it returns at once if the kept confirmation is recent enough, without a look at
// the fleet.
func (c *Cache) Staleness(now time.Time) staleness.Decision {
	c.mu.Lock()
	confirmedAt := c.confirmedAt
	c.mu.Unlock()
	if !confirmedAt.IsZero() && now.Sub(confirmedAt) <= staleness.MaxConfirmationAge {
		return staleness.Decision{Verdict: staleness.Fresh, Confirmed: confirmedAt, Reason: "proved current"}
	}
	return c.evaluate(now)
}

// evaluate decides from all evidence, keeps the confirmation and records a change of the
// verdict.
func (c *Cache) evaluate(now time.Time) staleness.Decision {
	d := staleness.Decide(c.view(now), now)
	c.mu.Lock()
	if d.Confirmed.After(c.confirmedAt) {
		c.confirmedAt = d.Confirmed
	}
	changed := d.Verdict != c.verdict
	c.verdict = d.Verdict
	c.mu.Unlock()
	if changed {
		c.opts.Metrics.Verdicts.WithLabelValues(string(d.Verdict)).Inc()
		c.opts.Log.Info().Str("verdict", string(d.Verdict)).Str("reason", d.Reason).Bool("takesWork", d.TakesWork()).Msg("configuration staleness verdict changed")
	}
	return d
}

// MayAccept returns nil if this VM may accept a change: it must reach so many data centres that
// no VM can go on under the old configuration without learning of the change. It asks the data
// centres first, which takes a round trip. The error is staleness.ErrMinority.
func (c *Cache) MayAccept(ctx context.Context) error {
	if c.opts.Contacts != nil {
		c.poller.askDataCentres(ctx)
	}
	now := time.Now()
	return staleness.MayAccept(c.view(now), now)
}

// rootInForce returns the root in force and whether a recent report of another VM has a later
// revision.
func (c *Cache) rootInForce() (*root, bool) {
	r := c.current.Load().root
	for _, report := range c.poller.recentReports(time.Now()) {
		if report.Revision > r.Snapshot.Revision {
			return r, true
		}
	}
	return r, false
}
