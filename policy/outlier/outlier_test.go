package outlier

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_700_000_000, 0)

func newPool(n int) (*Detector, []string) {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint("e", i)
	}
	d := New()
	d.SetEndpoints(names)
	return d, names
}

// recordFailures records n failures of an endpoint and reports whether they ejected it.
func recordFailures(d *Detector, name string, n int) bool {
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
		pattern string // of answers: . for success, x for failure
		want    bool
	}{
		{"five in a row", "xxxxx", true},
		{"four in a row", "xxxx.....", false},
		{"half of many", "xx.xx.xx.xxx.xxx.xx.xx.xx.x", true},
		{"one in five", "....x....x....x....x....x", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d, _ := newPool(9)
			for _, r := range c.pattern {
				d.Record(start, Result{Endpoint: "e0", Failed: r == 'x'})
			}
			require.Equal(t, c.want, d.State("e0") == Ejected)
		})
	}
}

// TestMaxShare checks that at most a third of a pool is ejected when most endpoints fail,
// and that the only endpoint of a pool never is.
func TestMaxShare(t *testing.T) {
	for n, most := range map[int]int{1: 0, 2: 1, 3: 1, 9: 3, 12: 4} {
		d, names := newPool(n)
		out := 0
		for _, name := range names {
			if recordFailures(d, name, 50) {
				out++
			}
		}
		require.Equal(t, most, out, "%d endpoints", n)
	}
}

// TestProbation checks that an ejected endpoint returns on probation after its ejection,
// becomes healthy when it answers, and is ejected for twice as long when it fails again.
func TestProbation(t *testing.T) {
	d, _ := newPool(9)
	require.True(t, recordFailures(d, "e0", consecutiveErrors))
	require.Empty(t, d.StartProbations(start.Add(baseEjection-1)))
	now := start.Add(baseEjection)
	require.Equal(t, []Change{{"e0", Probation}}, d.StartProbations(now))
	c, ok := d.Record(now, Result{Endpoint: "e0", Failed: true})
	require.True(t, ok)
	require.Equal(t, Ejected, c.State)
	require.Empty(t, d.StartProbations(now.Add(2*baseEjection-1)))
	now = now.Add(2 * baseEjection)
	require.Len(t, d.StartProbations(now), 1)
	for range probationPasses {
		c, ok = d.Record(now, Result{Endpoint: "e0"})
	}
	require.True(t, ok)
	require.Equal(t, Healthy, c.State)
}

// TestCircuit checks that when everything fails, callers are refused at once apart from
// one probe per second, and that the first success closes the circuit.
func TestCircuit(t *testing.T) {
	d, names := newPool(9)
	for i := range 40 {
		require.False(t, i < brokenSamples-1 && d.CircuitOpen(start))
		d.Record(start, Result{Endpoint: names[i%9], Failed: true})
	}
	now := start.Add(time.Minute)
	require.False(t, d.CircuitOpen(now), "the first probe")
	require.True(t, d.CircuitOpen(now))
	require.True(t, d.CircuitOpen(now.Add(probeInterval-1)))
	require.False(t, d.CircuitOpen(now.Add(probeInterval)), "the next probe")
	d.Record(now, Result{Endpoint: names[8]})
	require.False(t, d.CircuitOpen(now))
	require.False(t, d.CircuitOpen(now))
}
