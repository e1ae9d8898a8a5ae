package admission

import "time"

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
// Until the first answer it knows nothing, unless an assumption was set, takes every
// item for instant, and refuses none for its deadline. The first answer replaces
// an assumption whole.
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
		return // no deviation is known from one
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

// outlook is what an item of a class has before it, worked out once for all of them.
type outlook struct {
	rate    float64 // work a second that the class gets
	above   float64 // work that waits in higher classes
	work    float64 // work that waits in the class
	weights float64 // of the accounts that wait in the class
}

func (q *Queue) outlook(now time.Time, class int) outlook {
	o := outlook{rate: q.classRate(now, class), work: q.work[class], weights: q.weights[class]}
	for c := range class {
		o.above += q.work[c]
	}
	return o
}

// wait is how long an item waits that has `own` work of its account before it.
// Fair queueing bounds it in two ways: by all that waits in its class and above,
// and by its own account's backlog at the account's share.
func (o outlook) wait(a *account, class int, own float64) time.Duration {
	if o.rate <= 0 {
		return seconds(maxSeconds)
	}
	weights := o.weights
	if len(a.queues[class]) == 0 {
		weights += a.weight
	}
	fair := own * weights / a.weight
	// What waits above is served first, but for the floor that classRate holds.
	return seconds((min(fair, o.work) + o.above) / o.rate)
}
