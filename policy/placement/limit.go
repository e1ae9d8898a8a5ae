package placement

import (
	"time"

	"goldcrestfork/policy/ratelimit"
)

// SetLimit records that an endpoint stated a request limit in an answer, in requests a second
// from all VMs together. It reports whether the limit is new or differs from the last one.
func (t *Table) SetLimit(now time.Time, id string, rate float64) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[id]; e != nil {
		e.limit, changed = e.limit.Next(now, rate)
	}
	return changed
}

// EndLimit records that an endpoint answered a request sent at sentAt without stating a limit.
// It reports whether a limit ended.
func (t *Table) EndLimit(now time.Time, id string, sentAt time.Time) (ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[id]; e != nil {
		e.limit, ended = e.limit.End(now, sentAt)
	}
	return ended
}

// DenyLimited records that an endpoint's limit allows no request before wait has passed, and that
// this VM leaves the endpoint to others for the interval (ratelimit.AskInterval).
func (t *Table) DenyLimited(now time.Time, id string, wait, interval time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[id]; e != nil {
		e.limitPace.Denied(now, wait, interval)
	}
}

// LimitStatements returns what endpoints stated about their request limits up to maxAge ago, by
// the endpoints' short names (rendezvous.Hash.Short). It includes the ends of limits.
func (t *Table) LimitStatements(now time.Time, maxAge time.Duration) map[uint32]ratelimit.Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[uint32]ratelimit.Statement)
	for _, e := range t.endpoints {
		if !e.limit.At.IsZero() && now.Sub(e.limit.At) <= maxAge {
			out[e.idHash.Short()] = e.limit
		}
	}
	return out
}

// MergeLimit applies what an endpoint, given by its short name, stated to another VM. It returns
// the endpoint's ID and whether its limit changed; unknown names are ignored.
func (t *Table) MergeLimit(short uint32, s ratelimit.Statement) (id string, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byShortName[short]
	if e == nil {
		return "", false
	}
	e.limit, changed = e.limit.Merge(s)
	return e.ID, changed
}
