package admission

import (
	"time"

	"goldcrestfork/config"
)

const (
	// timeGain is the weight of an answer in the running time per unit: the last
	// fifty or so, a second's worth of a pool of 12 endpoints.
	timeGain = 0.02
	// unknownRate stands for a rate that was never measured: any backlog is done at once.
	unknownRate = 1e12
	// maxSeconds bounds an estimate, so that it always fits a duration.
	maxSeconds = 24 * 3600.0
	// marginDeviations is how many mean deviations an answer may take longer than
	// expected and still be started: one, so that about four of five that are
	// started at the last moment make it.
	marginDeviations = 1.0
)

// estimator measures how long a unit of work takes while the pool is in use.
// Until the first answer it knows nothing, takes every item for instant, and
// refuses none for its deadline: a guess that is too high would refuse everything
// and never be put right.
type estimator struct {
	answers   int
	perUnit   float64 // running seconds per unit
	deviation float64 // running mean absolute deviation of it
	size      float64 // running mean size of an item
}

func (e *estimator) learn(size float64, elapsed time.Duration) {
	perUnit := elapsed.Seconds() / size
	e.answers++
	gain := max(timeGain, 1/float64(e.answers))
	off := perUnit - e.perUnit
	e.perUnit += gain * off
	if e.answers == 1 {
		return
	}
	if off < 0 {
		off = -off
	}
	e.deviation += gain * (off - e.deviation)
}

func (e *estimator) seen(size float64) {
	if e.size == 0 {
		e.size = size
	}
	e.size += timeGain * (size - e.size)
}

// service is how long an item of that size takes, with the margin.
func (e *estimator) service(size float64) time.Duration {
	return seconds((e.perUnit + marginDeviations*e.deviation) * size)
}

// quickest is the time that an item of that size takes at least, give or take: half
// of what is expected. Less time than that is hopeless even with nothing before it.
func (e *estimator) quickest(size float64) time.Duration {
	return seconds(e.perUnit * size / 2)
}

// rate is the work a second that so many slots do.
func (e *estimator) rate(slots int) float64 {
	if e.perUnit == 0 {
		return unknownRate
	}
	return float64(slots) / e.perUnit
}

func seconds(s float64) time.Duration {
	return time.Duration(min(max(s, 0), maxSeconds) * float64(time.Second))
}

// classRate is the work a second that a class gets: what higher classes leave,
// but not less than its floor.
func (q *Queue) classRate(now time.Time, class int) float64 {
	all := q.est.rate(q.capacity)
	left := all
	for c := range class {
		left -= q.started[c].rate(now)
	}
	return max(left, floors[class]*all)
}

// wait is how long an item waits that has `own` work of its account before it.
// Fair queueing bounds it in two ways: by all that waits in its class and above,
// and by its own account's backlog at the account's share.
func (q *Queue) wait(now time.Time, a *account, class int, own float64) time.Duration {
	rate := q.classRate(now, class)
	if rate <= 0 {
		return seconds(maxSeconds)
	}
	above := 0.0
	for c := range class {
		above += q.work[c]
	}
	weights := q.weights[class]
	if len(a.queues[class]) == 0 {
		weights += a.weight
	}
	fair := own * weights / a.weight
	if class > int(config.ClassImmediate) {
		// What waits above is served first, but for the floor that classRate holds.
		return seconds((min(fair, q.work[class]) + above) / rate)
	}
	return seconds(min(fair, q.work[class]) / rate)
}
