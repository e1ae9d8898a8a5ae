package loadtest

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"goldcrestfork/config"
)

// Tally counts what a group of callers received. A caller's request counts once,
// however often it was sent.
type Tally struct {
	// Offered requests, and those completed within the deadline of some try.
	Offered, Completed int
	// Refused and TimedOut tries: told so at once, or left without an answer until
	// the deadline. Failed tries got an error.
	Refused, TimedOut, Failed int
	// Late refusals came more than a second after sending.
	Late    int
	latency *hdrhistogram.Histogram
}

func newTally() Tally {
	return Tally{
		latency: hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3),
	}
}

// Latency returns a percentile of the time from sending the successful try to its answer.
func (t *Tally) Latency(percentile float64) time.Duration {
	return time.Duration(t.latency.ValueAtPercentile(percentile)) * time.Millisecond
}

// Share is the completed part of what was offered, 1 when nothing was.
func (t *Tally) Share() float64 {
	if t.Offered == 0 {
		return 1
	}
	return float64(t.Completed) / float64(t.Offered)
}

// Result is what one run brought.
type Result struct {
	// Classes, and the accounts other than the hot one, or the hot one alone.
	Classes          [3]Tally
	Others, Hot, All Tally
	// OthersImmediate are the immediate requests of the others.
	OthersImmediate Tally
	// Long and Short requests of a scenario that has long ones.
	Long, Short Tally
	// Overshoot counts requests sent to an endpoint in cold start above what it bears.
	Overshoot int
	// Crashes counts endpoints that a poison request took down; FalseQuarantines the
	// innocent requests that were refused for it.
	Crashes, FalseQuarantines int

	capacity       float64 // work a second at full slots
	worked, wasted float64 // work that ended in an answer, and that didn't
	firsts, again  float64 // estimated work of first dispatches and of repeated ones
	hits, prefixed int
	goodput        []float64 // completed work by second of its completion
	offered        []float64 // work first sent, by second
	offeredDone    []float64 // the part of it that was completed, by second of sending
}

func newResult() *Result {
	r := &Result{All: newTally(), OthersImmediate: newTally(), Others: newTally(), Hot: newTally(), Long: newTally(), Short: newTally()}
	for i := range r.Classes {
		r.Classes[i] = newTally()
	}
	return r
}

// Wasted is the share of endpoint work that reached no caller.
func (r *Result) Wasted() float64 { return ratio(r.wasted, r.worked+r.wasted) }

// Extra is the work of repeated attempts as a share of first ones.
func (r *Result) Extra() float64 { return ratio(r.again, r.firsts) }

// Hits is the share of prefixed attempts that found their prefix cached.
func (r *Result) Hits() float64 { return ratio(float64(r.hits), float64(r.prefixed)) }

// Goodput is the work completed in time between two times, as a share of capacity.
func (r *Result) Goodput(from, to time.Duration) float64 {
	return sumOf(r.goodput, from, to) / (r.capacity * (to - from).Seconds())
}

// Kept is the share of the work sent between two times that was completed.
func (r *Result) Kept(from, to time.Duration) float64 {
	return ratio(sumOf(r.offeredDone, from, to), sumOf(r.offered, from, to))
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func sumOf(seconds []float64, from, to time.Duration) float64 {
	sum := 0.0
	for i := int(from.Seconds()); i < int(to.Seconds()) && i < len(seconds); i++ {
		sum += seconds[i]
	}
	return sum
}

func addAt(seconds *[]float64, at time.Duration, work float64) {
	i := int(at.Seconds())
	for len(*seconds) <= i {
		*seconds = append(*seconds, 0)
	}
	(*seconds)[i] += work
}

// tallies are the groups that a request counts in.
func (r *Result) tallies(q *request) []*Tally {
	group := &r.Others
	if q.account == hotAccount {
		group = &r.Hot
	}
	length := &r.Short
	if q.long {
		length = &r.Long
	}
	tallies := []*Tally{&r.All, &r.Classes[q.class], group, length}
	if q.account != hotAccount && q.class == config.ClassImmediate {
		tallies = append(tallies, &r.OthersImmediate)
	}
	return tallies
}

func (r *Result) sent(at time.Duration, q *request) {
	for _, t := range r.tallies(q) {
		t.Offered++
	}
	addAt(&r.offered, at, q.size)
}

func (r *Result) completed(now time.Time, q *request) {
	for _, t := range r.tallies(q) {
		t.Completed++
		_ = t.latency.RecordValue(max(now.Sub(q.sent).Milliseconds(), 1))
	}
	addAt(&r.goodput, now.Sub(epoch), q.size)
	addAt(&r.offeredDone, q.first.Sub(epoch), q.size)
}

func (r *Result) refused(now time.Time, q *request) {
	for _, t := range r.tallies(q) {
		t.Refused++
		if now.Sub(q.sent) > time.Second {
			t.Late++
		}
	}
}

// Immediate is the tally of the immediate class.
func (r *Result) Immediate() *Tally { return &r.Classes[config.ClassImmediate] }
