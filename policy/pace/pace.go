package pace

import (
	"math"
	"slices"
	"time"
)

const (
	// slowFactor and verySlowFactor are the multiples of the usual time from which an answer is slow
	// and very slow. A rush of callers makes many answers slow and few very slow.
	slowFactor     = 2
	verySlowFactor = 4
	// minExcess is the time by which an answer exceeds the usual one at least to be slow. A busy
	// process delays answers by milliseconds, which is several times the usual time of quick ones.
	minExcess = 10 * time.Millisecond
	// minEvents is the number of events from which the pace of a stream that has ended is known. The
	// pauses between fewer events vary more than those of different versions.
	minEvents = 6
	// KnownEvents is the number of events from which the pace of a stream is known before its end.
	KnownEvents = 16
	// window is the number of answers of one kind that make its usual times, and minSamples the
	// number from which they are known.
	window     = 31
	minSamples = 5
)

// Answer describes how an answer arrived.
type Answer struct {
	// Whole is the time to the end of an answer that isn't a stream; 0 for streams.
	Whole time.Duration
	// Head is the time to a stream's head, 0 if unknown, and Work the work at its endpoint up to then,
	// the prompt of the request included, in requests; 0 if unknown.
	Head time.Duration
	Work float64
	// Events is the number of events of a stream that arrived, and Span the time from the head to
	// the last one, or to the moment at which the answer was given up. Events after the first
	// KnownEvents are left out.
	Events int
	Span   time.Duration
	// Unfinished says that the answer was given up, and Arriving that further events may come. The
	// times are lower bounds then.
	Unfinished, Arriving bool
}

// pace returns the time of an answer that isn't a stream, or the mean pause between the events of
// a stream; ok is false if it isn't known.
func (a Answer) pace() (p time.Duration, ok bool) {
	switch {
	case a.Whole > 0:
		return a.Whole, true
	case a.Arriving && a.Events < KnownEvents:
		return a.Span / (KnownEvents - 1), true
	case a.Unfinished && a.Events > 0:
		return a.Span / time.Duration(a.Events), true
	case a.Events >= minEvents:
		return a.Span / time.Duration(a.Events-1), true
	}
	return 0, false
}

// Level is how slow an answer is.
type Level int

// Values of Level.
const (
	// Unknown says that there is nothing to compare with, or that an answer was given up too early.
	Unknown Level = iota
	Usual
	Slow
	VerySlow
)

// Finding says how an answer compares with the usual ones.
type Finding struct {
	// Pace compares the pauses between the events of a stream, or the time of another answer, with
	// those of answers of the same kind.
	Pace Level
	// Head compares the head of a stream with those of streams that had as much work ahead.
	Head Level
}

// Known reports whether an answer says anything.
func (f Finding) Known() bool { return f.Pace != Unknown || f.Head != Unknown }

// Times holds the usual times of one service's answers by kind (of the same route and model, say).
// It is not safe for concurrent use.
type Times struct {
	kinds map[string]*recent
	// pauses holds those of all streams, for kinds with few answers, and heads the times of their
	// heads by the work ahead of them.
	pauses recent
	heads  [workSteps]recent
}

// NewTimes returns Times without answers.
func NewTimes() *Times { return &Times{kinds: make(map[string]*recent)} }

// Add adds an answer to the usual ones. Answers whose times aren't known yet, or won't be, are left
// out.
func (t *Times) Add(kind string, a Answer) {
	if a.Unfinished || a.Arriving && a.Events < KnownEvents {
		return
	}
	if step, ok := a.workStep(); ok {
		t.heads[step].add(a.Head.Seconds())
	}
	p, ok := a.pace()
	if !ok {
		return
	}
	k := t.kinds[kind]
	if k == nil {
		k = &recent{}
		t.kinds[kind] = k
	}
	k.add(p.Seconds())
	if a.Whole == 0 {
		t.pauses.add(p.Seconds())
	}
}

// workSteps is the number of steps of work that heads are compared within; each is twice the one
// before. The time of a head doesn't grow with the work as a line does.
const workSteps = 8

// workStep returns the step of the work that was ahead of a stream's head.
func (a Answer) workStep() (step int, ok bool) {
	if a.Head <= 0 || a.Work <= 0 {
		return 0, false
	}
	return min(max(int(math.Log2(a.Work)), 0), workSteps-1), true
}

// usualHead returns the usual time to a head with so much work ahead, or with more where that isn't
// known: less work is no reason for a later head.
func (t *Times) usualHead(step int) (usual float64, known bool) {
	for ; step < workSteps && !known; step++ {
		usual, known = t.heads[step].median()
	}
	return usual, known
}

// Compare compares an answer with the usual ones.
func (t *Times) Compare(kind string, a Answer) (f Finding) {
	if step, ok := a.workStep(); ok {
		usual, known := t.usualHead(step)
		f.Head = level(a.Head.Seconds(), usual, known, a.Unfinished && a.Events == 0)
	}
	p, ok := a.pace()
	if !ok {
		return f
	}
	var usual float64
	var known bool
	if k := t.kinds[kind]; k != nil {
		usual, known = k.median()
	}
	if !known && a.Whole == 0 {
		usual, known = t.pauses.median()
	}
	f.Pace = level(p.Seconds(), usual, known, a.Unfinished || a.Arriving && a.Events < KnownEvents)
	return f
}

// level compares a time with the usual one, if that is known. A time that is a lower bound may say
// nothing.
func level(took, usual float64, known, lowerBound bool) Level {
	late := took >= usual+minExcess.Seconds()
	switch {
	case !known:
		return Unknown
	case late && took >= verySlowFactor*usual:
		return VerySlow
	case late && took >= slowFactor*usual:
		return Slow
	case lowerBound:
		return Unknown
	}
	return Usual
}

// recent holds the latest times, or multiples of times.
type recent struct {
	values []float64
	next   int
}

func (r *recent) add(v float64) {
	if len(r.values) < window {
		r.values = append(r.values, v)
		return
	}
	r.values[r.next] = v
	r.next = (r.next + 1) % window
}

func (r *recent) median() (m float64, known bool) {
	if len(r.values) < minSamples {
		return 0, false
	}
	return slices.Sorted(slices.Values(r.values))[len(r.values)/2], true
}
