// Package sizing chooses among a route's models, which differ in cost, pace and how
// hard a request they answer well.
//
// Load pattern: a mix in which somewhat over half of the requests are easy. Asking
// the largest model for all costs several times the engine time; asking the smallest
// for all loses nearly half of the answers' worth.
//
// An endpoint says with the head of an answer, before its first event, how far the
// model trusts it. A weak answer is dropped then, while the caller has received
// nothing, and the largest model is asked. Sizes in between are passed over: they answer
// few more requests well than the smallest, so that a step there mostly pays twice.
//
// Whether there is room is judged by when the larger model's first event is expected
// (package placement), which tells whether the answer comes in time, and by how many
// requests an engine has, which tells how long answers take there.
//
// The package has no network, no clock and no locks.
package sizing

import (
	"math"
	"time"
)

const (
	// Threshold is the confidence, of 100, below which an answer is dropped when the
	// endpoints have room.
	Threshold = 55
	// busyThreshold applies when the endpoints are full: nothing is made again. The
	// largest model takes seven times the smallest's time, and what is made again then
	// keeps others from their first event.
	busyThreshold = 0
	// calm and busy are the waits for others' work, as shares of the time in which a first
	// event is wanted, between which the threshold falls. What is asked then delays
	// those that come after by as much as it reads.
	calm = 0.04
	busy = 0.2
	// calmUse and busyUse are the shares of the slots in use between which it falls as
	// well: the more requests run at an engine, the longer each answer takes, and the more
	// of them a crash of the VMs cuts off. Lower bounds leave more answers weak where
	// nothing crashes (TestWorthUnderLoad).
	calmUse = 0.25
	busyUse = 0.6
	// calmRunning and busyRunning are the least of those bounds, in requests: each one that
	// runs makes a step some 3 in 100 longer, so that fewer lengthen an answer by less
	// than half, however few the slots.
	calmRunning = 16
	busyRunning = 38
	// calmFull and busyFull bound them by the slots: what is asked for beyond them waits.
	calmFull = 0.5
	busyFull = 0.8
	// lateAt is the share of that time at which the larger model's first event may be
	// expected: later ones come late too often, and a lower share keeps the largest prompts
	// from it even where nothing waits.
	lateAt = 0.8
	// leastLeft is the share of a caller's time that must be left for another model.
	leastLeft = 0.5
)

// largestWork is the time that the largest model takes to read a prompt, in terms of the
// smallest's.
const largestWork = 7

// Work is the time that model at of n models takes, in terms of the smallest's. Those
// between are spaced evenly in proportion; they are seldom asked.
func Work(at, n int) float64 {
	if n < 2 || at <= 0 {
		return 1
	}
	return math.Pow(largestWork, float64(min(at, n-1))/float64(n-1))
}

// Situation is what a choice depends on.
type Situation struct {
	// Models are the route's, smallest first; At is the one that answered.
	Models []string
	At     int
	// Confidence is the model's word, 0 to 100; Known says that it gave one.
	Confidence int
	Known      bool
	// Spent is the time since the request came, Wait what it would wait for others' work
	// at the best endpoint, and Read the largest model's time to read it. Aim is when its
	// first event is wanted; 0 for not known.
	Spent, Wait, Read, Aim time.Duration
	// Under are the requests that run or wait at the endpoint that answered, by its own word
	// in that answer, and Slots how many it runs at once; 0 for not known.
	Under, Slots int
	// AttemptsLeft are the endpoints that the request may still be sent to.
	AttemptsLeft int
	// Left is the caller's remaining time, Whole what it had.
	Left, Whole time.Duration
}

// Next returns the model to ask in place of the one that answered, and whether to.
func Next(s Situation) (int, bool) {
	last := len(s.Models) - 1
	if !s.Known || s.At >= last || s.AttemptsLeft < 1 {
		return s.At, false
	}
	if s.Left < time.Duration(leastLeft*float64(s.Whole)) {
		return s.At, false
	}
	return last, float64(s.Confidence) < s.threshold()
}

// threshold falls from Threshold to busyThreshold as the wait for others' work or the
// slots in use grow, and is busyThreshold where the larger model's answer would come late.
func (s Situation) threshold() float64 {
	full := s.crowding()
	if s.Aim > 0 {
		if float64(s.Spent+s.Wait+s.Read) > lateAt*float64(s.Aim) {
			return busyThreshold
		}
		full = max(full, fullness(float64(s.Wait)/float64(s.Aim), calm, busy))
	}
	return Threshold + full*(busyThreshold-Threshold)
}

// crowding says how near the endpoint's requests are to where no answer is made again.
func (s Situation) crowding() float64 {
	slots := float64(s.Slots)
	if slots <= 0 {
		return 0
	}
	calm := max(calmUse*slots, min(calmRunning, calmFull*slots))
	busy := max(busyUse*slots, min(busyRunning, busyFull*slots))
	return fullness(float64(s.Under), calm, busy)
}

// fullness rises from 0 at calm to 1 at busy.
func fullness(x, calm, busy float64) float64 { return min(max((x-calm)/(busy-calm), 0), 1) }
