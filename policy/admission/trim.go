package admission

import (
	"math"
	"time"
)

// The trim corrects the capacity while admission is in force, by a factor for each trimInterval. It falls
// while endpoints reject requests, and rises while slots are free: the mean time that a request holds a
// slot may be wrong by as much.
const (
	trimInterval = 500 * time.Millisecond
	minTrim      = 0.6
	maxTrim      = 6.0
	maxTrimFall  = 0.8
	trimQueued   = 0.95
	maxTrimRise  = 1.3
	startTrim    = 0.9
	// useGoal is the share of the slots in use that the trim aims at. With 0.95, one in ten requests
	// of the lowest rank waited for longer than its target behind those of other ranks.
	useGoal = 0.88
	// fallTrim is the trim below which it doesn't fall for the queues at endpoints alone.
	fallTrim = 0.8
	// busyShare is the share of the slots in use above which the trim falls for rejections, and lowUse that
	// below which it rises in spite of them: with few slots some endpoints are full by chance.
	busyShare = 0.8
	lowUse    = 0.7
	// useRising is the use of the slots relative to its mean over useTimeConstant above which it rises.
	useRising       = 1.03
	useTimeConstant = time.Second
	// minDrained is the share of the capacity that is admitted however long the queues are.
	minDrained = 0.36
	// queueShare is the part of the shortest target latency that requests may wait at an endpoint, and
	// maxQueue bounds the queue that follows from it, in slots. Endpoints reject requests at twice the slots.
	queueShare = 0.4
	maxQueue   = 1.0
	// idleShare bounds the share of the slots in use that a rise of the trim is computed from.
	idleShare = 0.5
)

// adjustTrim follows rejections and the use of the slots.
func (st *gateState) adjustTrim(now time.Time) {
	if st.ownOnly {
		return // the few requests of one VM say too little
	}
	use, factor := st.underWay/st.room, 1.0
	switch {
	case st.rejections > maxRejections && use > busyShare:
		factor = max(1-st.rejections, maxTrimFall)
	case use > 1 && st.trim > fallTrim:
		factor = trimQueued
	case use < lowUse, st.rejections <= maxRejections && use < useRising*st.useMean:
		// While the use still rises, slots are free since the capacity rose or others were refused.
		factor = min(max(useGoal/max(use, idleShare), 1), maxTrimRise)
	}
	st.useMean += min(now.Sub(st.evaluatedAt).Seconds()/useTimeConstant.Seconds(), 1) * (use - st.useMean)
	steps := min(now.Sub(st.evaluatedAt).Seconds()/trimInterval.Seconds(), 2)
	least := minTrim
	if st.fits() {
		least = max(startTrim*(1-st.rejections), minTrim)
	}
	st.trim = min(max(st.trim*math.Pow(factor, steps), least), maxTrim)
}

// setRoom computes how many requests may be under way. Those that wait at an endpoint for less than
// queueShare of the shortest target cost their callers little, and keep its slots in use.
func (st *gateState) setRoom(t *totals, target time.Duration) {
	st.room = st.capacity
	if mean := t.meanSlotTime(st); mean > 0 {
		st.room += st.capacity * min(queueShare*target.Seconds()/mean, maxQueue)
	}
}

// setDrain sets aside what the requests that wait at endpoints take if they are served within drainTime.
func (st *gateState) setDrain(t *totals) {
	st.drain = 0
	if !st.ownOnly {
		st.drain = max(st.underWay-st.room, 0) * t.meanSlotTime(st) / drainTime.Seconds()
	}
}

// allotted returns the capacity that is allocated now. The usual demand of the most urgent rank doesn't
// wait for the end of the queues at endpoints, since they serve it first.
func (st *gateState) allotted(demands []demand) float64 {
	full := st.trim * st.capacity
	urgent, rank := 0.0, maxRank
	for _, d := range demands {
		rank = min(rank, d.rank)
	}
	for _, d := range demands {
		if d.rank == rank {
			urgent += min(d.offered, d.usual)
		}
	}
	least := max(urgent/(1-2*rankFloor), minDrained*st.capacity)
	allotted := max(full-st.drain, min(least, full))
	if st.fits() {
		// Rejections that are tried again elsewhere cost callers less than refusals.
		if st.underWay <= st.room {
			return max(allotted, st.offered)
		}
		allotted = max(allotted, st.demand*(1-st.rejections))
	}
	return allotted
}
