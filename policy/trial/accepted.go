package trial

import (
	"slices"
	"time"
)

// Once the old version has ended there is no way back from an accepted one. Operators allow a bad version few bad answers
// in all its life, over all VMs, and no request later than a time after the last of these. An accepted version is therefore
// watched for good, and stopped if its answers fail at all endpoints alike: as late as operators allow, since a fault of all
// endpoints may end by then. It stays stopped until operators order another version: a request by which a VM could learn
// that it is good again is one more than they allow.
const (
	// allowedBad is the number of bad answers that operators allow a bad version, and spentBad the number known from which
	// they are taken to be used up: VMs learn of some late, and don't take all for the version's.
	allowedBad = 50
	spentBad   = 40
	// stopShare is the part of the operators' time after the last allowed bad answer at which a version is stopped. VMs
	// learn of each other's answers with a delay.
	stopShare = 0.6
	// everywhereSmall and everywhereLarge are how far the rate of errors exceeds the usual one, also at the best third of the
	// endpoints, if a version fails at all of them. In a version of more endpoints than there are groups, faulty endpoints
	// of other groups don't stand out.
	everywhereSmall = 0.1
	everywhereLarge = 0.2
	// minEverywhere is the lowest rate of errors that theirs is compared with.
	minEverywhere = 0.05
	// suspectPart is the part of that below which errors of earlier windows are no sign of a bad version.
	suspectPart = 2
	// windowTime and windowAnswers are the least time and number of answers after which a window ends, and windows is the
	// number of the latest ones by which a version is judged, by themselves and together.
	windowTime    = 800 * time.Millisecond
	windowAnswers = 32
	windows       = 4
	// flickerTime is the time for which a version that failed everywhere is taken to do so: in single windows too few
	// answers may say so.
	flickerTime = 2 * time.Second
	// spentShare is the part of the allowed bad answers from which they are taken to be used up by a VM that has started:
	// the last ones may be unrecorded.
	spentShare = 0.5
	// settleTime is the time in which a VM that starts learns the counts of the others.
	settleTime = time.Second
)

// Standing is what is kept of an accepted version outside the VMs, so that it outlives them.
type Standing struct {
	// Stopped says that the version gets no requests.
	Stopped bool
	// Bad is the number of its bad answers, Suspect of those that are bad answers if it turns out to fail everywhere, up to
	// those that operators allow, and LoadBad of those that its load explains.
	Bad, Suspect, LoadBad uint64
	// UsualErrors is the old version's rate of errors.
	UsualErrors float64
	// Load is the bound on the requests in progress at its endpoints; 0 if there is none.
	Load int
}

// mark is the state of the counts at a time.
type mark struct {
	at     time.Duration
	spread Spread
}

// watch is one VM's view of an accepted version.
type watch struct {
	// settled is the time from which counts are judged, 0 before the first call of Watch.
	settled time.Duration
	late    bool // the VM learnt of the version after its acceptance
	// marks are the counts at the start of the latest windows, the oldest first.
	marks [windows]mark
	// endpoints is the number of the version's endpoints.
	endpoints int
	// bad are the bad answers up to the last mark. fresh are the errors of the window before that and suspect those of
	// earlier ones that are bad answers if the version turns out to fail everywhere.
	bad, suspect, fresh float64
	// pending are the errors since the last mark.
	pending float64
	// known is the largest number of bad answers that other VMs or the platform's record know.
	known float64
	// failedAt is when the version was last seen to fail everywhere, if everFailed.
	everFailed bool
	failedAt   time.Duration
	// spentAt is the time at which the allowed bad answers were used up, if spent.
	spent   bool
	spentAt time.Duration
	stopped bool
	record  Standing // at the platform
}

// JoinLate tells the trial that this VM learnt of the version after its acceptance, so that the counts of the others are
// no answers of the latest window.
func (t *Trial) JoinLate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watch.late = true
}

// SetRecord applies what the platform keeps of the version.
func (t *Trial) SetRecord(s Standing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watch.record = s
	t.merge(s.Stopped, float64(s.Bad))
}

// merge applies what another VM or the platform knows of the version. Callers hold t.mu.
func (t *Trial) merge(stopped bool, bad float64) {
	t.watch.known = max(t.watch.known, bad)
	t.watch.stopped = t.watch.stopped || stopped
}

// bad returns the number of the version's bad answers so far. Callers hold t.mu.
func (t *Trial) bad() float64 {
	w := &t.watch
	return max(w.bad, w.known)
}

// Standing returns what is to be kept of the version.
func (t *Trial) Standing() Standing {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := &t.watch
	return Standing{
		Stopped: w.stopped, Bad: uint64(t.bad()), Suspect: uint64(min(w.suspect+w.fresh+w.pending, allowedBad)),
		LoadBad: uint64(t.loadBad()), UsualErrors: t.usualErrors(), Load: t.bound.Others,
	}
}

// Stopped reports whether the version gets no requests.
func (t *Trial) Stopped() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.watch.stopped
}

// usualErrors returns the old version's rate of errors, as far as known. Callers hold t.mu.
func (t *Trial) usualErrors() float64 {
	if from, _ := t.sum(); from.Requests >= minAnswers {
		return rate(from.Errors-from.Broken, from.Requests)
	}
	return t.watch.record.UsualErrors
}

// restart begins the first window.
func (w *watch) restart(now time.Duration, s Spread) {
	for i := range w.marks {
		w.marks[i] = mark{now, s}
	}
}

// everywhere returns how far the rate of errors exceeds the usual one if the version fails at all endpoints.
func (w *watch) everywhere() float64 {
	if w.endpoints > spreadGroups {
		return everywhereLarge
	}
	return everywhereSmall
}

// isFailing reports whether answers fail at all endpoints alike.
func (w *watch) isFailing(s Spread, usual float64) bool {
	c := s.best()
	return rate(c.Errors, c.Answers) >= usual+w.everywhere() && rateEvidence(c.Errors, c.Answers, max(usual, minEverywhere)) >= takeBackEvidence
}

// excess returns the number of answers that failed and wouldn't have failed at the usual rate.
func excess(s Spread, usual float64) float64 {
	c := s.sum()
	return max(float64(c.Errors)-usual*float64(c.Answers), 0) / max(1-usual, 0.1)
}

// Accepted is how things stand with an accepted version.
type Accepted struct {
	// Completed says that the old version has ended; before, the new one is rolled back instead of stopped.
	Completed bool
	// Endpoints is the number of the version's endpoints.
	Endpoints int
	// RollBack is the operators' time after the last bad answer that they allow.
	RollBack time.Duration
}

// Watch judges an accepted version; it is called regularly.
func (t *Trial) Watch(now time.Duration, a Accepted) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := &t.watch
	w.endpoints = a.Endpoints
	if w.settled == 0 {
		t.beginWatch(now)
	}
	if now < w.settled || w.stopped {
		return
	}
	known := w.failedLately(now)
	fails := t.countBad(now)
	if t.bad() >= spentBad && !w.spent {
		w.spent, w.spentAt = true, now
		if !known && t.bad() >= allowedBad {
			// The answers came in the windows before they were seen to be the version's.
			w.spentAt = w.marks[windows-2].at
		}
	}
	late := w.spent && now-w.spentAt >= time.Duration(stopShare*float64(a.RollBack))
	w.stopped = a.Completed && fails && w.failedLately(now) && late
}

// failedLately reports whether the version failed everywhere in the latest windows.
func (w *watch) failedLately(now time.Duration) bool {
	return w.everFailed && now-w.failedAt <= flickerTime
}

// beginWatch starts the first window. Callers hold t.mu.
func (t *Trial) beginWatch(now time.Duration) {
	w := &t.watch
	w.settled = now
	if w.late {
		w.settled = now + settleTime
		return
	}
	from, to := t.sum()
	usual := 0.0
	if from.Requests >= minAnswers {
		usual = rate(from.Errors-from.Broken, from.Requests)
	}
	w.bad = max(float64(to.Errors-to.Broken)-usual*float64(to.Requests), 0)
	w.restart(now, Spread{})
}

// countBad counts the bad answers of the latest window and reports whether the version's answers still fail. Errors of a
// few endpoints are no bad answers. Callers hold t.mu.
func (t *Trial) countBad(now time.Duration) (fails bool) {
	w, spread, usual := &t.watch, t.spread(), t.usualErrors()
	if w.late {
		w.late = false
		w.bad, w.suspect = w.known, float64(w.record.Suspect)
		if w.bad+w.suspect >= spentShare*allowedBad {
			w.spent, w.spentAt = true, -time.Hour // how long ago isn't known
		}
		if w.bad >= spentBad {
			w.everFailed, w.failedAt = true, now
		}
		w.restart(now, spread)
	}
	start := w.marks[windows-1]
	latest, window := spread.since(w.marks[windows-2].spread), spread.since(start.spread)
	failed := slices.ContainsFunc(w.marks[:windows-1], func(m mark) bool { return w.isFailing(spread.since(m.spread), usual) })
	errors := excess(window, usual)
	w.pending = errors
	if failed {
		w.everFailed, w.failedAt = true, now
		w.known = max(w.known, w.bad+w.suspect+w.fresh+errors)
	}
	best, all := latest.best(), latest.sum()
	if now-start.at >= windowTime && window.sum().Answers >= windowAnswers {
		copy(w.marks[:], w.marks[1:])
		w.marks[windows-1] = mark{now, spread}
		w.pending = 0
		switch {
		case failed:
			w.bad += w.suspect + w.fresh + errors
			w.suspect, w.fresh = 0, 0
		case rate(best.Errors, best.Answers) < usual+w.everywhere()/suspectPart:
			w.suspect, w.fresh = 0, errors
		default:
			w.suspect, w.fresh = w.suspect+w.fresh, errors
		}
	}
	return rate(all.Errors, all.Answers) >= usual+w.everywhere()
}
