package loadtest

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"goldcrestfork/config"
)

// Tally counts what a group of callers received. Offered and Completed count each
// request once, however many tries it takes; the other counts are of tries.
type Tally struct {
	// Offered is the number of requests, and Completed the number of those that
	// were completed within the deadline of one of their tries.
	Offered, Completed int
	// Refused is the number of tries that got a refusal, TimedOut of those without
	// an answer by their deadline, and Failed of those that got an error.
	Refused, TimedOut, Failed int
	// Late is the number of refusals that came more than a second after sending.
	Late    int
	latency *hdrhistogram.Histogram
}

func newTally() Tally {
	return Tally{
		latency: hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3),
	}
}

// Latency returns a percentile (0 to 100) of the time from sending the successful
// try to its answer.
func (t *Tally) Latency(percentile float64) time.Duration {
	return time.Duration(t.latency.ValueAtPercentile(percentile)) * time.Millisecond
}

// CompletedShare returns the completed share of the offered requests, or 1 if there
// were none.
func (t *Tally) CompletedShare() float64 {
	if t.Offered == 0 {
		return 1
	}
	return float64(t.Completed) / float64(t.Offered)
}

// Result holds the measurements of one run.
type Result struct {
	// Classes holds the tallies by priority class. Others covers all accounts but
	// the hot one, Hot the hot account, and All every account.
	Classes          [3]Tally
	Others, Hot, All Tally
	// OthersImmediate covers the immediate requests of all accounts but the hot
	// one.
	OthersImmediate Tally
	// Long and Short cover the long requests of a scenario and the remaining ones.
	Long, Short Tally
	// Overshoot counts the requests sent to an endpoint in cold start beyond its
	// cold slots.
	Overshoot int
	// Crashes counts the endpoint crashes caused by poison requests, and
	// FalseQuarantines the other requests that were refused as poison.
	Crashes, FalseQuarantines int

	capacity                float64 // work per second at full slots
	worked, wasted          float64 // work that ended in an answer, and work that didn't
	firstWork, repeatedWork float64 // estimated work of first and of repeated dispatches
	hits, prefixed          int
	goodput                 []float64 // completed work, by second of completion
	offered                 []float64 // work of new requests, by second of sending
	offeredCompleted        []float64 // the completed part of offered, by second of sending
}

func newResult() *Result {
	r := &Result{All: newTally(), OthersImmediate: newTally(), Others: newTally(), Hot: newTally(), Long: newTally(), Short: newTally()}
	for i := range r.Classes {
		r.Classes[i] = newTally()
	}
	return r
}

// WastedWorkRatio returns the share of endpoint work that reached no caller.
func (r *Result) WastedWorkRatio() float64 { return ratio(r.wasted, r.worked+r.wasted) }

// RepeatedWorkRatio returns the work of repeated attempts relative to that of first
// attempts.
func (r *Result) RepeatedWorkRatio() float64 { return ratio(r.repeatedWork, r.firstWork) }

// PrefixHitRatio returns the share of attempts with a prefix that found it in the
// endpoint's cache.
func (r *Result) PrefixHitRatio() float64 { return ratio(float64(r.hits), float64(r.prefixed)) }

// Goodput returns the work completed in time between two times, as a share of
// capacity.
func (r *Result) Goodput(from, to time.Duration) float64 {
	return sumOf(r.goodput, from, to) / (r.capacity * (to - from).Seconds())
}

// Kept returns the completed share of the work that was sent between two times.
func (r *Result) Kept(from, to time.Duration) float64 {
	return ratio(sumOf(r.offeredCompleted, from, to), sumOf(r.offered, from, to))
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// sumOf sums the values of the seconds between two times.
func sumOf(seconds []float64, from, to time.Duration) float64 {
	sum := 0.0
	for i := int(from.Seconds()); i < int(to.Seconds()) && i < len(seconds); i++ {
		sum += seconds[i]
	}
	return sum
}

// addToSecond adds work to the second that contains the time at.
func addToSecond(seconds *[]float64, at time.Duration, work float64) {
	i := int(at.Seconds())
	for len(*seconds) <= i {
		*seconds = append(*seconds, 0)
	}
	(*seconds)[i] += work
}

// tallies returns the tallies of the groups that a request belongs to.
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

// sent counts a new request.
func (r *Result) sent(at time.Duration, q *request) {
	for _, t := range r.tallies(q) {
		t.Offered++
	}
	addToSecond(&r.offered, at, q.size)
}

// completed counts a completed request and its latency.
func (r *Result) completed(now time.Time, q *request) {
	for _, t := range r.tallies(q) {
		t.Completed++
		_ = t.latency.RecordValue(max(now.Sub(q.sent).Milliseconds(), 1))
	}
	addToSecond(&r.goodput, now.Sub(epoch), q.size)
	addToSecond(&r.offeredCompleted, q.first.Sub(epoch), q.size)
}

// refused counts a refused try.
func (r *Result) refused(now time.Time, q *request) {
	for _, t := range r.tallies(q) {
		t.Refused++
		if now.Sub(q.sent) > time.Second {
			t.Late++
		}
	}
}

// Immediate returns the tally of the immediate class.
func (r *Result) Immediate() *Tally { return &r.Classes[config.ClassImmediate] }
