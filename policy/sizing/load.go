package sizing

import (
	"math"
	"time"
)

const (
	// MaxThreshold is the highest confidence below which an answer may be dropped. It replaces Threshold and
	// nextThreshold for requests of little work while there is spare capacity. Two in a hundred of the
	// answers above it are poor.
	MaxThreshold = 70
	// spareEnd is the pressure up to which there is spare capacity.
	spareEnd = 0.4
	// lowCapacityUse and highCapacityUse are the shares of the capacity in use between which the
	// pressure rises. The work under way counts prompts that are being read beside the requests that
	// run, so that it exceeds the slots while some are free.
	lowCapacityUse  = 0.8
	highCapacityUse = 1.6
	// lowWait and highWait are the waits between which the pressure rises as well, as shares of the
	// shortest target latency of the service.
	lowWait  = 0.04
	highWait = 0.4
	// urgentFrom is the position in the yielding order from which the most urgent rank begins; all
	// others yield before it.
	urgentFrom = 0.9
	// lightShare is the weight of the request's work in that order for the other ranks; the rest is
	// that of the rank. Light requests of a middle rank keep their answers' worth at little cost to
	// the most urgent.
	lightShare = 0.8
	// yieldWidth is the range of pressure over which a threshold falls from its full value to 0. It
	// is narrow, so that one kind of request yields before the next one does.
	yieldWidth = 0.2
	// uselessConfidence is the confidence below which an answer is most likely of no use.
	uselessConfidence = 30
	// lateShare is the share of the target latency up to which the larger model's first event may
	// be expected in place of an answer of no use.
	lateShare = 2
	// maxAheadShare is the share of the caller's time left that the wait for such an event may
	// take.
	maxAheadShare = 0.5
	// budgetReserve is the share of the retry budget that is left to more urgent ranks and weaker
	// answers, and spareBudget that up to which answers of Threshold or more may be dropped. On a calm day
	// a budget of nine tenths of the requests doesn't suffice for these beside the weak ones.
	budgetReserve = 0.25
	spareBudget   = 0.7
	// tokensPerStep is the number of prompt tokens that an engine with 16 running requests reads in
	// the time of one step of the same model.
	tokensPerStep = 340
	// usualSlots are the slots of an engine that states none.
	usualSlots = 16
	// meanWorkGain is the weight of one request in MeanWork, which spans about a hundred.
	meanWorkGain = 0.01
)

// LoadInput holds the inputs of NextUnderLoad. Running and Slots are not used.
type LoadInput struct {
	Input
	// Rank is the position of the request's priority among the Ranks of its service, 0 for the
	// most urgent.
	Rank, Ranks int
	// RelativeWork is the larger model's work for this request relative to the mean (MeanWork); 0
	// if it is unknown.
	RelativeWork float64
	// CapacityUse is the share of the capacity in use over the endpoints that the request may use;
	// Measured says that it is known.
	CapacityUse float64
	Measured    bool
	// Refusing says that callers of the service are refused for want of room. A larger model holds a slot
	// for several times as long, in which the smallest one serves several callers.
	Refusing bool
	// ShortestTarget is the shortest target latency of the service's routes, 0 for none. A wait
	// harms the requests with the shortest one first, whichever request adds to it.
	ShortestTarget time.Duration
}

// Reason is the reason why a weak answer is kept.
type Reason string

// Reasons why a weak answer is kept. NextUnderLoad returns the first three.
const (
	ReasonNone     Reason = ""
	ReasonPressure Reason = "pressure"
	ReasonTime     Reason = "time"
	ReasonAttempts Reason = "attempts"
	ReasonBudget   Reason = "budget"
	ReasonEndpoint Reason = "endpoint"
)

// Decision is the result of NextUnderLoad.
type Decision struct {
	// Model is the model to ask in place of the one that answered if Escalate is set.
	Model    int
	Escalate bool
	// Pressure and Threshold are what decided: the answer is dropped below the threshold.
	Pressure, Threshold float64
	// Kept is the reason why a weak answer is kept.
	Kept Reason
}

// Weak reports whether the answer might be dropped if there were spare capacity.
func (s *LoadInput) Weak() bool {
	return s.Known && s.Current < len(s.Models)-1 && s.Confidence < MaxThreshold
}

// NextUnderLoad decides as NextModel does, for a service whose load is managed over the fleet. Where
// the larger models' capacity is scarce, the requests that gain least by it for their work and rank
// yield first.
func NextUnderLoad(s LoadInput) Decision {
	last := len(s.Models) - 1
	d := Decision{Model: s.Current}
	if !s.Known || s.Current >= last {
		return d
	}
	d.Pressure = s.pressure()
	spare := (1 - ramp(d.Pressure, 0, spareEnd)) * s.lightness()
	kept := 1 - ramp(d.Pressure, s.yieldsFrom(), s.yieldsFrom()+yieldWidth)
	confidence := float64(s.Confidence)
	full := float64(Threshold)
	d.Model = last
	switch next := s.Current + 1; {
	case s.Current > 0:
		full = secondThreshold
	case next < last && confidence >= minNextConfidence*kept:
		full, d.Model = nextThreshold, next
	}
	weak := confidence < full
	if s.Current == 0 {
		full = max(full, full+(MaxThreshold-full)*spare)
	}
	d.Threshold = full * kept
	switch {
	case confidence >= d.Threshold:
		d.Kept = ReasonPressure
	case s.AttemptsLeft < 1:
		d.Kept = ReasonAttempts
	case s.Left < time.Duration(minLeftShare*float64(s.Total)) || !s.inTimeUnderLoad(d.Model):
		d.Kept = ReasonTime
	default:
		d.Escalate = true
		return d
	}
	d.Model = s.Current
	if !weak {
		d.Kept = ReasonNone
	}
	return d
}

// BudgetAllows reports whether a request of the given rank may drop an answer of the given confidence by
// an attempt from a retry budget of which the given share is used. Three tenths of the budget are left to
// answers below Threshold, and the last quarter to weaker ones and to more urgent ranks.
func BudgetAllows(rank, ranks, confidence int, used float64) bool {
	if confidence >= Threshold {
		return used <= spareBudget
	}
	certainty := float64(max(confidence, 0)) / Threshold
	return used <= 1-budgetReserve*certainty*(1-urgency(rank, ranks))
}

// RequestWork returns the work of a request for the model with index at, of n models by size, at an
// engine with the given number of slots. Its unit is a prompt token that the smallest model reads. An
// output token holds one of the slots for a step.
func RequestWork(at, n, promptTokens, outputTokens, slots int) float64 {
	if slots <= 0 {
		slots = usualSlots
	}
	return Work(at, n) * (float64(promptTokens) + float64(outputTokens)*tokensPerStep/float64(slots))
}

// MeanWork is a moving average of the larger model's work for the weak answers of a service. Those
// that are kept count as well: the average of the others would fall when large requests yield, and
// make them yield more.
type MeanWork struct{ mean float64 }

// Relative returns a request's work relative to the average, and adds it to the average.
func (m *MeanWork) Relative(work float64) float64 {
	if work <= 0 {
		return 0
	}
	if m.mean == 0 {
		m.mean = work
	}
	relative := work / m.mean
	m.mean += meanWorkGain * (work - m.mean)
	return relative
}

// pressure rises from 0 to 1 with the capacity in use and the wait; it is 1 while callers are refused.
func (s *LoadInput) pressure() float64 {
	if s.Refusing {
		return 1
	}
	pressure := 0.0
	if s.Measured {
		pressure = ramp(s.CapacityUse, lowCapacityUse, highCapacityUse)
	}
	target := s.ShortestTarget
	if target <= 0 {
		target = s.TargetLatency
	}
	if target > 0 {
		pressure = max(pressure, ramp(float64(s.Wait)/float64(target), lowWait, highWait))
	}
	return pressure
}

// lightness falls from 1 for a quarter of the mean work to 0 for four times as much.
func (s *LoadInput) lightness() float64 {
	if s.RelativeWork <= 0 {
		return 0.5
	}
	return 1 - ramp(math.Log2(s.RelativeWork), -2, 2)
}

// yieldsFrom returns the pressure from which the request's threshold falls.
func (s *LoadInput) yieldsFrom() float64 {
	position := s.lightness()
	switch {
	case s.Ranks <= 1:
	case s.Rank <= 0:
		position = urgentFrom + (1-urgentFrom)*position
	default:
		position = urgentFrom * (lightShare*position + (1-lightShare)*urgency(s.Rank, s.Ranks))
	}
	return position * (1 - yieldWidth)
}

// urgency falls from 1 for the most urgent rank to 0 for the least.
func urgency(rank, ranks int) float64 {
	if ranks <= 1 {
		return 1
	}
	return 1 - min(max(float64(rank)/float64(ranks-1), 0), 1)
}

// inTimeUnderLoad reports whether the first event of the model with the given index is expected in
// time. Requests of little work may take the whole target latency, and longer in place of an answer of
// no use: a good answer a little late is better than that.
func (s *LoadInput) inTimeUnderLoad(model int) bool {
	if s.TargetLatency <= 0 {
		return true
	}
	n := len(s.Models)
	ahead := float64(s.Wait) + float64(s.Read)*Work(model, n)/Work(n-1, n)
	share := maxTargetShare
	if s.RelativeWork > 0 && s.RelativeWork <= 1 {
		share = 1
		if s.Confidence < uselessConfidence && ahead <= maxAheadShare*float64(s.Left) {
			share = lateShare
		}
	}
	return float64(s.Spent)+ahead <= share*float64(s.TargetLatency)
}
