package rollout

import (
	"math"
	"time"

	"goldcrestfork/config"
)

// windowRequests is the number of requests of the new version after which the next
// window of the comparison starts. It equals the number of requests within which a
// bad version must be found.
const windowRequests = 200

// maxOpenWindows is the number of windows that are open at once. With two, the
// older window always holds between windowRequests and twice as many requests.
const maxOpenWindows = 2

// Monitor follows one epoch of one roll-out. It sums the reports and compares the
// versions over the whole epoch and over the latest windows.
//
// The windows find a version that degrades after a long good period: in the totals
// of the epoch, its failures would first have to outweigh the successes of that
// period. The windows are local to this process. A VM that takes over starts its
// first window from the totals that it has then, and loses only the windows.
//
// Monitor is not safe for concurrent use.
type Monitor struct {
	settings Settings
	totals   Totals
	// epochSeenAt is when this process first saw the epoch, by its monotonic clock.
	epochSeenAt time.Time
	windows     []window
	// windowsOpened counts the windows of the epoch. Each window gets a smaller
	// share of Alpha than the one before.
	windowsOpened int
}

// window holds the totals at the start of a window and its number in the epoch.
type window struct {
	number   int
	from, to Tally
}

// NewMonitor returns a Monitor that follows no epoch yet.
func NewMonitor(s Settings) *Monitor { return &Monitor{settings: s} }

// Begin starts an epoch. It does nothing if the Monitor follows that epoch already.
func (m *Monitor) Begin(epoch int64, now time.Time) {
	if m.totals.Epoch() == epoch && !m.epochSeenAt.IsZero() {
		return
	}
	*m = Monitor{settings: m.settings, epochSeenAt: now}
	m.totals.Reset(epoch)
}

// Add adds a report; see Totals.Add.
func (m *Monitor) Add(c Counts) { m.totals.Add(c) }

// Sum returns the epoch's totals of the old and the new version.
func (m *Monitor) Sum() (from, to Tally) { return m.totals.Sum() }

// Evaluate compares the versions at time now; complete says that the counts of all
// VMs are included. See evaluate.
func (m *Monitor) Evaluate(r *config.RollOut, now time.Time, complete bool) Verdict {
	from, to := m.totals.Sum()
	comparisons := m.comparisons(r, from, to)
	m.openWindow(from, to)
	return evaluate(m.settings, r, comparisons, now.Sub(m.epochSeenAt), complete)
}

// openWindow starts a window if the latest one has windowRequests requests of the
// new version.
func (m *Monitor) openWindow(from, to Tally) {
	last := uint64(0)
	if n := len(m.windows); n > 0 {
		last = m.windows[n-1].to.Requests
	}
	if to.Requests < last+windowRequests {
		return
	}
	m.windowsOpened++
	m.windows = append(m.windows, window{m.windowsOpened, from, to})
	if len(m.windows) > maxOpenWindows {
		m.windows = m.windows[1:]
	}
}

// comparison holds the tallies of both versions over a period and the log evidence
// from which the new version counts as worse.
type comparison struct {
	from, to Tally
	limit    float64
}

// comparisons returns the comparison of the whole epoch, followed by those of the
// open windows. Half of Alpha is for the epoch and half for the windows. The n-th
// window gets 1/(n(n+1)) of the second half; these shares sum to one.
func (m *Monitor) comparisons(r *config.RollOut, from, to Tally) []comparison {
	comparisons := []comparison{{from, to, m.settings.epochLimit(r)}}
	for _, w := range m.windows {
		n := float64(w.number)
		comparisons = append(comparisons, comparison{
			from:  from.minus(w.from),
			to:    to.minus(w.to),
			limit: m.settings.epochLimit(r) + math.Log(n*(n+1)),
		})
	}
	return comparisons
}

// minus returns the counts since the totals at a window's start.
func (t Tally) minus(start Tally) Tally {
	return Tally{
		Requests: t.Requests - start.Requests,
		Errors:   t.Errors - start.Errors,
		Slow:     t.Slow - start.Slow,
		Rated:    t.Rated - start.Rated,
		Poor:     t.Poor - start.Poor,
	}
}
