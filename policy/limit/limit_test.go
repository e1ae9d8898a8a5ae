package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func answer(latency time.Duration) Sample { return Sample{Latency: latency, Size: 1} }

// TestColdStartLimitsAtOnce covers an endpoint that restarts without warning while its
// slots are full. From then on no request may start above the cold bound; after the cold
// start the limit rises step by step.
func TestColdStartLimitsAtOnce(t *testing.T) {
	l := New(DefaultConfig, Bounds{Slots: 8, Cold: 1}, false)
	for range 8 {
		require.True(t, l.Acquire())
	}
	l.SetCold(true)
	for range 8 {
		require.False(t, l.Acquire())
		l.Release(start, answer(time.Second))
	}
	require.True(t, l.Acquire())
	require.False(t, l.Acquire())
	l.SetCold(false)
	require.Equal(t, 1, l.Current())
	for want := 2; want <= 8; want++ {
		l.Release(start, answer(time.Second))
		require.Equal(t, want, l.Current(), "one more per success")
		require.True(t, l.Acquire())
	}
}

func TestNoColdSlotDealt(t *testing.T) {
	l := New(DefaultConfig, Bounds{Slots: 2, Cold: 0}, true)
	require.False(t, l.Acquire())
	l.SetCold(false)
	require.True(t, l.Acquire(), "a warm endpoint gets at least one request, or there would be no samples")
}

// TestSignals checks which samples change the limit, starting at 10 of 20 slots.
func TestSignals(t *testing.T) {
	cases := []struct {
		name string
		cfg  Config
		s    Sample
		want func(t *testing.T, before, after int)
	}{
		{"refusal", DefaultConfig, Sample{Refused: true, Latency: time.Millisecond}, lower},
		{"four times as slow", DefaultConfig, answer(4 * time.Second), lower},
		{"as usual", DefaultConfig, answer(time.Second), higher},
		{"slow, signal off", Config{}, answer(4 * time.Second), higher},
		{"slow, fixed", Config{Fixed: true}, answer(4 * time.Second), same},
		{"failures are ignored", DefaultConfig, Sample{Failed: true, Latency: time.Minute, Size: 1}, same},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := New(c.cfg, Bounds{Slots: 10}, false)
			now := start
			l.Acquire()
			l.Release(now, answer(time.Second))
			l.bounds.Slots = 20
			before := l.Current()
			for range 40 {
				now = now.Add(200 * time.Millisecond)
				for l.Acquire() {
				}
				l.Release(now, c.s)
			}
			c.want(t, before, l.Current())
		})
	}
}

// TestPauseBelowOneRequest covers an endpoint that can run fewer requests than there are
// VMs. Each VM lowers its limit below one request, down to a quarter, which causes a
// pause after each request.
func TestPauseBelowOneRequest(t *testing.T) {
	l := New(DefaultConfig, Bounds{Slots: 1, Cold: 1}, false)
	now, latency := start, time.Second
	for range 30 {
		require.True(t, l.Acquire())
		require.Zero(t, l.Pause(), "no pause while a request runs")
		now = now.Add(latency)
		l.Release(now, answer(latency))
		latency = 4 * time.Second
	}
	require.Equal(t, 12*time.Second, l.Pause())
	for range 30 {
		l.Acquire()
		l.Release(now, answer(time.Second))
	}
	require.Zero(t, l.Pause())
	l.Release(now, Sample{Refused: true})
	l.SetCold(true)
	require.Zero(t, l.Pause(), "a cold endpoint uses the cold bound")
}

func lower(t *testing.T, before, after int)  { require.Less(t, after, before) }
func higher(t *testing.T, before, after int) { require.Greater(t, after, before) }
func same(t *testing.T, before, after int)   { require.GreaterOrEqual(t, after, before) }

// TestWithinBounds checks for random samples that no more requests are in flight than
// were assigned when they started, and that a warm endpoint with a slot always admits a
// request.
func TestWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bounds{Slots: rapid.IntRange(0, 20).Draw(t, "slots"), Cold: rapid.IntRange(0, 3).Draw(t, "cold")}
		l := New(DefaultConfig, b, rapid.Bool().Draw(t, "startsCold"))
		now := start
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				bound := b.Slots
				if l.Cold() {
					bound = b.Cold
				}
				if l.Acquire() {
					require.LessOrEqual(t, l.InFlight(), bound)
				}
			case 2:
				l.Release(now, Sample{
					Latency: time.Duration(rapid.IntRange(1, 10_000).Draw(t, "latency")) * time.Millisecond,
					Size:    rapid.Float64Range(0, 5).Draw(t, "size"),
					Refused: rapid.Bool().Draw(t, "refused"),
				})
			case 3:
				l.SetCold(rapid.Bool().Draw(t, "cold"))
			case 4:
				b.Slots = rapid.IntRange(0, 20).Draw(t, "slots")
				l.SetBounds(b)
			}
			if !l.Cold() && b.Slots > 0 {
				require.GreaterOrEqual(t, l.Current(), 1)
			}
		}
	})
}

// TestJitterOfShortAnswersIsNoCongestion covers a service whose calls take one
// millisecond, some of them five. If this jitter counted as congestion, the limit would
// fall to its minimum within seconds and throttle an idle service to ten calls a second.
func TestJitterOfShortAnswersIsNoCongestion(t *testing.T) {
	l := New(DefaultConfig, Bounds{Slots: 8}, false)
	now := time.Unix(0, 0)
	for i := range 2000 {
		require.True(t, l.Acquire())
		latency := time.Millisecond
		if i%100 > 60 {
			latency = 5 * time.Millisecond
		}
		now = now.Add(latency)
		l.Release(now, Sample{Latency: latency, Size: 1})
	}
	require.Equal(t, 8, l.Current())
	require.Zero(t, l.Pause())
}
