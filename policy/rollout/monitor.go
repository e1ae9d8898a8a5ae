package rollout

import (
	"math"
	"time"

	"goldcrestfork/config"
)

// windowRequests is the new version's requests after which another window of the
// comparison begins. 200: the number within which a bad version must be found.
const windowRequests = 200

// keptWindows is how many windows are open at once; two, so that one of them
// always holds between windowRequests and twice as many requests.
const keptWindows = 2

// Monitor follows one epoch of one roll-out: it adds up reports and compares the
// versions over the whole epoch and over its latest windows.
//
// Without windows a version that turns bad after an hour of good service would
// have to fail as often again as it succeeded, for totals remember the good hour.
// Windows are this process's own: another VM that takes over starts its first one
// with what it sees then, and loses only that much.
//
// Not safe for concurrent use.
type Monitor struct {
	settings Settings
	totals   Totals
	// since is when this process first saw the epoch, by its monotonic clock.
	since   time.Time
	windows []window
	// opened counts the epoch's windows; each has a smaller share of Alpha.
	opened int
}

// window is the totals at its start.
type window struct {
	number   int
	from, to Tally
}

// NewMonitor returns a Monitor of no epoch.
func NewMonitor(s Settings) *Monitor { return &Monitor{settings: s} }

// Begin starts an epoch, unless it is the one in force.
func (m *Monitor) Begin(epoch int64, now time.Time) {
	if m.totals.Epoch() == epoch && !m.since.IsZero() {
		return
	}
	*m = Monitor{settings: m.settings, since: now}
	m.totals.Reset(epoch)
}

// Add takes a report; see Totals.Add.
func (m *Monitor) Add(c Counts) { m.totals.Add(c) }

// Sum returns the epoch's totals of both versions.
func (m *Monitor) Sum() (from, to Tally) { return m.totals.Sum() }

// Evaluate compares the versions now; see evaluate.
func (m *Monitor) Evaluate(r *config.RollOut, now time.Time, complete bool) Verdict {
	from, to := m.totals.Sum()
	views := m.views(r, from, to)
	m.open(from, to)
	return evaluate(m.settings, r, views, now.Sub(m.since), complete)
}

// open starts a window when the latest one is full.
func (m *Monitor) open(from, to Tally) {
	last := uint64(0)
	if n := len(m.windows); n > 0 {
		last = m.windows[n-1].to.Requests
	}
	if to.Requests < last+windowRequests {
		return
	}
	m.opened++
	m.windows = append(m.windows, window{m.opened, from, to})
	if len(m.windows) > keptWindows {
		m.windows = m.windows[1:]
	}
}

// view is one comparison and the log evidence that it needs.
type view struct {
	from, to Tally
	limit    float64
}

// views returns the whole epoch first, then the windows. Half of Alpha is for
// the epoch, half for the windows; the n-th window gets 1/(n(n+1)) of it, which sums to one.
func (m *Monitor) views(r *config.RollOut, from, to Tally) []view {
	views := []view{{from, to, m.settings.limit(r)}}
	for _, w := range m.windows {
		n := float64(w.number)
		views = append(views, view{
			from:  from.since(w.from),
			to:    to.since(w.to),
			limit: m.settings.limit(r) + math.Log(n*(n+1)),
		})
	}
	return views
}

// since subtracts the totals at a window's start.
func (t Tally) since(start Tally) Tally {
	return Tally{
		Requests: t.Requests - start.Requests,
		Errors:   t.Errors - start.Errors,
		Slow:     t.Slow - start.Slow,
		Rated:    t.Rated - start.Rated,
		Poor:     t.Poor - start.Poor,
	}
}
