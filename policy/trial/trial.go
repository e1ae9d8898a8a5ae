package trial

import (
	"math"
	"sync"
	"time"

	"goldcrestfork/policy/rollout"
)

const (
	// shareTimes is the part of the sessions that try the new version, in terms of the
	// exposure that operators allow over the roll-out's whole time. A trial lasts
	// decideAt of it at most, so that 0.78 of the allowance is used. At 33 requests a
	// second and an allowance of 0.15, six of them a second try it, and a version that
	// fails a third is found after about two seconds.
	shareTimes = 1.2
	// settle is added to a session's longest pause before the trial starts: VMs learn of
	// the order at different moments.
	settle = time.Second
	// decideAt is the part of the roll-out's time at which a version without signs
	// against it is taken: past the half in which sessions must stay on the old one, and
	// with time left to record it while the platform is slow.
	decideAt = 0.65
	// movedAt is the part at which a roll-out is completed though sessions are still moving;
	// a fifth of its time is left for an order that was known late, or a slow platform.
	movedAt = 0.8
	// giveUpAt is the part at which a version that is not proved good is taken back.
	giveUpAt = 0.85
	// leastAnswers of the new version are needed to take it: of a version that fails a
	// third, fifteen good answers in a row come once in 400 trials.
	leastAnswers = 15
	// mostBad bounds the bad answers of the new version, whatever else fails meanwhile:
	// operators bound them to fifty, and VMs hear of each other's with a delay.
	mostBad = 30
	// tolerated is how much higher the new version's rate of bad answers may be than the
	// old one's for it to be taken; versions that are bad fail or slow a third or more.
	// Evidence alone doesn't do: while a trouble fails 15 in 100 of all, a version with
	// 40 in 100 gives none from 40 answers.
	tolerated = 0.05
)

// clearlyWorse is the log evidence at which the new version is taken back at once: one
// false alarm in 50 trials.
var clearlyWorse = math.Log(50)

// Decision is what becomes of the new version.
type Decision int

// The decisions.
const (
	// Undecided: go on.
	Undecided Decision = iota
	// Take the new version for all requests.
	Take
	// TakeBack keeps it from all requests.
	TakeBack
)

// Counts are one VM life's tallies.
type Counts struct {
	From rollout.Tally `cbor:"1,keyasint"`
	To   rollout.Tally `cbor:"2,keyasint"`
	// Worse says that the VM found the new version worse; all then take it back. Sums
	// differ for moments, and a VM that alone kept sessions from the new version would
	// move those that are there.
	Worse bool `cbor:"3,keyasint,omitempty"`
}

// Share is the part of the sessions that try a new version where operators allow an
// exposure over the roll-out's whole time.
func Share(exposure float64) float64 { return min(shareTimes*exposure, 0.5) }

// Trial is one roll-out under way as one VM sees it. It is safe for concurrent use;
// now is a time since any start, on a clock that runs while the VM is suspended.
type Trial struct {
	duration, session time.Duration
	share             float64

	mu     sync.Mutex
	began  time.Duration
	own    Counts
	others map[string]Counts
	worse  bool
}

// New starts a trial that was ordered age ago.
func New(now, age, duration, session time.Duration, exposure float64) *Trial {
	return &Trial{duration: duration, session: session, share: Share(exposure), began: now - age, others: make(map[string]Counts)}
}

// Age is the time since the order, as far as this VM knows.
func (t *Trial) Age(now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now - t.began
}

// Own returns this VM's tallies.
func (t *Trial) Own() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.own
	c.Worse = t.worse
	return c
}

// Heard takes another VM's word; the older of two ages is nearer to the order.
func (t *Trial) Heard(now time.Duration, source string, age time.Duration, c Counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.began = min(t.began, now-age)
	t.others[source] = c
	t.worse = t.worse || c.Worse
}

// Answered counts an answer of the new version, or of another.
func (t *Trial) Answered(toNew, failed, slow bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &t.own.From
	if toNew {
		c = &t.own.To
	}
	c.Requests++
	if failed {
		c.Errors++
	}
	if slow {
		c.Slow++
	}
}

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

// Exposes says whether sessions of the trial's part are to try the new version now.
func (t *Trial) Exposes(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.worse && now-t.began >= t.session+settle
}

// Deciding says that the new version may have been taken by now.
func (t *Trial) Deciding(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(now-t.began) >= decideAt*float64(t.duration)
}

// Worse says that a VM found the new version worse.
func (t *Trial) Worse() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.worse
}

// Judge decides by what is known of all VMs; Reason says by what.
func (t *Trial) Judge(now time.Duration) (d Decision, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	from, to := t.sum()
	evidence := rollout.Worse(from, to, t.share)
	if evidence >= clearlyWorse || to.Errors+to.Slow >= mostBad {
		t.worse = true
	}
	part := float64(now-t.began) / float64(t.duration)
	switch {
	case t.worse:
		return TakeBack, "the new version is worse"
	case part < decideAt:
		return Undecided, ""
	case to.Requests >= leastAnswers && noWorse(from, to):
		return Take, "no sign against the new version"
	case part >= giveUpAt:
		return TakeBack, "not enough known of the new version"
	}
	return Undecided, ""
}

// Moved says whether the old version may be stopped, moving after the new one got all
// requests. Stopped at once, its endpoints cut off the answers under way; and where the
// operators order the next version right after, sessions that were at the old one a moment
// ago change their version for no reason that the new order gives.
func (t *Trial) Moved(now, moving time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return moving >= t.session || float64(now-t.began) >= movedAt*float64(t.duration)
}

// noWorse says that the new version's rate of bad answers is the old one's, give or
// take one standard error of a rate from so few answers.
func noWorse(from, to rollout.Tally) bool {
	if from.Requests == 0 {
		return false
	}
	rate := func(t rollout.Tally) float64 { return float64(t.Errors+t.Slow) / float64(t.Requests) }
	old := min(rate(from), 1)
	chance := math.Sqrt(old * (1 - old) / float64(to.Requests))
	return rate(to) <= old+max(tolerated, chance)
}

// Sum returns all tallies, for logs and dumps.
func (t *Trial) Sum() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	from, to := t.sum()
	return Counts{From: from, To: to}
}
