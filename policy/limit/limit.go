// Package limit finds how many requests one endpoint bears at once.
//
// Load pattern: an endpoint whose configured slots promise more than it holds
// (long prompts fill the memory of its cache and it starts to preempt and
// recompute), one that slows down, and one that comes back in cold start.
//
// Without it: all configured slots stay filled, the endpoint's total throughput
// falls with each further request, and answers miss their deadlines although
// the endpoint is never idle; after a cold start the queue is emptied into an
// endpoint that bears two requests.
//
// The limit is additive-increase, multiplicative-decrease on two signals: the
// endpoint's own refusals, and the time per unit of work against the best that
// was measured lately. After a cold start it grows by one a success, as in slow
// start, until the first sign of congestion. The configured slots are the upper
// bound; what is dealt to this VM of them is the caller's to set.
//
// A Limit is not safe for concurrent use: its owner (picker.Table) locks.
package limit

import "time"

const (
	// DefaultTolerance is how far the time per unit may rise over its best
	// before the limit falls. A continuous batch at its full slots takes 1.5
	// times as long as an idle engine in the model of policy/loadtest, so 2
	// leaves a third for noise; 0 turns the signal off.
	DefaultTolerance = 2.0
	// latencyDecrease and refusalDecrease are the factors of a step down. A
	// refusal is certain and cheap, a slow answer is a guess, hence the gentler one.
	latencyDecrease = 0.85
	refusalDecrease = 0.7
	// shortGain is the weight of a sample in the running time per unit: about the
	// last three answers. One VM gets an answer of one endpoint every few seconds;
	// with the last ten, a limit took longer to find than the pattern lasted (goodput
	// of norte's memory pattern 41% instead of 47%).
	shortGain = 0.3
	// baseGain is the weight of a sample below the best: quick, since an endpoint that
	// fills up within a second shows few of them, but not whole, since one may be wrong.
	baseGain = 0.5
	// baseRise lets the best time per unit grow by 0.2% a second, so that a lasting
	// change (longer prompts, a new adapter) is the new best after some minutes. At 1%
	// an overload of a minute became the new best and the limit rose into it.
	baseRise = 0.002
	// minWarm is the least limit of a warm endpoint to which any slot was dealt: one
	// request, and a pause of three times its latency after it. With none, no sample
	// would ever raise it again.
	minWarm = 0.25
	// noticeable is the least extra time an answer that counts as congestion. Answers
	// of a millisecond vary by more than the tolerance for want of a processor; taken
	// as congestion, that throttled an idle service to ten calls a second. 20 ms is
	// half of the letter's 42 ms between tokens, and beyond what scheduling adds.
	noticeable = 20 * time.Millisecond
	// maxPause bounds the pause after a very slow answer: an endpoint that has
	// recovered must be found out.
	maxPause = 15 * time.Second
	// smallStep is the rise for an answer while the limit is below one request.
	smallStep = 0.1
)

// Bounds are this VM's part of the endpoint's slots.
type Bounds struct {
	// Slots is the upper bound when warm, in requests.
	Slots int
	// Cold is the upper bound in cold start, in requests; 0 sends none from this VM.
	Cold int
}

// Config sets how the limit moves.
type Config struct {
	// Tolerance is DefaultTolerance, or 0 to move on refusals alone.
	Tolerance float64
	// Fixed keeps the limit at its bounds whatever is measured.
	Fixed bool
}

// DefaultConfig is the configuration that docs/DECISIONS.md measures.
var DefaultConfig = Config{Tolerance: DefaultTolerance}

// Sample is what one finished request tells about its endpoint.
type Sample struct {
	// Latency is the time from dispatch to the end of the answer.
	Latency time.Duration
	// Size is the work that it took by the answer's own account (tokens made, and
	// prompt tokens that were not cached); not above 0 takes the latency as no signal.
	Size float64
	// Refused says that the endpoint was full.
	Refused bool
	// Failed says that the answer failed; its latency tells nothing.
	Failed bool
}

// Limit is the concurrency limit of one endpoint as seen by one VM.
type Limit struct {
	cfg      Config
	bounds   Bounds
	cold     bool
	starting bool    // slow start: no congestion since the cold start
	current  float64 // the limit when warm
	inFlight int
	base     float64   // best seconds per unit lately
	baseAt   time.Time // when base was last aged
	short    float64   // running seconds per unit
	lastDown time.Time // one step down a running latency at most
	lastLat  time.Duration
}

// New returns a warm limit at its upper bound, or a cold one.
func New(cfg Config, bounds Bounds, cold bool) *Limit {
	l := &Limit{cfg: cfg, bounds: bounds, current: float64(bounds.Slots)}
	if cold {
		l.SetCold(true)
	}
	return l
}

// SetBounds changes the dealt slots. A smaller share is in force at once: what
// runs above it drains, nothing new starts.
func (l *Limit) SetBounds(b Bounds) {
	if !l.starting && l.current >= float64(l.bounds.Slots) {
		l.current = float64(b.Slots)
	}
	l.bounds = b
	l.clamp()
}

// SetCold puts the endpoint in cold start, or ends it. Cold takes effect with the
// next Acquire. The end of it starts from the cold bound, not from the old limit:
// an engine that just loaded has an empty cache and nothing measured.
func (l *Limit) SetCold(cold bool) {
	if cold == l.cold {
		return
	}
	l.cold = cold
	l.starting = true
	l.current = float64(l.bounds.Cold)
	l.base, l.short = 0, 0
	l.clamp()
}

// Cold reports whether the endpoint is in cold start.
func (l *Limit) Cold() bool { return l.cold }

// Current is the number of requests that may run at once now.
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

// Pause is how long to leave the endpoint alone after the last request, when the
// limit is below one: several VMs with one request each may be more than it holds.
func (l *Limit) Pause() time.Duration {
	if l.cold || l.cfg.Fixed || l.inFlight > 0 || l.current >= 1 || l.current <= 0 {
		return 0
	}
	return min(time.Duration((1/l.current-1)*float64(l.lastLat)), maxPause)
}

// InFlight is the number of requests that hold a slot.
func (l *Limit) InFlight() int { return l.inFlight }

// Acquire takes a slot, or reports that there is none.
func (l *Limit) Acquire() bool {
	if l.inFlight >= l.Current() {
		return false
	}
	l.inFlight++
	return true
}

// Release gives the slot back and learns from the sample.
func (l *Limit) Release(now time.Time, s Sample) {
	full := l.inFlight >= l.Current()
	if l.inFlight > 0 {
		l.inFlight--
	}
	switch {
	case s.Refused:
		l.down(now, refusalDecrease)
	case s.Failed || l.cold || l.cfg.Fixed:
		// A failure's latency says nothing, and neither does that of a cold engine.
	default:
		l.answered(now, s, full)
	}
	l.clamp()
}

func (l *Limit) answered(now time.Time, s Sample, full bool) {
	if l.learn(now, s) {
		l.down(now, latencyDecrease)
		return
	}
	if l.starting {
		l.current++
		return
	}
	if full {
		// One more for each limit's worth of answers while the limit is what holds
		// work back; an idle endpoint proves nothing about a higher limit.
		if l.current < 1 {
			l.current += smallStep
		} else {
			l.current += 1 / l.current
		}
	}
}

// learn takes the sample into the running time per unit and reports congestion.
func (l *Limit) learn(now time.Time, s Sample) bool {
	l.lastLat = s.Latency
	if s.Size <= 0 || l.cfg.Tolerance <= 0 {
		return false
	}
	perUnit := s.Latency.Seconds() / s.Size
	if l.base == 0 {
		l.base, l.short, l.baseAt = perUnit, perUnit, now
		return false
	}
	l.short += shortGain * (perUnit - l.short)
	l.base *= 1 + baseRise*now.Sub(l.baseAt).Seconds()
	l.baseAt = now
	l.base = min(l.base, l.short)
	if perUnit < l.base {
		l.base += baseGain * (perUnit - l.base)
	}
	excess := seconds((l.short - l.base) * s.Size)
	return l.short > l.cfg.Tolerance*l.base && excess > noticeable
}

// down lowers the limit once for a latency's worth of time: the answers that were
// already under way when it fell carry the same news again.
func (l *Limit) down(now time.Time, factor float64) {
	l.starting = false
	if now.Sub(l.lastDown) < l.lastLat {
		return
	}
	l.lastDown = now
	l.current *= factor
}

func (l *Limit) clamp() {
	top := float64(l.bounds.Slots)
	if l.current >= top {
		l.current = top
		l.starting = false
	}
	l.current = max(l.current, min(minWarm, top))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
