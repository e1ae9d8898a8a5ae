package config

import (
	"context"
	"time"

	"goldcrestfork/config/staleness"
)

// confirm notes a successful call to the platform that began at start and showed
// that no root newer than the one in force existed then.
func (c *Cache) confirm(start time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failing = false
	if start.After(c.confirmed) {
		c.confirmed = start
	}
}

// failed notes a call to the platform that failed.
func (c *Cache) failed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failing = true
	c.opts.Metrics.StoreErrors.Inc()
}

// Evidence is what this VM answers to another that asks; its proof may be one that
// a third VM gave, which only adds to its age.
func (c *Cache) Evidence(now time.Time) staleness.Evidence {
	v := c.view(now)
	e := staleness.Evidence{Revision: v.Revision, StoreFailing: v.StoreFailing, ConfirmedAge: staleness.Never}
	// One view for both: a proof for a later revision beside this one would make a
	// peer believe that this one is current.
	if d := staleness.Judge(v, now); !d.Confirmed.IsZero() {
		e.ConfirmedAge = d.Age(now)
	}
	return e
}

// view is what the verdicts are made from.
func (c *Cache) view(now time.Time) staleness.View {
	v := staleness.View{DataCentre: c.opts.DataCentre}
	if c.opts.VMs != nil {
		v.VMs = c.opts.VMs()
	} else {
		v.VMs = map[string]int{c.opts.DataCentre: 1}
	}
	v.Reports = c.inquiry.recent(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	v.Revision, v.Confirmed, v.StoreFailing = c.Revision(), c.confirmed, c.failing
	return v
}

// Staleness judges whether this VM may take new work under the configuration it
// has. It is asked for each request, so a proof that is young enough settles it
// without a look at the fleet.
func (c *Cache) Staleness(now time.Time) staleness.Decision {
	c.mu.Lock()
	proof := c.proof
	c.mu.Unlock()
	if !proof.IsZero() && now.Sub(proof) <= staleness.Bound {
		return staleness.Decision{Verdict: staleness.Fresh, Confirmed: proof, Reason: "proved current"}
	}
	return c.judge(now)
}

// judge gives the verdict by all that is known, and keeps its proof.
func (c *Cache) judge(now time.Time) staleness.Decision {
	d := staleness.Judge(c.view(now), now)
	c.mu.Lock()
	if d.Confirmed.After(c.proof) {
		c.proof = d.Confirmed
	}
	changed := d.Verdict != c.verdict
	c.verdict = d.Verdict
	c.mu.Unlock()
	if changed {
		c.opts.Metrics.Verdicts.WithLabelValues(string(d.Verdict)).Inc()
		c.opts.Log.Info().Str("verdict", string(d.Verdict)).Str("reason", d.Reason).Bool("takesWork", d.TakesWork()).Msg("configuration's staleness judged anew")
	}
	return d
}

// MayAccept judges whether this VM may accept a change: it must reach so many
// data centres that none can go on under the old configuration unaware. It asks
// them, which takes a round trip.
func (c *Cache) MayAccept(ctx context.Context) error {
	if c.opts.Contacts != nil {
		c.inquiry.round(ctx)
	}
	now := time.Now()
	return staleness.MayAccept(c.view(now), now)
}

// held returns the root in force here, and whether a VM that was asked lately has a later one.
func (c *Cache) held() (*root, bool) {
	r := c.current.Load().root
	for _, report := range c.inquiry.recent(time.Now()) {
		if report.Revision > r.Snapshot.Revision {
			return r, true
		}
	}
	return r, false
}
