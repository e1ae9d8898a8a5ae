package trial

import (
	"fmt"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestfork/policy/pace"
	"goldcrestfork/policy/rollout"
)

const (
	// exposureFactor is the share of sessions that try the new version, as a multiple of the
	// exposure that operators allow over the whole roll-out. The trial lasts at most decideShare of
	// it, and all requests use the new version from then to completeShare: at 24 s and sessions of
	// 5 s that is 0.18 of the requests for an allowance of 0.15 and thirty. At 33 requests per second
	// five per second try the version, and one that fails a third of them is found after about two
	// seconds.
	exposureFactor = 1
	// startDelay is added to a session's longest pause before the trial starts, since VMs learn
	// of the order at different times.
	startDelay = time.Second
	// decideShare is the part of the roll-out's time after which a version without evidence
	// against it is accepted. It then gets all requests, of which operators allow a bad version few,
	// so that this comes late: a version may turn bad at any time.
	decideShare = 0.8
	// completeShare is the part after which a roll-out is completed. The old version ends then, so
	// that there is no way back from a version that turns bad later. A tenth of the time remains for
	// an order that arrived late or a slow platform.
	completeShare = 0.9
	// giveUpShare is the part after which a version that has not been found good is rolled back.
	giveUpShare = 0.86
	// minAnswers is the number of answers of the new version needed to accept it: a version
	// that fails a third gives fifteen good answers in a row once in 400 trials.
	minAnswers = 15
	// maxExcessBad limits the bad answers of the new version beyond those that the old version's
	// rate explains. Operators limit the bad answers of a bad version to fifty, and VMs learn of
	// each other's counts with a delay. A limit on all bad answers would roll back good versions
	// in a busy fleet, where dozens of the trial's answers fail with a crash of endpoints.
	maxExcessBad = 20
	// toleratedErrors is how far the new version's rate of errors may exceed the old one's; bad
	// versions fail or slow a third or more. Evidence alone is not enough: while a general fault
	// fails 15% of all requests, 40 answers of a version that fails 40% give none.
	toleratedErrors = 0.05
	// toleratedInClass is the same for the errors of one class, of which there are minClassErrors at
	// least: a few faulty endpoints may meet most of the trial's answers of a class.
	toleratedInClass = 0.15
	minClassErrors   = 5
	// toleratedBroken is the same for connections that broke. Faults of networks and machines reach
	// the endpoints of one version more than those of the other.
	toleratedBroken = 0.1
	// clearlyBroken is the difference of the rates of errors and broken connections together from
	// which evidence takes the new version back at once.
	clearlyBroken = 0.1
	// toleratedSlow is the same for answers that are slow. A few slow endpoints among the new
	// version's make some of a good version's answers slow.
	toleratedSlow = 0.1
	// clearlySlower and clearlyVerySlower are the differences of rates of slow and very slow answers from which evidence takes the new
	// version back at once. Its endpoints have fewer requests than the old version's, so that no
	// rush of callers makes such a difference.
	clearlySlower     = 0.2
	clearlyVerySlower = 0.15
	// turnedErrors, turnedBroken and turnedSlow are the differences from the trial's rates of the old
	// version from which a version that gets all requests has turned bad. The old version has no
	// requests then to tell a fault of machines or a rush of callers by.
	turnedErrors = 0.2
	turnedBroken = 0.4
	turnedSlow   = 0.6
	// minTurned is the number of such answers that it takes, minMoved the number of all answers, and
	// movingWindow the number of those within which they come at least.
	minTurned = 10
	minMoved  = 40
	// minUsualRate is the lowest rate that such answers are compared with.
	minUsualRate = 0.02
	movingWindow = 60
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

// Result is how one answer turned out.
type Result struct {
	// Failed says that the endpoint failed the request.
	Failed bool
	// Broke says that it did so by breaking the connection.
	Broke bool
	// Finding is how slow an answer was that didn't fail.
	Finding pace.Finding
}

// Tally counts the answers of one version.
type Tally struct {
	Requests uint64 `cbor:"1,keyasint"`
	Errors   uint64 `cbor:"2,keyasint"`
	// Broken counts the errors that were broken connections.
	Broken uint64 `cbor:"8,keyasint,omitempty"`
	// Heads and Paces compare the heads of streams, and the pauses between their events or the
	// times of other answers.
	Heads Levels `cbor:"6,keyasint"`
	Paces Levels `cbor:"7,keyasint"`
}

// Levels counts the answers that were compared, and those of them that were slow at least, and
// very slow.
type Levels struct {
	_        struct{} `cbor:",toarray"`
	Compared uint64
	Slow     uint64
	VerySlow uint64
}

func (l *Levels) count(level pace.Level) {
	if level == pace.Unknown {
		return
	}
	l.Compared++
	if level >= pace.Slow {
		l.Slow++
	}
	if level == pace.VerySlow {
		l.VerySlow++
	}
}

func (l *Levels) add(o Levels) {
	l.Compared += o.Compared
	l.Slow += o.Slow
	l.VerySlow += o.VerySlow
}

func (t *Tally) count(r Result) {
	t.Requests++
	if r.Failed {
		t.Errors++
		if r.Broke {
			t.Broken++
		}
		return
	}
	t.Heads.count(r.Finding.Head)
	t.Paces.count(r.Finding.Pace)
}

func (t *Tally) add(o Tally) {
	t.Requests += o.Requests
	t.Errors += o.Errors
	t.Broken += o.Broken
	t.Heads.add(o.Heads)
	t.Paces.add(o.Paces)
}

// since returns the counts since an earlier state.
func (t Tally) since(o Tally) Tally {
	return Tally{
		Requests: t.Requests - o.Requests, Errors: t.Errors - o.Errors, Broken: t.Broken - o.Broken,
		Heads: t.Heads.since(o.Heads), Paces: t.Paces.since(o.Paces),
	}
}

// String formats the counts for log lines.
func (t Tally) String() string {
	return fmt.Sprintf("%d answers, %d failed, %d broken, heads %v, paces %v", t.Requests, t.Errors, t.Broken, t.Heads, t.Paces)
}

func (l Levels) since(o Levels) Levels {
	return Levels{Compared: l.Compared - o.Compared, Slow: l.Slow - o.Slow, VerySlow: l.VerySlow - o.VerySlow}
}

// String formats the counts for log lines.
func (l Levels) String() string { return fmt.Sprintf("%d/%d/%d", l.Compared, l.Slow, l.VerySlow) }

// bad is the number of answers that count as bad to operators; one that is very slow both in its head
// and in its events counts twice.
func (t Tally) bad() uint64 { return t.Errors + t.Heads.VerySlow + t.Paces.VerySlow }

// signal is a kind of answers by which the versions are compared.
type signal struct {
	// count returns the number of such answers, and the number of answers that may be of the kind.
	count func(Tally) (n, of uint64)
	// trouble returns the same for answers of the old version that show slow endpoints of both, whose
	// rate is added to the tolerated difference; nil for none.
	trouble func(Tally) (n, of uint64)
	// tolerated is the difference of the rates up to which the new version is accepted, clear the
	// one from which evidence takes it back at once, and turned the same while it gets all requests.
	tolerated, clear, turned float64
}

func verySlowPaces(t Tally) (n, of uint64) { return t.Paces.VerySlow, t.Paces.Compared }

var signals = []signal{
	{func(t Tally) (n, of uint64) { return t.Errors, t.Requests }, nil, toleratedBroken, clearlyBroken, turnedBroken},
	{func(t Tally) (n, of uint64) { return t.Errors - t.Broken, t.Requests }, nil, toleratedErrors, 0, turnedErrors},
	{func(t Tally) (n, of uint64) { return t.Heads.VerySlow, t.Heads.Compared }, verySlowPaces, toleratedSlow, clearlyVerySlower, turnedSlow},
	{func(t Tally) (n, of uint64) { return t.Heads.Slow, t.Heads.Compared }, verySlowPaces, toleratedSlow, clearlySlower, 1},
	{verySlowPaces, verySlowPaces, toleratedSlow, clearlyVerySlower, turnedSlow},
	{func(t Tally) (n, of uint64) { return t.Paces.Slow, t.Paces.Compared }, verySlowPaces, toleratedSlow, clearlySlower, 1},
}

// Counts holds the tallies of one incarnation of a VM.
type Counts struct {
	// From counts the answers of the old version.
	From Tally `cbor:"1,keyasint"`
	// To counts the answers of the new version.
	To Tally `cbor:"2,keyasint"`
	// Moved counts the answers of the new version since it was accepted.
	Moved Tally `cbor:"4,keyasint"`
	// Classes counts the answers before that by class.
	Classes map[Class]ClassCounts `cbor:"5,keyasint,omitempty"`
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
	// windows are the tallies at the start of the last two windows since the new version was accepted.
	windows [2]Tally
}

// New starts a trial that was ordered the given age ago.
func New(now, age, duration, session time.Duration, exposure float64) *Trial {
	return &Trial{duration: duration, session: session, share: SessionShare(exposure), began: now - age, own: Counts{Classes: make(map[Class]ClassCounts)}, others: make(map[string]Counts)}
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
	c.Classes = maps.Clone(t.own.Classes)
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

// Origin says which version gave an answer, and when.
type Origin struct {
	// New is set for the new version, Moving if that was accepted already and gets all requests.
	New, Moving bool
	// Class is that of the request's route.
	Class Class
}

// Class identifies the routes whose requests are compared with each other.
type Class uint16

// ClassOf returns the class of a route. Two routes seldom share one.
func ClassOf(route string) Class { return Class(xxhash.Sum64String(route)) }

// maxClasses is the number of classes that a VM counts by themselves; its datagrams have room for
// these.
const maxClasses = 6

// ClassCounts holds the answers of one class, and those of them that were errors of endpoints.
type ClassCounts struct {
	_                        struct{} `cbor:",toarray"`
	FromRequests, FromErrors uint64
	ToRequests, ToErrors     uint64
}

// countClass counts an answer in its class. Callers hold t.mu.
func (t *Trial) countClass(o Origin, failed bool) {
	c, ok := t.own.Classes[o.Class]
	if !ok && len(t.own.Classes) >= maxClasses {
		return
	}
	requests, errors := &c.FromRequests, &c.FromErrors
	if o.New {
		requests, errors = &c.ToRequests, &c.ToErrors
	}
	*requests++
	if failed {
		*errors++
	}
	t.own.Classes[o.Class] = c
}

// classes adds the counts of all VMs by class.
func (t *Trial) classes() map[Class]ClassCounts {
	sum := make(map[Class]ClassCounts)
	add := func(classes map[Class]ClassCounts) {
		for class, c := range classes {
			s := sum[class]
			s.FromRequests += c.FromRequests
			s.FromErrors += c.FromErrors
			s.ToRequests += c.ToRequests
			s.ToErrors += c.ToErrors
			sum[class] = s
		}
	}
	add(t.own.Classes)
	for _, c := range t.others {
		add(c.Classes)
	}
	return sum
}

// classEvidence returns the log evidence that the new version fails the requests of some class more
// often, less what the choice among classes makes of it, and whether its rates of errors are acceptable in all of them.
func (t *Trial) classEvidence() (most float64, acceptable bool) {
	acceptable = true
	classes := t.classes()
	for _, c := range classes {
		if c.ToErrors < minClassErrors {
			continue
		}
		most = max(most, rollout.LogEvidence(
			rollout.Tally{Requests: c.FromRequests, Errors: c.FromErrors}, rollout.Tally{Requests: c.ToRequests, Errors: c.ToErrors}, t.share))
		old := rate(c.FromErrors, c.FromRequests)
		// Three standard errors, as there are several classes.
		chance := 3 * math.Sqrt(old*(1-old)/float64(max(c.ToRequests, 1)))
		if rate(c.ToErrors, c.ToRequests) > old+max(toleratedInClass, chance) {
			acceptable = false
		}
	}
	return most - math.Log(float64(max(len(classes), 1))), acceptable
}

// CountAnswer counts an attempt that failed, or the head of a stream, or another answer.
func (t *Trial) CountAnswer(now time.Duration, o Origin, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.tally(now, o)
	if c == nil {
		return
	}
	c.count(r)
	if !o.Moving {
		t.countClass(o, r.Failed && !r.Broke)
	}
}

// CountPace counts the pace of a stream, whose head was counted before.
func (t *Trial) CountPace(now time.Duration, o Origin, l pace.Level) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.tally(now, o); c != nil {
		c.Paces.count(l)
	}
}

// tally returns the tally of an answer, nil for none. Answers of the old version count only while
// the new one is exposed: a fault of both in that time would otherwise be compared with the old
// version's quiet time before.
func (t *Trial) tally(now time.Duration, o Origin) *Tally {
	switch {
	case o.New && o.Moving:
		return &t.own.Moved
	case o.New:
		return &t.own.To
	case o.Moving || !t.isExposing(now):
		return nil
	}
	return &t.own.From
}

// sum adds the tallies of all VMs.
func (t *Trial) sum() (from, to Tally) {
	from, to = t.own.From, t.own.To
	for _, c := range t.others {
		from.add(c.From)
		to.add(c.To)
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
	classEvidence, classesAcceptable := t.classEvidence()
	if max(evidence(from, to, t.share), classEvidence) >= takeBackEvidence || excessBad(from, to) >= maxExcessBad {
		t.worse = true
	}
	part := float64(now-t.began) / float64(t.duration)
	switch {
	case t.worse:
		return TakeBack, "the new version is worse"
	case part < decideShare:
		return Undecided, ""
	case to.Requests >= minAnswers && acceptable(from, to) && classesAcceptable:
		return Take, "no sign against the new version"
	case part >= giveUpShare:
		return TakeBack, "not enough known of the new version"
	}
	return Undecided, ""
}

// DecideMoving decides on a version that was accepted and gets all requests, and returns the reason,
// empty while undecided: Take completes the roll-out, which ends the old version. The argument moving
// is the time since this VM learnt of the acceptance. VMs that have all restarted since the order
// don't know its age, but have seen the version long enough after a session's longest pause.
func (t *Trial) DecideMoving(now, moving time.Duration) (d Decision, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	from, _ := t.sum()
	if t.turnedBad(from) {
		t.worse = true
	}
	switch {
	case t.worse:
		return TakeBack, "the new version turned worse"
	case float64(now-t.began) >= completeShare*float64(t.duration),
		moving >= max(t.session, time.Duration((completeShare-decideShare)*float64(t.duration))):
		return Take, "no sign against the new version since it gets all requests"
	}
	return Undecided, ""
}

// turnedBad compares the new version's latest answers with the old version's during the trial.
func (t *Trial) turnedBad(from Tally) bool {
	moved := t.own.Moved
	for _, c := range t.others {
		moved.add(c.Moved)
	}
	if moved.Requests >= t.windows[1].Requests+movingWindow {
		t.windows = [2]Tally{t.windows[1], moved}
	}
	latest := moved.since(t.windows[0])
	if latest.Requests < minMoved {
		return false
	}
	for _, s := range signals {
		old, oldOf := s.count(from)
		n, of := s.count(latest)
		usual := rate(old, oldOf)
		if n >= minTurned && rate(n, of) >= usual+s.turned && rateEvidence(n, of, max(usual, minUsualRate)) >= takeBackEvidence {
			return true
		}
	}
	return false
}

// rateEvidence returns the log likelihood ratio of the observed rate to the usual one, which is
// known from other times: evidence that draws between two versions isn't for such a comparison.
func rateEvidence(n, of uint64, usual float64) float64 {
	r := rate(n, of)
	if r <= usual || usual >= 1 {
		return 0
	}
	evidence := r * math.Log(r/usual)
	if r < 1 {
		evidence += (1 - r) * math.Log((1-r)/(1-usual))
	}
	return evidence * float64(of)
}

// evidence returns the log evidence of the strongest signal that the new version is worse.
func evidence(from, to Tally, share float64) (most float64) {
	for _, s := range signals {
		old, oldOf := s.count(from)
		n, of := s.count(to)
		if rate(n, of) >= rate(old, oldOf)+s.clear {
			most = max(most, rollout.LogEvidence(rollout.Tally{Requests: oldOf, Errors: old}, rollout.Tally{Requests: of, Errors: n}, share))
		}
	}
	return most
}

// rate returns a share; 0 without requests.
func rate(n, of uint64) float64 {
	if of == 0 {
		return 0
	}
	return min(float64(n)/float64(of), 1)
}

// excessBad returns the new version's bad answers beyond those that the old version's rate
// explains. An old version with few answers explains none.
func excessBad(from, to Tally) float64 {
	usual := 0.0
	if from.Requests >= minAnswers {
		usual = rate(from.bad(), from.Requests)
	}
	return float64(to.bad()) - usual*float64(to.Requests)
}

// acceptable reports whether the new version's rates of errors and of slow answers exceed the old
// one's by no more than what is tolerated or two standard errors of a rate from so few answers. It is false if the old version has no answers.
func acceptable(from, to Tally) bool {
	if from.Requests == 0 {
		return false
	}
	for _, s := range signals {
		old := rate(s.count(from))
		n, of := s.count(to)
		chance := 2 * math.Sqrt(old*(1-old)/float64(max(of, 1)))
		tolerated := s.tolerated
		if s.trouble != nil {
			tolerated += rate(s.trouble(from))
		}
		if rate(n, of) > old+max(tolerated, chance) {
			return false
		}
	}
	return true
}

// Sum returns the tallies of all VMs, for logs and dumps.
func (t *Trial) Sum() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	from, to := t.sum()
	moved := t.own.Moved
	for _, c := range t.others {
		moved.add(c.Moved)
	}
	return Counts{From: from, To: to, Moved: moved}
}
