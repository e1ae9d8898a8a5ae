package admission

import (
	"slices"
	"time"
)

const (
	// startShare is the share of the capacity above which the offered work can start admission,
	// endShare that below which admission ends after endTime.
	startShare = 0.95
	endShare   = 0.85
	endTime    = time.Second
	// drainTime is the time in which the queues at endpoints are to be served. With 1.5 s, up to an
	// eighth of the slots were free before it was known that the queues had ended.
	drainTime = 2 * time.Second
	// maxRejections is the share of attempts that endpoints may reject for want of room.
	maxRejections = 0.01
	// startTime is how long the demand or the mean use must exceed startShare of the capacity before
	// admission can start. The endpoints' rejections or queues follow later and must agree at its end.
	startTime = 500 * time.Millisecond
	// fullUse is the mean share of the slots in use above which rejections start admission even if the
	// demand seems to fit, since requests may hold slots for longer than measured. Below it they come from
	// uneven placement or chance, which a retry elsewhere solves: endpoints of a plain service with 30 slots
	// reject up to a third of the attempts of a second at 0.8 of the slots.
	fullUse = 0.95
	// minStatedUse is the mean share of their slots in use that endpoints must state, in at least minStated recent
	// answers, before admission can start. What a VM measures is too high by the time on the network and in the VM.
	minStatedUse = 0.75
	minStated    = 5.0
	// demandMeanTime is the time over which demand and use are averaged as long as endpoints have no
	// queue. The demand of a plain service with 30 slots varies by a tenth from half a second to the next.
	demandMeanTime = 2 * time.Second
	// minOwnRejections is the recent rejections that a VM without totals must have seen itself:
	// its part of the capacity is a few slots, and its demand varies by as much.
	minOwnRejections = 3.0
	// minVersionRate is the fleet's requests a second below which a version's endpoints don't
	// count. One request 2 s ago leaves 0.135.
	minVersionRate = 0.13
	// usualAge is how long a VM measures demand before it counts as the usual one, and
	// usualLearning the time in which it then follows freely. Later it rises by usualRise a second
	// at most, so that a sudden flood doesn't become usual before it is detected.
	usualAge      = 1500 * time.Millisecond
	usualLearning = 4 * time.Second
	usualRise     = 0.05
	usualGain     = 0.2
	// usualAbsentGain is lower since a small account may be missing from the totals for a while.
	usualAbsentGain = 0.02
)

// gateState is the current decision of a gate.
type gateState struct {
	active bool
	since  time.Time // the start of the overload
	// scarceSince is when the demand or the use rose above startShare of the capacity; it is zero once both
	// are below endShare.
	scarceSince time.Time
	calmSince   time.Time // zero if the service isn't calm
	evaluatedAt time.Time
	trim        float64
	drain       float64 // slots that are left to the queues at endpoints
	useMean     float64 // of the share of the slots in use
	capacity    float64 // in slots
	ownCapacity float64 // this VM's part
	room        float64 // requests that may be under way, the queues at endpoints included
	vms         float64
	offered     float64
	// slotTime is the mean seconds for which a request of a rank holds a slot, slotTimeBefore that
	// before the overload.
	slotTime, slotTimeBefore [maxRank + 1]float64
	// demand is the offered work in slots without requests that return after a refusal: they have been
	// counted before.
	demand, demandMean float64
	underWayMean       float64 // over demandMeanTime
	lastActive         time.Time
	underWay           float64
	rejections         float64 // share of the attempts
	ownOnly            bool    // without totals of the fleet
	refusing           bool    // a part of the demand isn't admitted
	shares             map[uint32]share
	usual              map[uint32]float64
	usualSince         time.Time
	usualUpdated       time.Time
}

// Capacity is the room of a service.
type Capacity struct {
	// Slots are the slots of usable endpoints by version.
	Slots map[string]int
	// VMs is the number of VMs that share them.
	VMs int
	// Target is the shortest target latency of the service's requests, 0 if unknown.
	Target time.Duration
}

// Report is a gate's decision, for operators.
type Report struct {
	Active   bool    `json:"active"`
	OwnOnly  bool    `json:"ownFiguresOnly"`
	Capacity float64 `json:"capacitySlots"`
	Trim     float64 `json:"trim"`
	// Demand is Offered without requests that return after a refusal.
	Offered    float64 `json:"offeredSlots"`
	Demand     float64 `json:"demandSlots"`
	UnderWay   float64 `json:"underWay"`
	Rejections float64 `json:"rejections"`
}

// Evaluate decides whether admission is in force and computes the shares. It is to be called after
// ApplyTotals and at least twice a second. changed says that admission started or ended.
func (g *Gate) Evaluate(now time.Time, c Capacity) (r Report, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	st := &g.state
	if now.Before(st.evaluatedAt) {
		now = st.evaluatedAt // of two concurrent calls, the later one came first
	}
	t := g.fleet
	st.ownOnly = g.fleetAt.IsZero() || now.Sub(g.fleetAt) > totalsMaxAge
	st.vms = float64(max(c.VMs, 1))
	st.capacity = t.slots(c.Slots)
	if st.ownOnly {
		t = newTotals(g.prefix, g.figures(now))
		st.capacity = totals{}.slots(c.Slots) / st.vms
	}
	st.ownCapacity = st.capacity
	if !st.ownOnly {
		st.ownCapacity /= st.vms
	}
	st.underWay, st.rejections = t.underWay, 0
	if t.attempts > 0 {
		st.rejections = t.rejected / t.attempts
	}
	if !st.active && !st.ownOnly {
		st.learnUsual(now, t.demands)
	}
	st.toSlots(&t)
	st.setRoom(&t, c.Target)
	gain := min(now.Sub(st.evaluatedAt).Seconds()/demandMeanTime.Seconds(), 1)
	st.demandMean += gain * (st.demand - st.demandMean)
	st.underWayMean += gain * (st.underWay - st.underWayMean)
	was := st.active
	st.update(now, &t)
	if st.active {
		st.lastActive = now
	}
	st.setShares(t.demands)
	st.evaluatedAt = now
	return g.report(), st.active != was
}

// Report returns the last decision.
func (g *Gate) Report() Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.report()
}

func (g *Gate) report() Report {
	st := &g.state
	return Report{
		Active: st.active, OwnOnly: st.ownOnly, Capacity: st.capacity, Trim: st.trim, Offered: st.offered, Demand: st.demand,
		UnderWay: st.underWay, Rejections: st.rejections,
	}
}

// slots sums the slots of the versions in use. While no requests are known of, all count.
func (t totals) slots(byVersion map[string]int) float64 {
	used, all := 0, 0
	for version, n := range byVersion {
		all += n
		if t.versions[shortHash(version)] >= minVersionRate {
			used += n
		}
	}
	if used == 0 {
		used = all
	}
	return float64(used)
}

// update starts, continues or ends admission.
func (st *gateState) update(now time.Time, t *totals) {
	if st.capacity <= 0 { // unknown, or no endpoint is usable, which is refused elsewhere
		st.active, st.scarceSince = false, time.Time{}
		return
	}
	if !st.active {
		switch most := max(st.demand, st.underWayMean); {
		case most <= endShare*st.capacity:
			st.scarceSince = time.Time{}
		case most > startShare*st.capacity && st.scarceSince.IsZero():
			st.scarceSince = now
		}
		if !st.scarceSince.IsZero() && now.Sub(st.scarceSince) >= startTime && st.tooLittleRoom(t) {
			st.active, st.since, st.trim, st.drain, st.calmSince = true, now, startTrim, 0, time.Time{}
			st.slotTimeBefore, st.useMean = st.slotTime, st.underWay/st.room
		}
		return
	}
	st.scarceSince = time.Time{}
	st.adjustTrim(now)
	st.setDrain(t)
	calm := st.demand < endShare*st.trim*st.capacity && st.rejections <= maxRejections
	switch {
	case !calm:
		st.calmSince = time.Time{}
	case st.calmSince.IsZero():
		st.calmSince = now
	case now.Sub(st.calmSince) >= endTime:
		st.active = false
	}
}

// tooLittleRoom reports whether the measured signals agree that the room is used up.
func (st *gateState) tooLittleRoom(t *totals) bool {
	if t.stated.B >= minStated && t.stated.A < minStatedUse*t.stated.B {
		return false
	}
	demand := !st.fits()
	rejecting := st.rejections > maxRejections
	if st.ownOnly {
		return demand && rejecting && t.rejected >= minOwnRejections
	}
	return demand && (rejecting || st.underWay > st.room) || rejecting && min(st.underWay, st.underWayMean) > fullUse*st.capacity
}

// fits reports whether the capacity bears the demand. Unless endpoints have queues, a rise that may be chance
// doesn't count.
func (st *gateState) fits() bool {
	demand := st.demand
	if st.underWay <= st.room {
		demand = min(demand, st.demandMean)
	}
	return demand <= startShare*st.capacity
}

// learnUsual follows the demands while there is room.
func (st *gateState) learnUsual(now time.Time, demands []demand) {
	if st.usualSince.IsZero() {
		st.usualSince = now
	}
	age := now.Sub(st.usualSince)
	dt := now.Sub(st.usualUpdated).Seconds()
	st.usualUpdated = now
	if age < usualAge {
		return
	}
	offered := make(map[uint32]bool, len(demands))
	for _, d := range demands {
		if d.small {
			continue
		}
		offered[d.key] = true
		usual := st.usual[d.key]
		if age < usualLearning {
			st.usual[d.key] = max(usual, d.offered)
			continue
		}
		step := usualGain * min(dt, 1) * (d.offered - usual)
		st.usual[d.key] = usual + min(step, usualRise*min(dt, 1)*max(usual, minUsual))
	}
	for key, usual := range st.usual {
		if offered[key] {
			continue
		}
		// Without demand, a usual one that stayed would let the account go before others for good.
		if usual *= 1 - usualAbsentGain*min(dt, 1); usual >= minUsual/10 {
			st.usual[key] = usual
		} else {
			delete(st.usual, key)
		}
	}
}

// minUsual is the usual demand in requests a second from which a new account's one grows.
const minUsual = 0.1

// toSlots converts demands from requests a second to slots, and adds the usual ones.
func (st *gateState) toSlots(t *totals) {
	for rank, h := range t.held {
		if h.B < minHeld {
			continue
		}
		slotTime := h.A / h.B
		if before := st.slotTimeBefore[rank]; st.active && before > 0 {
			slotTime = min(slotTime, maxSlower*before)
		}
		st.slotTime[rank] = slotTime
	}
	st.offered, st.demand = 0, 0
	for rank, offered := range t.offered {
		st.offered += offered * st.slotTime[rank]
		// A refused caller returns once, so that at least half of the requests are first ones.
		st.demand += (offered - min(t.returning[rank], max(offered-t.admitted[rank], 0), offered/2)) * st.slotTime[rank]
	}
	demands := slices.Clone(t.demands)
	for i := range demands {
		d := &demands[i]
		if !d.small {
			if usual := st.usual[d.key]; usual > 0 {
				d.usual = usualMargin*usual + usualAllowance
			}
			if st.ownOnly {
				d.usual /= st.vms
			}
		}
		slotTime := st.slotTime[d.rank]
		d.offered, d.usual, d.returning = d.offered*slotTime, d.usual*slotTime, d.returning*slotTime
	}
	t.demands = demands
}

// maxSlower is the multiple of the time before an overload that a request is taken to hold a slot for
// during it. Low ranks wait at endpoints for most of their time then, more than the load tells.
const maxSlower = 1.5

// minHeld is the recent requests of a rank from which the time that they held slots is known.
const minHeld = 3.0

// meanSlotTime is the mean time for which the admitted requests hold a slot.
func (t *totals) meanSlotTime(st *gateState) float64 {
	seconds, requests := 0.0, 0.0
	for rank, rate := range t.admitted {
		seconds, requests = seconds+rate*st.slotTime[rank], requests+rate
	}
	return seconds / max(requests, minFlow)
}

// setShares computes the share of the requests of each account and rank that are admitted.
func (st *gateState) setShares(demands []demand) {
	clear(st.shares)
	st.refusing = false
	if !st.active {
		return
	}
	offered, admitted := 0.0, 0.0
	for i, got := range allocate(st.allotted(demands), demands) {
		if d := demands[i]; d.offered > 0 {
			st.shares[d.key] = newShare(got, d)
			offered, admitted = offered+d.offered, admitted+got
		}
	}
	st.refusing = admitted < refusingShare*offered
}
