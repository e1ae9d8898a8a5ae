package patience

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/policy/retry"
)

func TestFor(t *testing.T) {
	base := Attempt{Within: 100 * time.Millisecond, TargetLatency: 1500 * time.Millisecond, Remaining: 15 * time.Second, AttemptsLeft: 1}
	with := func(f func(*Attempt)) Attempt {
		a := base
		f(&a)
		return a
	}
	for name, c := range map[string]struct {
		a    Attempt
		wait time.Duration
		ok   bool
	}{
		"a share of the target": {base, 600 * time.Millisecond, true},
		"long prompt":           {with(func(a *Attempt) { a.Within = 2 * time.Second }), 2 * time.Second, true},
		"no attempt left":       {with(func(a *Attempt) { a.AttemptsLeft = 0 }), 0, false},
		"unknown time":          {with(func(a *Attempt) { a.Within = 0 }), 0, false},
		"no target latency":     {with(func(a *Attempt) { a.TargetLatency = 0 }), 0, false},
		"no time for another":   {with(func(a *Attempt) { a.Remaining = time.Second }), 600 * time.Millisecond, false},
	} {
		wait, ok := Timeout(c.a)
		require.Equal(t, c.ok, ok, name)
		if ok {
			require.Equal(t, c.wait, wait, name)
		}
	}
}

func TestTimesLearn(t *testing.T) {
	times := NewAnswerTimes()
	require.Zero(t, times.Within("s"))
	for range 50 {
		times.Add("s", 60*time.Millisecond)
	}
	require.InDelta(t, 0.06, times.Within("s").Seconds(), 0.001)
	for range 20 {
		times.Add("s", 600*time.Millisecond)
	}
	require.Greater(t, times.Within("s"), 600*time.Millisecond, "an overload")
	require.Zero(t, times.Within("other"))
}

// simulate sends 20 s of lookups to ten servers that lose a share of the answers. It returns
// the shares of requests answered within the target latency and never. load is the servers'
// utilisation with one attempt per request; with waits no attempt is given up early.
func simulate(load, lost float64, waits bool) (inTarget, never float64) {
	const (
		servers = 10
		work    = 60 * time.Millisecond
		target  = 300 * time.Millisecond
		limit   = 1500 * time.Millisecond
	)
	r := rand.New(rand.NewPCG(5, 1))
	times := NewAnswerTimes()
	start := time.Unix(1e9, 0)
	moves := retry.NewWindow(10*time.Second, 0.25, 3)
	type try struct {
		at, came time.Time
		n, try   int
	}
	var free [servers]time.Time
	var tries []try // sorted by time
	gap := time.Duration(float64(work) / (load * servers))
	for at := start; at.Before(start.Add(20 * time.Second)); at = at.Add(gap) {
		tries = append(tries, try{at: at, came: at, n: len(tries)})
	}
	n, good, served := len(tries), 0, 0
	for len(tries) > 0 {
		t := tries[0]
		tries = tries[1:]
		moves.RecordFirst(t.at.Sub(start))
		server := (t.n + 3*t.try) % servers
		begin := t.at
		if free[server].After(begin) {
			begin = free[server]
		}
		end := begin.Add(time.Duration((0.5 + r.Float64()) * float64(work)))
		gone := r.Float64() < lost
		wait, ok := Timeout(Attempt{Within: times.Within("s"), TargetLatency: target, Remaining: limit - t.at.Sub(t.came), AttemptsLeft: 1 - t.try})
		again := !waits && ok && (gone || end.Sub(t.at) > wait)
		if again {
			_, again = moves.TakeExtra(t.at.Add(wait).Sub(start), 1)
		}
		if again {
			if begin.Before(t.at.Add(wait)) {
				free[server] = end // The server had started the request before the caller gave up.
			}
			next := try{at: t.at.Add(wait), came: t.came, n: t.n, try: t.try + 1}
			i, _ := slices.BinarySearchFunc(tries, next, func(a, b try) int { return a.at.Compare(b.at) })
			tries = slices.Insert(tries, i, next)
			continue
		}
		free[server] = end
		if gone {
			continue
		}
		times.Add("s", end.Sub(t.at))
		if took := end.Sub(t.came); took <= limit {
			served++
			if took <= target {
				good++
			}
		}
	}
	return float64(good) / float64(n), 1 - float64(served)/float64(n)
}

// Guards against callers waiting for lost answers, and against retries that make an overload
// worse.
func TestRetriesUnderLoad(t *testing.T) {
	for _, load := range []float64{0.4, 0.7, 1.2, 2} {
		inTarget, never := simulate(load, 0, false)
		inTargetWaits, neverWaits := simulate(load, 0, true)
		t.Logf("load %.1f, nothing lost: in target %.3f for %.3f, never %.3f for %.3f", load, inTarget, inTargetWaits, never, neverWaits)
		require.GreaterOrEqual(t, inTarget, inTargetWaits-0.02, load)
		require.LessOrEqual(t, never, neverWaits+0.02, load)
		if load > 1 {
			continue
		}
		inTarget, never = simulate(load, 0.18, false)
		inTargetWaits, neverWaits = simulate(load, 0.18, true)
		t.Logf("load %.1f, 18 in 100 lost: in target %.3f for %.3f, never %.3f for %.3f", load, inTarget, inTargetWaits, never, neverWaits)
		require.Greater(t, inTarget, inTargetWaits+0.05, load)
		require.Less(t, never, neverWaits/3, load)
	}
}
