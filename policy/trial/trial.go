package trial

import (
	"math"
	"sync"
	"time"

	"goldcrestfork/policy/rollout"
)

const (
	// exposureFactor is the share of sessions that try the new version, as a multiple of the
	// exposure that operators allow over the whole roll-out. A trial lasts at most decideShare
	// of the roll-out, so that 0.78 of the allowance is used. At 33 requests per second and an
	// allowance of 0.15, six requests per second try it, and a version that fails a third of
	// them is found after about two seconds.
	exposureFactor = 1.2
	// startDelay is added to a session's longest pause before the trial starts, since VMs learn
	// of the order at different times.
	startDelay = time.Second
	// decideShare is the part of the roll-out's time after which a version without evidence
	// against it is accepted: after the half in which sessions must stay on the old one, and with
	// time left to record the decision while the platform is slow.
	decideShare = 0.65
	// completeShare is the part after which a roll-out is completed even if sessions are still
	// moving. A fifth of the time remains for an order that arrived late or a slow platform.
	completeShare = 0.8
	// giveUpShare is the part after which a version that has not been found good is rolled back.
	giveUpShare = 0.85
	// minAnswers is the number of answers of the new version needed to accept it: a version
	// that fails a third gives fifteen good answers in a row once in 400 trials.
	minAnswers = 15
	// maxExcessBad limits the bad answers of the new version beyond those that the old version's
	// rate explains. Operators limit the bad answers of a bad version to fifty, and VMs learn of
	// each other's counts with a delay. A limit on all bad answers would roll back good versions
	// in a busy fleet, where dozens of the trial's answers fail with a crash of endpoints.
	maxExcessBad = 20
	// toleratedRateDifference is how far the new version's rate of bad answers may exceed the
	// old one's; bad versions fail or slow a third or more. Evidence alone is not enough: while
	// a general fault fails 15% of all requests, 40 answers of a version that fails 40% give
	// none.
	toleratedRateDifference = 0.05
)

// takeBackEvidence is the log evidence at which the new version is rolled back at once: one
// false alarm in 50 trials.
var takeBackEvidence = math.Log(50)

// Decision says what happens to the new version.
type Decision int

// Values of Decision.
const (
	// Undecided continues the trial.
	Undecided Decision = iota
	// Take accepts the new version, which then serves all requests.
	Take
	// TakeBack rolls the new version back, which then serves no request.
	TakeBack
)

// Counts holds the tallies of one incarnation of a VM.
type Counts struct {
	// From counts the answers of the old version.
	From rollout.Tally `cbor:"1,keyasint"`
	// To counts the answers of the new version.
	To rollout.Tally `cbor:"2,keyasint"`
	// Worse says that the VM found the new version worse; all VMs then roll it back. The VMs'
	// sums differ for moments, and a VM that alone kept sessions from the new version would
	// change the version of sessions that use it.
	Worse bool `cbor:"3,keyasint,omitempty"`
}

// SessionShare returns the share of sessions that try a new version, for the exposure that
// operators allow over the whole roll-out. It is at most one half.
func SessionShare(exposure float64) float64 { return min(exposureFactor*exposure, 0.5) }

// Trial is one VM's view of a roll-out in progress. It is safe for concurrent use. The argument
// now is a time on a clock with any origin that runs while the VM is suspended.
type Trial struct {
	duration, session time.Duration
	share             float64

	mu     sync.Mutex
	began  time.Duration
	own    Counts
	others map[string]Counts
	worse  bool
}

// New starts a trial that was ordered the given age ago.
func New(now, age, duration, session time.Duration, exposure float64) *Trial {
	return &Trial{duration: duration, session: session, share: SessionShare(exposure), began: now - age, others: make(map[string]Counts)}
}

// Age returns the time since the order, as far as this VM knows.
func (t *Trial) Age(now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now - t.began
}

// LocalCounts returns this VM's tallies.
func (t *Trial) LocalCounts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.own
	c.Worse = t.worse
	return c
}

// SetPeerCounts stores another VM's counts. The older of two ages is the better estimate of the
// time since the order.
func (t *Trial) SetPeerCounts(now time.Duration, source string, age time.Duration, c Counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.began = min(t.began, now-age)
	t.others[source] = c
	t.worse = t.worse || c.Worse
}

// CountAnswer counts an answer of the new or the old version. Answers of the old version count only
// while the new one is exposed: a fault of both in that time would otherwise be compared with the
// old version's quiet time before.
func (t *Trial) CountAnswer(now time.Duration, toNew, failed, slow bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &t.own.From
	if toNew {
		c = &t.own.To
	} else if !t.isExposing(now) {
		return
	}
	c.Requests++
	if failed {
		c.Errors++
	}
	if slow {
		c.Slow++
	}
}

// sum adds the tallies of all VMs.
func (t *Trial) sum() (from, to rollout.Tally) {
	from, to = t.own.From, t.own.To
	for _, c := range t.others {
		from.Requests += c.From.Requests
		from.Errors += c.From.Errors
		from.Slow += c.From.Slow
		to.Requests += c.To.Requests
		to.Errors += c.To.Errors
		to.Slow += c.To.Slow
	}
	return from, to
}

// IsExposing reports whether the sessions that Session.Tries selects are to use the new version
// now.
func (t *Trial) IsExposing(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isExposing(now)
}

// isExposing is IsExposing for a caller that holds t.mu.
func (t *Trial) isExposing(now time.Duration) bool {
	return !t.worse && now-t.began >= t.session+startDelay
}

// MayBeTaken reports whether some VM may have accepted the new version by now.
func (t *Trial) MayBeTaken(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(now-t.began) >= decideShare*float64(t.duration)
}

// Worse reports whether a VM found the new version worse.
func (t *Trial) Worse() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.worse
}

// Decide decides from the tallies of all VMs and returns the reason, empty while undecided.
func (t *Trial) Decide(now time.Duration) (d Decision, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	from, to := t.sum()
	evidence := rollout.LogEvidence(from, to, t.share)
	if evidence >= takeBackEvidence || excessBad(from, to) >= maxExcessBad {
		t.worse = true
	}
	part := float64(now-t.began) / float64(t.duration)
	switch {
	case t.worse:
		return TakeBack, "the new version is worse"
	case part < decideShare:
		return Undecided, ""
	case to.Requests >= minAnswers && acceptable(from, to):
		return Take, "no sign against the new version"
	case part >= giveUpShare:
		return TakeBack, "not enough known of the new version"
	}
	return Undecided, ""
}

// MayStopOld reports whether the old version may be stopped; moving is the time since the new
// version got all requests. It must reach a session's longest pause, or completeShare of the
// roll-out's time must have passed. If the old version stops at once, its endpoints cut off the
// answers under way; and if the operators order the next version right after, sessions that just
// used the old version change versions for no reason in the new order.
func (t *Trial) MayStopOld(now, moving time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return moving >= t.session || float64(now-t.began) >= completeShare*float64(t.duration)
}

// badRate returns the share of bad answers; 0 without answers. An answer that both failed and was
// slow counts twice.
func badRate(t rollout.Tally) float64 {
	if t.Requests == 0 {
		return 0
	}
	return min(float64(t.Errors+t.Slow)/float64(t.Requests), 1)
}

// excessBad returns the new version's bad answers beyond those that the old version's rate
// explains. An old version with few answers explains none.
func excessBad(from, to rollout.Tally) float64 {
	usual := 0.0
	if from.Requests >= minAnswers {
		usual = badRate(from)
	}
	return float64(to.Errors+to.Slow) - usual*float64(to.Requests)
}

// acceptable reports whether the new version's rate of bad answers exceeds the old one's by no
// more than the tolerated difference or one standard error of a rate from so few answers. It is
// false if the old version has no answers.
func acceptable(from, to rollout.Tally) bool {
	if from.Requests == 0 {
		return false
	}
	old := badRate(from)
	chance := math.Sqrt(old * (1 - old) / float64(to.Requests))
	return badRate(to) <= old+max(toleratedRateDifference, chance)
}

// Sum returns the tallies of all VMs, for logs and dumps.
func (t *Trial) Sum() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	from, to := t.sum()
	return Counts{From: from, To: to}
}
