// Package limit adapts the number of requests that one endpoint runs at once.
//
// The limit covers an endpoint that supports fewer requests than its configured slots
// (long prompts fill the memory of its cache, and it preempts and recomputes requests),
// an endpoint that slows down, and one that returns in cold start.
//
// Without an adaptive limit, all configured slots stay filled, the total throughput of
// the endpoint falls with each further request, and answers miss their deadlines
// although the endpoint is never idle. After a cold start, the queue would be emptied
// into an endpoint that can run two requests.
//
// The limit uses additive increase and multiplicative decrease on two signals: refusals
// by the endpoint, and the time per unit of work compared to the best recent value.
// After a cold start it rises by one per success, as in slow start, until the first
// sign of congestion. The upper bound is the share of the configured slots that the
// owner of the limit assigns to this VM.
//
// A Limit is not safe for concurrent use; its owner (picker.Table) holds a lock.
package limit

import "time"

const (
	// DefaultTolerance is the factor by which the time per unit of work may exceed its
	// best before the limit falls. A continuous batch at its full slots takes 1.5 times
	// as long as an idle engine in the model of policy/loadtest, so 2 leaves a third for
	// noise. 0 disables the latency signal.
	DefaultTolerance = 2.0
	// latencyDecrease and refusalDecrease are the factors of a decrease. A slow answer is
	// only an indication of congestion, so its decrease is gentler; a refusal is certain
	// and costs little.
	latencyDecrease = 0.85
	refusalDecrease = 0.7
	// meanGain is the weight of a sample in the mean time per unit, which averages over
	// about three answers. One VM gets an answer from one endpoint every few seconds. An
	// average over ten answers adapts too slowly to short bottlenecks (goodput of 41%
	// instead of 47% when the memory of the endpoints is full).
	meanGain = 0.3
	// bestGain is the weight of a sample below the best time per unit. It is high, since
	// an endpoint that fills up within a second gives few such samples, but below one,
	// since a single sample may be wrong.
	bestGain = 0.5
	// bestRisePerSecond raises the best time per unit by 0.2% per second, so that a
	// lasting change (longer prompts, a new adapter) becomes the new best after some
	// minutes. With 1%, an overload of a minute becomes the new best, and the limit rises
	// during the overload.
	bestRisePerSecond = 0.002
	// minWarmLimit is the minimum limit of a warm endpoint with at least one assigned
	// slot: one request, followed by a pause of three times its latency. With a limit of
	// zero, no sample would ever raise it again.
	minWarmLimit = 0.25
	// minExcess is the minimum extra time of an answer that counts as congestion. Answers
	// of a millisecond vary by more than the tolerance because of processor scheduling;
	// if that counted as congestion, an idle service would be throttled to ten calls a
	// second. 20 ms is half of the 42 ms between two tokens of a stream, and more than
	// scheduling adds.
	minExcess = 20 * time.Millisecond
	// maxPause bounds the pause after a very slow answer, so that a recovered endpoint is
	// noticed.
	maxPause = 15 * time.Second
	// fractionalStep is the increase per answer while the limit is below one request.
	fractionalStep = 0.1
)

// Bounds are the slots of the endpoint that are assigned to this VM.
type Bounds struct {
	// Slots is the upper bound of a warm endpoint, in requests.
	Slots int
	// Cold is the upper bound during cold start, in requests. With 0 this VM sends none.
	Cold int
}

// Config configures how the limit changes.
type Config struct {
	// Tolerance is DefaultTolerance, or 0 to react to refusals alone.
	Tolerance float64
	// Fixed keeps the limit at its bounds regardless of the samples.
	Fixed bool
}

// DefaultConfig is the default configuration, on which the results in docs/DECISIONS.md are
// based.
var DefaultConfig = Config{Tolerance: DefaultTolerance}

// Sample is the result of one finished request, as a signal about its endpoint.
type Sample struct {
	// Latency is the time from dispatch to the end of the answer.
	Latency time.Duration
	// Size is the work that the request took according to its answer: generated tokens,
	// and prompt tokens that were not cached. With 0 or less, the latency is ignored.
	Size float64
	// Refused means that the endpoint refused the request because it was at capacity.
	Refused bool
	// Failed means that the answer failed. Its latency is ignored.
	Failed bool
}

// Limit is the concurrency limit of one endpoint as seen by one VM.
type Limit struct {
	cfg          Config
	bounds       Bounds
	cold         bool
	slowStart    bool    // no congestion since the cold start
	current      float64 // the limit when warm
	inFlight     int
	bestPerUnit  float64   // best recent seconds per unit
	bestAgedAt   time.Time // when bestPerUnit was last raised
	meanPerUnit  float64   // exponentially weighted mean of seconds per unit
	lastDecrease time.Time // at most one decrease per latency
	lastLatency  time.Duration
}

// New returns a warm limit at its upper bound, or a limit in cold start.
func New(cfg Config, bounds Bounds, cold bool) *Limit {
	l := &Limit{cfg: cfg, bounds: bounds, current: float64(bounds.Slots)}
	if cold {
		l.SetCold(true)
	}
	return l
}

// SetBounds changes the assigned slots. A smaller bound takes effect at once: requests
// above it finish, and no new ones start.
func (l *Limit) SetBounds(b Bounds) {
	if !l.slowStart && l.current >= float64(l.bounds.Slots) {
		l.current = float64(b.Slots)
	}
	l.bounds = b
	l.clamp()
}

// SetCold starts or ends the cold start of the endpoint. The cold bound takes effect with
// the next Acquire. At the end of the cold start, the limit starts from the cold bound
// instead of its previous value, since a newly loaded engine has an empty cache and no
// samples.
func (l *Limit) SetCold(cold bool) {
	if cold == l.cold {
		return
	}
	l.cold = cold
	l.slowStart = true
	l.current = float64(l.bounds.Cold)
	l.bestPerUnit, l.meanPerUnit = 0, 0
	l.clamp()
}

// Cold reports whether the endpoint is in cold start.
func (l *Limit) Cold() bool { return l.cold }

// Current returns the number of requests that may run at once.
func (l *Limit) Current() int {
	switch {
	case l.cold:
		return l.bounds.Cold
	case l.cfg.Fixed:
		return l.bounds.Slots
	}
	if l.bounds.Slots == 0 {
		return 0
	}
	return max(int(l.current), 1)
}

// Pause returns how long the endpoint is to get no requests after the last one. It is
// above zero when the limit is below one: with one request from each of several VMs, the
// endpoint may be overloaded.
func (l *Limit) Pause() time.Duration {
	if l.cold || l.cfg.Fixed || l.inFlight > 0 || l.current >= 1 || l.current <= 0 {
		return 0
	}
	return min(time.Duration((1/l.current-1)*float64(l.lastLatency)), maxPause)
}

// InFlight returns the number of requests that hold a slot.
func (l *Limit) InFlight() int { return l.inFlight }

// Acquire takes a slot. It reports false if none is free.
func (l *Limit) Acquire() bool {
	if l.inFlight >= l.Current() {
		return false
	}
	l.inFlight++
	return true
}

// Release returns a slot and adjusts the limit by the sample.
func (l *Limit) Release(now time.Time, s Sample) {
	full := l.inFlight >= l.Current()
	if l.inFlight > 0 {
		l.inFlight--
	}
	switch {
	case s.Refused:
		l.decrease(now, refusalDecrease)
	case s.Failed || l.cold || l.cfg.Fixed:
		// The latencies of failed answers and of cold engines are no signal.
	default:
		l.applyAnswer(now, s, full)
	}
	l.clamp()
}

// applyAnswer adjusts the limit by a successful answer. full means that all slots were
// taken before the release.
func (l *Limit) applyAnswer(now time.Time, s Sample, full bool) {
	if l.detectCongestion(now, s) {
		l.decrease(now, latencyDecrease)
		return
	}
	if l.slowStart {
		l.current++
		return
	}
	if full {
		// The limit rises by one per `current` answers while it is what delays work.
		// Answers of a partly idle endpoint give no evidence for a higher limit.
		if l.current < 1 {
			l.current += fractionalStep
		} else {
			l.current += 1 / l.current
		}
	}
}

// detectCongestion adds the sample to the mean and best time per unit and reports whether
// it shows congestion.
func (l *Limit) detectCongestion(now time.Time, s Sample) bool {
	l.lastLatency = s.Latency
	if s.Size <= 0 || l.cfg.Tolerance <= 0 {
		return false
	}
	perUnit := s.Latency.Seconds() / s.Size
	if l.bestPerUnit == 0 {
		l.bestPerUnit, l.meanPerUnit, l.bestAgedAt = perUnit, perUnit, now
		return false
	}
	l.meanPerUnit += meanGain * (perUnit - l.meanPerUnit)
	l.bestPerUnit *= 1 + bestRisePerSecond*now.Sub(l.bestAgedAt).Seconds()
	l.bestAgedAt = now
	l.bestPerUnit = min(l.bestPerUnit, l.meanPerUnit)
	if perUnit < l.bestPerUnit {
		l.bestPerUnit += bestGain * (perUnit - l.bestPerUnit)
	}
	excess := seconds((l.meanPerUnit - l.bestPerUnit) * s.Size)
	return l.meanPerUnit > l.cfg.Tolerance*l.bestPerUnit && excess > minExcess
}

// decrease lowers the limit at most once per latency, since the answers already in flight
// at a decrease report the same congestion again.
func (l *Limit) decrease(now time.Time, factor float64) {
	l.slowStart = false
	if now.Sub(l.lastDecrease) < l.lastLatency {
		return
	}
	l.lastDecrease = now
	l.current *= factor
}

// clamp restricts the limit to the range from minWarmLimit to the assigned slots.
func (l *Limit) clamp() {
	top := float64(l.bounds.Slots)
	if l.current >= top {
		l.current = top
		l.slowStart = false
	}
	l.current = max(l.current, min(minWarmLimit, top))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
