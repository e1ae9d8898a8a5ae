package outlier

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_700_000_000, 0)

func pool(n int) (*Detector, []string) {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint("e", i)
	}
	d := New()
	d.Set(names)
	return d, names
}

// fail records failures of an endpoint and returns whether it was ejected.
func fail(d *Detector, name string, n int) bool {
	for range n {
		if c, ok := d.Record(start, Result{Endpoint: name, Failed: true}); ok {
			return c.State == Ejected
		}
	}
	return false
}

func TestEjects(t *testing.T) {
	cases := []struct {
		name    string
		pattern string // of answers: . good, x failed
		want    bool
	}{
		{"five in a row", "xxxxx", true},
		{"four in a row", "xxxx.....", false},
		{"half of many", "xx.xx.xx.xxx.xxx.xx.xx.xx.x", true},
		{"one in five", "....x....x....x....x....x", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d, _ := pool(9)
			for _, r := range c.pattern {
				d.Record(start, Result{Endpoint: "e0", Failed: r == 'x'})
			}
			require.Equal(t, c.want, d.State("e0") == Ejected)
		})
	}
}

// TestShare: most endpoints of a pool fail; at most a third is taken out, and an only
// endpoint never.
func TestShare(t *testing.T) {
	for n, most := range map[int]int{1: 0, 2: 1, 3: 1, 9: 3, 12: 4} {
		d, names := pool(n)
		out := 0
		for _, name := range names {
			if fail(d, name, 50) {
				out++
			}
		}
		require.Equal(t, most, out, "%d endpoints", n)
	}
}

// TestProbation: an ejected endpoint comes back after its time, stays when it
// answers, and is gone for twice as long when it still fails.
func TestProbation(t *testing.T) {
	d, _ := pool(9)
	require.True(t, fail(d, "e0", consecutiveErrors))
	require.Empty(t, d.Due(start.Add(baseEjection-1)))
	now := start.Add(baseEjection)
	require.Equal(t, []Change{{"e0", Probation}}, d.Due(now))
	c, ok := d.Record(now, Result{Endpoint: "e0", Failed: true})
	require.True(t, ok)
	require.Equal(t, Ejected, c.State)
	require.Empty(t, d.Due(now.Add(2*baseEjection-1)))
	now = now.Add(2 * baseEjection)
	require.Len(t, d.Due(now), 1)
	for range probationPasses {
		c, ok = d.Record(now, Result{Endpoint: "e0"})
	}
	require.True(t, ok)
	require.Equal(t, Healthy, c.State)
}

// TestCircuit: everything fails; callers are refused at once but for a probe a
// second, and the first good answer lets them in again.
func TestCircuit(t *testing.T) {
	d, names := pool(9)
	for i := range 40 {
		require.False(t, i < brokenSamples-1 && d.Broken(start))
		d.Record(start, Result{Endpoint: names[i%9], Failed: true})
	}
	now := start.Add(time.Minute)
	require.False(t, d.Broken(now), "a probe")
	require.True(t, d.Broken(now))
	require.True(t, d.Broken(now.Add(probeEvery-1)))
	require.False(t, d.Broken(now.Add(probeEvery)), "the next probe")
	d.Record(now, Result{Endpoint: names[8]})
	require.False(t, d.Broken(now))
	require.False(t, d.Broken(now))
}
