package pace

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// load draws answers of one kind. Prompts and answers differ in length by a factor of two and more.
type load struct{ r *rand.Rand }

func (l *load) answer(slowdown float64) Answer {
	const ms = float64(time.Millisecond)
	spread := func(sigma float64) float64 { return math.Exp(sigma * l.r.NormFloat64()) }
	work := 4 * spread(0.9)
	events := 1 + int(20*spread(0.6))
	span := 0.0
	for range min(events, KnownEvents) - 1 {
		span += 35 * spread(0.5) * slowdown
	}
	return Answer{
		Work: work, Head: time.Duration(25 * work * spread(0.3) * slowdown * ms),
		Events: min(events, KnownEvents), Span: time.Duration(span * ms),
	}
}

// rates returns the shares of answers that are slow at least, and very slow, by this package.
func (l *load) rates(t *Times, slowdown float64) (slow, verySlow float64) {
	const answers = 2000
	for range answers {
		f := t.Compare("k", l.answer(slowdown))
		if max(f.Pace, f.Head) >= Slow {
			slow += 1.0 / answers
		}
		if max(f.Pace, f.Head) == VerySlow {
			verySlow += 1.0 / answers
		}
	}
	return slow, verySlow
}

// meanOfHeads is the other way: the share of answers whose heads take more than four times a moving
// mean of the last ten.
func (l *load) meanOfHeads(slowdown float64) (slow float64) {
	const answers, gain, factor = 2000, 0.1, 4
	mean := l.answer(1).Head.Seconds()
	for range answers {
		if l.answer(slowdown).Head.Seconds() > factor*mean {
			slow += 1.0 / answers
		}
		mean += gain * (l.answer(1).Head.Seconds() - mean)
	}
	return slow
}

// Guards against answers several times as slow that pass for usual ones, as by the time to the head alone.
func TestSlowAnswersStandOut(t *testing.T) {
	l := &load{r: rand.New(rand.NewPCG(44, 1))}
	times := NewTimes()
	for range 10 * window {
		times.Add("k", l.answer(1))
	}
	usual, usualVery := l.rates(times, 1)
	three, _ := l.rates(times, 3)
	_, eightVery := l.rates(times, 8)
	t.Logf("slow: usual %.3f, three times %.3f; very slow: usual %.3f, eight times %.3f; mean of heads: usual %.3f, eight times %.3f",
		usual, three, usualVery, eightVery, l.meanOfHeads(1), l.meanOfHeads(8))
	require.Less(t, usual, 0.1)
	require.Less(t, usualVery, 0.02)
	require.Greater(t, three, 0.5)
	require.Greater(t, eightVery, 0.9)
	require.Less(t, l.meanOfHeads(8), 0.9, "the other way finds fewer")
}

// Guards against slow answers that count for nothing because their callers give them up.
func TestAnswersGivenUpCountIfTheyAreSlow(t *testing.T) {
	const ms = time.Millisecond
	times := NewTimes()
	for range minSamples {
		times.Add("k", Answer{Head: 100 * ms, Work: 3, Events: 20, Span: 760 * ms})
		times.Add("plain", Answer{Whole: 100 * ms})
	}
	for _, c := range []struct {
		kind string
		a    Answer
		want Finding
	}{
		{"k", Answer{Head: 100 * ms, Work: 3, Events: 4, Span: 2000 * ms, Unfinished: true}, Finding{Pace: VerySlow, Head: Usual}},
		{"k", Answer{Head: 100 * ms, Work: 3, Events: 4, Span: 100 * ms, Unfinished: true}, Finding{Head: Usual}},
		{"k", Answer{Head: 2000 * ms, Work: 3, Unfinished: true}, Finding{Head: VerySlow}},
		{"k", Answer{Head: 50 * ms, Work: 3, Unfinished: true}, Finding{}},
		{"k", Answer{Head: 300 * ms, Work: 3}, Finding{Head: Slow}},
		{"k", Answer{Head: 150 * ms, Work: 2, Events: 8, Span: 280 * ms}, Finding{Pace: Usual, Head: Usual}},
		{"k", Answer{Events: 8, Span: 2500 * ms, Arriving: true}, Finding{Pace: VerySlow}},
		{"k", Answer{Events: 8, Span: 600 * ms, Arriving: true}, Finding{}},
		{"plain", Answer{Whole: time.Second, Unfinished: true}, Finding{Pace: VerySlow}},
		{"plain", Answer{Whole: 300 * ms}, Finding{Pace: Slow}},
		{"plain", Answer{Whole: 50 * ms, Unfinished: true}, Finding{}},
	} {
		require.Equal(t, c.want, times.Compare(c.kind, c.a), "%+v", c.a)
	}
}

// A kind with few answers is compared with the pace of all kinds.
func TestNewKindUsesThePaceOfAll(t *testing.T) {
	times := NewTimes()
	slow := Answer{Head: time.Second, Events: 20, Span: 8 * time.Second}
	require.Equal(t, Finding{}, times.Compare("new", slow))
	for range minSamples {
		times.Add("k", Answer{Head: 100 * time.Millisecond, Events: 20, Span: 760 * time.Millisecond})
	}
	require.Equal(t, Finding{Pace: VerySlow}, times.Compare("new", slow))
}

// Guards against good versions that are taken back since quick answers were some milliseconds late.
func TestMillisecondsAreNotSlow(t *testing.T) {
	times := NewTimes()
	for range minSamples {
		times.Add("k", Answer{Head: time.Millisecond, Work: 1, Events: KnownEvents, Span: 15 * time.Millisecond})
	}
	late := Answer{Head: 8 * time.Millisecond, Work: 1, Events: KnownEvents, Span: 120 * time.Millisecond}
	require.Equal(t, Finding{Pace: Usual, Head: Usual}, times.Compare("k", late))
	late.Unfinished = true
	require.Equal(t, Finding{Head: Usual}, times.Compare("k", late))
}
