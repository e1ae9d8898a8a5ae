// Package sizing chooses among a route's models, which differ in cost, speed and the difficulty
// of the requests they answer well.
//
// Load pattern: a mix in which somewhat over half of the requests are easy. Asking the largest
// model for all costs several times the engine time; asking the smallest for all loses nearly
// half of the answers' worth.
//
// An endpoint reports the model's confidence with the head of an answer, before its first
// event. A weak answer is dropped at that point, while the caller has received nothing, and a
// larger model is asked: the next one if the answer is only somewhat unsure, else the largest,
// since models in between answer few of the hard requests well. The answer of a model in between
// may be dropped for the largest as well.
//
// Available capacity is assessed by the time at which the larger model's first event is expected
// (package placement), which shows whether the answer is in time, and by the number of requests
// at an engine, which determines how long answers take there.
//
// The package has no network, no clock and no locks.
package sizing

import (
	"math"
	"time"
)

const (
	// Threshold is the confidence, of 100, below which an answer is dropped if the endpoints
	// have capacity.
	Threshold = 55
	// minNextConfidence and nextThreshold bound the confidence at which the next larger model is
	// asked: it answers most of these requests well and takes a third of the largest's time. If
	// the endpoints are busy they fall as Threshold does.
	minNextConfidence = 44
	nextThreshold     = 63
	// secondThreshold replaces Threshold for the answer of a model in between: two models that
	// are both unsure are wrong less often than one.
	secondThreshold = 42
	// lowWaitShare and highWaitShare are the waits for other requests' work, as shares of the
	// target latency, between which the threshold falls. An escalated request delays those
	// after it by the time it reads.
	lowWaitShare  = 0.04
	highWaitShare = 0.2
	// lowUse and highUse are the shares of the slots in use between which the threshold falls
	// as well: the more requests run at an engine, the longer each answer takes, and the more
	// of them a crash of the VMs cuts off. Lower bounds keep more weak answers if nothing
	// crashes (TestWorthUnderLoad).
	lowUse  = 0.25
	highUse = 0.6
	// lowRunning and highRunning are the minimum of those bounds, in requests: each running
	// request makes a step about 3% longer, so that fewer requests lengthen an answer by less
	// than half, however few slots there are.
	lowRunning  = 16
	highRunning = 38
	// maxLowUse and maxHighUse limit these minimums to shares of the slots: requests beyond the
	// slots wait.
	maxLowUse  = 0.5
	maxHighUse = 0.8
	// maxTargetShare is the share of the target latency within which the larger model's first
	// event must be expected. Later ones miss the target too often, and a lower share excludes
	// the largest prompts even if nothing waits.
	maxTargetShare = 0.8
	// minLeftShare is the share of a caller's time that must be left for another model.
	minLeftShare = 0.5
)

// largestWork is the time that the largest model takes to read a prompt, as a multiple of the
// smallest model's.
const largestWork = 7

// Work returns the time that the model with index at, of n models by size, takes, as a multiple
// of the smallest model's. Models in between are spaced in geometric progression.
func Work(at, n int) float64 {
	if n < 2 || at <= 0 {
		return 1
	}
	return math.Pow(largestWork, float64(min(at, n-1))/float64(n-1))
}

// Input holds the inputs of the decision after a model's answer.
type Input struct {
	// Models are the route's, smallest first; Current is the index of the one that answered.
	Models  []string
	Current int
	// Confidence is the model's confidence in its answer, 0 to 100; Known says that the
	// endpoint reported one.
	Confidence int
	Known      bool
	// Spent is the time since the request arrived, Wait the time it would wait for other
	// requests' work at the best endpoint, and Read the time that the largest model takes to
	// read it. TargetLatency is the target latency of its first event; 0 if unknown.
	Spent, Wait, Read, TargetLatency time.Duration
	// Running is the number of requests that run or wait at the endpoint, as reported with the
	// answer, and Slots the number it runs at once; 0 if unknown.
	Running, Slots int
	// AttemptsLeft is the number of further endpoints that the request may be sent to.
	AttemptsLeft int
	// Left is the caller's remaining time, Total its total time.
	Left, Total time.Duration
}

// NextModel returns the index of the model to use, and whether to ask it in place of the one
// that answered.
func NextModel(s Input) (int, bool) {
	last := len(s.Models) - 1
	if !s.Known || s.Current >= last || s.AttemptsLeft < 1 {
		return s.Current, false
	}
	if s.Left < time.Duration(minLeftShare*float64(s.Total)) {
		return s.Current, false
	}
	pressure := s.pressure()
	if pressure >= 1 {
		return s.Current, false
	}
	confidence, next := float64(s.Confidence), s.Current+1
	if next < last && confidence >= minNextConfidence*(1-pressure) {
		return next, confidence < nextThreshold*(1-pressure) && s.inTime(next)
	}
	threshold := float64(Threshold)
	if s.Current > 0 {
		threshold = secondThreshold
	}
	return last, confidence < threshold*(1-pressure) && s.inTime(last)
}

// inTime reports whether the first event of the model with the given index is expected within
// maxTargetShare of the target latency.
func (s Input) inTime(model int) bool {
	if s.TargetLatency <= 0 {
		return true
	}
	n := len(s.Models)
	read := float64(s.Read) * Work(model, n) / Work(n-1, n)
	return float64(s.Spent+s.Wait)+read <= maxTargetShare*float64(s.TargetLatency)
}

// pressure rises from 0 to 1 as the wait or the slots in use grow. No answer is dropped at 1.
func (s Input) pressure() float64 {
	pressure := s.slotPressure()
	if s.TargetLatency > 0 {
		pressure = max(pressure, ramp(float64(s.Wait)/float64(s.TargetLatency), lowWaitShare, highWaitShare))
	}
	return pressure
}

// slotPressure returns the position of the endpoint's request count between the bounds, from 0
// (full threshold) to 1 (no escalation).
func (s Input) slotPressure() float64 {
	slots := float64(s.Slots)
	if slots <= 0 {
		return 0
	}
	low := max(lowUse*slots, min(lowRunning, maxLowUse*slots))
	high := max(highUse*slots, min(highRunning, maxHighUse*slots))
	return ramp(float64(s.Running), low, high)
}

// ramp rises linearly from 0 at low to 1 at high.
func ramp(x, low, high float64) float64 { return min(max((x-low)/(high-low), 0), 1) }
