package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func takes(w *Window, now time.Duration, vms int) bool {
	_, ok := w.TakeExtra(now, vms)
	return ok
}

// TestWindowHoldsOverVMs checks that over any window, summed over seven VMs with
// different loads and no communication, the extra attempts stay within the ratio and the
// slack while every request fails and asks for two more attempts.
func TestWindowHoldsOverVMs(t *testing.T) {
	const vms, ratio, slack = 7, 0.9, 50.0
	length := 10 * time.Second
	var windows []*Window
	for range vms {
		windows = append(windows, NewWindow(length, ratio, slack))
	}
	type tick struct{ first, extra int }
	r := rand.New(rand.NewPCG(5, 5))
	var ticks []tick // of 50 ms
	for i := range 1200 {
		now := time.Duration(i) * 50 * time.Millisecond
		var k tick
		for v, w := range windows {
			load := (v + 1) * (1 + 3*(i/400%2))
			for range r.IntN(load + 1) {
				w.RecordFirst(now)
				k.first++
				for range 2 {
					if takes(w, now, vms) {
						k.extra++
					}
				}
			}
		}
		ticks = append(ticks, k)
	}
	n := int(length / (50 * time.Millisecond))
	for from := 0; from+n <= len(ticks); from++ {
		first, extra := 0, 0
		for _, k := range ticks[from : from+n] {
			first += k.first
			extra += k.extra
		}
		require.LessOrEqual(t, float64(extra), ratio*float64(first)+slack)
	}
}

// TestWindowSlack checks that a VM without first attempts may send a few requests again:
// its part of the slack.
func TestWindowSlack(t *testing.T) {
	w := NewWindow(10*time.Second, 0.5, 14)
	now := 100 * time.Second
	n := 0
	for takes(w, now, 7) {
		n++
	}
	require.Equal(t, 2, n)
	require.False(t, takes(w, now+5*time.Second, 7))
	require.True(t, takes(w, now+11*time.Second, 7))
}
