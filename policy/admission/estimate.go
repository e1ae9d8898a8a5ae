package admission

import "time"

const (
	// estimateGain is the weight of one answer in the running service time per unit. It
	// averages over about fifty answers, which a pool of 12 endpoints gives in a second.
	estimateGain = 0.02
	// unknownRate is the rate before the first answer. With it, any backlog counts as
	// done at once.
	unknownRate = 1e12
	// maxSeconds bounds an estimate so that it fits a time.Duration.
	maxSeconds = 24 * 3600.0
	// marginDeviations is the safety margin of an expected service time, in mean absolute
	// deviations. With one deviation, about four of five items that start at the last
	// moment meet their deadline.
	marginDeviations = 1.0
)

// estimator estimates the service time of a unit of work while the pool is in use. Until
// the first answer, and without an assumed value, it treats every item as instantaneous,
// so that no item is refused for its deadline. The first answer replaces the assumed
// value entirely.
type estimator struct {
	answers   int
	perUnit   float64 // running seconds per unit
	deviation float64 // running mean absolute deviation of it
	size      float64 // running mean size of an item
}

// observeServiceTime updates the estimate with the service time of an item of the given
// size.
func (e *estimator) observeServiceTime(size float64, elapsed time.Duration) {
	perUnit := elapsed.Seconds() / size
	e.answers++
	gain := max(estimateGain, 1/float64(e.answers))
	off := perUnit - e.perUnit
	e.perUnit += gain * off
	if e.answers == 1 {
		return // one answer gives no deviation
	}
	if off < 0 {
		off = -off
	}
	e.deviation += gain * (off - e.deviation)
}

// observeSize updates the mean size of an item.
func (e *estimator) observeSize(size float64) {
	if e.size == 0 {
		e.size = size
	}
	e.size += estimateGain * (size - e.size)
}

// serviceTime returns the expected service time of an item of the given size, including
// the margin.
func (e *estimator) serviceTime(size float64) time.Duration {
	return seconds((e.perUnit + marginDeviations*e.deviation) * size)
}

// minServiceTime returns the approximate minimum service time of an item of the given
// size: half of the expected one. An item with less time than this cannot complete, even
// without a backlog.
func (e *estimator) minServiceTime(size float64) time.Duration {
	return seconds(e.perUnit * size / 2)
}

// rate returns the work per second of the given number of slots.
func (e *estimator) rate(slots int) float64 {
	if e.perUnit == 0 {
		return unknownRate
	}
	return float64(slots) / e.perUnit
}

func seconds(s float64) time.Duration {
	return time.Duration(min(max(s, 0), maxSeconds) * float64(time.Second))
}

// classRate returns the work per second that a class gets: the rest that higher classes
// leave, and at least its floor.
func (q *Queue) classRate(now time.Time, class int) float64 {
	all := q.est.rate(q.capacity)
	left := all
	for c := range class {
		left -= q.startedWork[c].rate(now)
	}
	return max(left, classFloors[class]*all)
}

// classBacklog is the backlog ahead of the items of one class. It is computed once for
// all of them.
type classBacklog struct {
	rate       float64 // work per second that the class gets
	higherWork float64 // queued work of higher classes
	work       float64 // queued work of the class
	weights    float64 // sum of the weights of accounts with items in the class
}

func (q *Queue) classBacklog(now time.Time, class int) classBacklog {
	o := classBacklog{rate: q.classRate(now, class), work: q.queuedWork[class], weights: q.waitingWeights[class]}
	for c := range class {
		o.higherWork += q.queuedWork[c]
	}
	return o
}

// waitTime returns the waiting time of an item that has `own` work of its own account
// ahead of it. Fair queueing bounds it by all work queued in its class and the classes
// above, and by its own account's backlog at the rate of the account's share.
func (o classBacklog) waitTime(a *account, class int, own float64) time.Duration {
	if o.rate <= 0 {
		return seconds(maxSeconds)
	}
	weights := o.weights
	if len(a.queues[class]) == 0 {
		weights += a.weight
	}
	fair := own * weights / a.weight
	// Higher classes are served first, apart from the floor that classRate guarantees.
	return seconds((min(fair, o.work) + o.higherWork) / o.rate)
}
