package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const culprit Fingerprint = 1

var start = time.Unix(1_700_000_000, 0)

// newFingerprints returns n fingerprints that were not used before.
func newFingerprints(next *Fingerprint, n int) []Fingerprint {
	out := make([]Fingerprint, n)
	for i := range out {
		*next++
		out[i] = *next
	}
	return out
}

// TestFindsCulprit checks that a request which crashes each endpoint that runs it is
// refused after a few crashes, and that the requests which run beside it never are, since
// they complete elsewhere.
func TestFindsCulprit(t *testing.T) {
	cases := []struct{ endpoints, beside, most int }{
		{3, 0, 2}, {3, 3, 2}, {7, 7, 2}, {9, 0, 3}, {9, 7, 3}, {12, 15, 3}, {12, 40, 4},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d endpoints, %d beside", c.endpoints, c.beside), func(t *testing.T) {
			tracker, next, now := New(c.endpoints), culprit, start
			crashes := 0
			for ; !tracker.IsQuarantined(now, culprit); crashes++ {
				others := newFingerprints(&next, c.beside)
				tracker.RecordCrash(now, fmt.Sprint("e", crashes), append(others, culprit), 0)
				now = now.Add(300 * time.Millisecond)
				for _, f := range others {
					require.False(t, tracker.IsQuarantined(now, f))
					tracker.RecordSuccess(f)
				}
			}
			require.LessOrEqual(t, crashes, c.most)
			require.False(t, tracker.IsQuarantined(now.Add(crashLifetime+1), culprit), "a repaired engine gets the request again")
		})
	}
}

// TestPoolFailureBlamesNoRequest covers a data centre that loses its power, so that all
// endpoints go down within a second. Requests that ran there are retried up to three
// times and are in flight at further crashes; none of them may be quarantined.
func TestPoolFailureBlamesNoRequest(t *testing.T) {
	for _, each := range []int{1, 2, 8} {
		tracker, next := New(12), Fingerprint(100)
		rng := rand.New(rand.NewPCG(3, 0))
		attempts := map[Fingerprint]int{}
		var all []Fingerprint
		for i := range 12 {
			now := start.Add(time.Duration(i) * 50 * time.Millisecond)
			running := newFingerprints(&next, each)
			for _, f := range all {
				if attempts[f] < 3 && rng.IntN(4) == 0 {
					running = append(running, f)
				}
			}
			for _, f := range running {
				attempts[f]++
			}
			tracker.RecordCrash(now, fmt.Sprint("e", i), running, 0)
			all = append(all, running[:each]...)
		}
		for _, f := range all {
			require.False(t, tracker.IsQuarantined(start.Add(time.Second), f), "%d on each", each)
		}
	}
}

// TestFaultyEndpointBlamesNoRequest checks that an endpoint which crashes repeatedly for
// its own reasons puts no request into quarantine.
func TestFaultyEndpointBlamesNoRequest(t *testing.T) {
	tracker := New(9)
	for i := range 20 {
		now := start.Add(time.Duration(i) * 10 * time.Second)
		tracker.RecordCrash(now, "e0", []Fingerprint{culprit}, 0)
		require.False(t, tracker.IsQuarantined(now, culprit))
		require.True(t, tracker.IsSuspect(now, culprit))
	}
	tracker.Release(culprit)
	require.False(t, tracker.IsSuspect(start, culprit))
}

// TestMerge checks that VMs which exchange crashes in any order and repeatedly reach the
// same evidence.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := []*Tracker{New(9), New(9), New(9)}
		for i := range rapid.IntRange(1, 12).Draw(t, "crashes") {
			vm := vms[rapid.IntRange(0, 2).Draw(t, "vm")]
			running := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Fingerprint {
				return Fingerprint(rapid.IntRange(1, 5).Draw(t, "f"))
			}), 1, 4).Draw(t, "running")
			vm.RecordCrash(start.Add(time.Duration(i)*time.Second), fmt.Sprint("e", i%4), running, 0)
			if rapid.Bool().Draw(t, "survives") {
				vm.RecordSuccess(running[0])
			}
		}
		now := start.Add(time.Minute)
		reports := [][]Crash{vms[0].Crashes(now), vms[1].Crashes(now), vms[2].Crashes(now)}
		orders := [][]int{{0, 1, 2}, {2, 1, 0, 2, 1}, {1, 0, 2, 0, 0}}
		for i, vm := range vms {
			for _, j := range orders[i] {
				vm.Merge(now, reports[j])
			}
		}
		require.Equal(t, vms[0].Crashes(now), vms[1].Crashes(now))
		require.Equal(t, vms[0].Crashes(now), vms[2].Crashes(now))
	})
}

func TestFingerprint(t *testing.T) {
	require.Equal(t, NewFingerprint("a", "m", []byte("x")), NewFingerprint("a", "m", []byte("x")))
	require.NotEqual(t, NewFingerprint("a", "m", []byte("x")), NewFingerprint("b", "m", []byte("x")))
	require.NotEqual(t, NewFingerprint("ab", "m", nil), NewFingerprint("a", "bm", nil))
}

// Guards against a request that is forgotten with its first crash while a later crash of the same endpoint still has it.
func TestEvidenceStaysConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, now := New(9), start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "seconds")) * time.Second)
			f := Fingerprint(rapid.IntRange(1, 4).Draw(t, "request"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1, 2:
				tracker.RecordCrash(now, fmt.Sprint("e", rapid.IntRange(0, 2).Draw(t, "endpoint")), []Fingerprint{f, f + 1}, 0)
			case 3:
				tracker.RecordSuccess(f)
			case 4:
				tracker.Release(f)
			}
			tracker.Quarantined(now)
			for _, c := range tracker.Crashes(now) {
				for _, r := range c.Requests {
					require.Positive(t, r.Endpoints)
				}
			}
		}
	})
}
