package trial

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// fleetUnderLoad plays an accepted version whose endpoints get requests within the bound on their load.
type fleetUnderLoad struct {
	vms       []*Trial
	endpoints int
	bears     int // requests at an endpoint from which the version fails two fifths
	rng       *rand.Rand
	bad       int // failed answers
	refused   int
}

func newFleetUnderLoad(seed uint64, usual, bears int) *fleetUnderLoad {
	f := &fleetUnderLoad{endpoints: 9, bears: bears, rng: rand.New(rand.NewPCG(seed, 70))}
	for range 7 {
		f.vms = append(f.vms, New(0, 0, 24*time.Second, 5*time.Second, 0.15, 30))
	}
	for range 300 {
		f.vms[f.rng.IntN(7)].CountLoad(false, 1+f.rng.IntN(usual), false)
	}
	return f
}

// second plays a second in which callers have so many requests in progress at once. Each VM knows the answers of
// the others at its end.
func (f *fleetUnderLoad) second(now time.Duration, requests int) {
	for i, a := range f.vms {
		for j, b := range f.vms {
			if i != j {
				a.SetPeerCounts(now, fmt.Sprint(j), now, b.LocalCounts())
			}
		}
	}
	bound, ok := f.vms[0].LoadBound(now)
	if !ok {
		bound = LoadBound{Others: requests, First: requests}
	}
	others := min(requests/f.endpoints, bound.Others)
	first := min(requests-others*(f.endpoints-1), bound.First)
	f.refused += requests - others*(f.endpoints-1) - first
	for e := range f.endpoints {
		load := others
		if e == 0 {
			load = first
		}
		for range load / 2 { // answers take two seconds
			failed := load >= f.bears && f.rng.Float64() < 0.4
			f.vms[f.rng.IntN(7)].CountLoad(true, load, failed)
			if failed {
				f.bad++
			}
		}
	}
}

// Guards against a version that fails under load and gives callers of a rush hundreds of bad answers after its acceptance, when there is no way back.
func TestVersionIsLoadedOnlyAsFarAsItBears(t *testing.T) {
	for seed := range uint64(40) {
		f := newFleetUnderLoad(seed, 12, 32)
		for s := range 30 {
			f.second(time.Duration(24+s)*time.Second, 45*(1+s/10*2))
		}
		require.Less(t, f.bad, 50, "seed %d", seed)
	}
}

// Guards against callers of a good version who are refused for long since nobody has seen it under load.
func TestLoadBoundOfAGoodVersionRises(t *testing.T) {
	f := newFleetUnderLoad(1, 12, 1000)
	for s := range 10 {
		f.second(time.Duration(24+s)*time.Second, 45)
	}
	require.Zero(t, f.refused, "the usual load is within the bound")
	refused := 0
	for s := range 10 {
		before := f.refused
		f.second(time.Duration(34+s)*time.Second, 45*5/2)
		if f.refused > before {
			refused = s + 1
		}
	}
	require.LessOrEqual(t, refused, 3, "seconds until two and a half times the usual load is served")
}

// Guards against a version that serves less than it bears for good, since its load failed once at the price of few bad answers.
func TestLoadThatFailedIsTriedAgain(t *testing.T) {
	f := newFleetUnderLoad(1, 12, 20)
	for s := range 10 {
		f.second(time.Duration(24+s)*time.Second, 200)
	}
	tr := f.vms[0]
	b, ok := tr.LoadBound(34 * time.Second)
	require.True(t, ok)
	require.Equal(t, b.Others, b.First, "no endpoint is loaded further")
	require.LessOrEqual(t, b.Others, 19)
	_, _ = tr.LoadBound(34*time.Second + retryTime)
	b, _ = tr.LoadBound(35*time.Second + retryTime)
	require.Greater(t, b.First, b.Others)
}

// Guards against a load that is tried again until a version has given more bad answers than operators allow.
func TestLoadThatFailedDearlyIsNotTriedAgain(t *testing.T) {
	f := newFleetUnderLoad(1, 12, 16)
	for s := range 600 {
		f.second(time.Duration(24+s)*time.Second, 200)
	}
	require.Less(t, f.bad, allowedBad)
	b, ok := f.vms[0].LoadBound(625 * time.Second)
	require.True(t, ok)
	require.Equal(t, b.Others, b.First)
	require.LessOrEqual(t, b.Others, 17)
}

// Guards against the bound on a version's load that all VMs lose when they start again.
func TestLoadBoundOutlivesAllVMs(t *testing.T) {
	f := newFleetUnderLoad(1, 12, 1000)
	for s := range 5 {
		f.second(time.Duration(24+s)*time.Second, 45)
	}
	before, ok := f.vms[0].LoadBound(29 * time.Second)
	require.True(t, ok)
	tr := New(30*time.Second, 0, 24*time.Second, 5*time.Second, 0.15, 30)
	tr.JoinLate()
	tr.SetRecord(f.vms[0].Standing())
	after, ok := tr.LoadBound(31 * time.Second)
	require.True(t, ok)
	require.Equal(t, before.Others, after.Others)
}

// Guards against a bound by what isn't known: all VMs have restarted, or endpoints state no load.
func TestUnknownUsualLoadGivesNoBound(t *testing.T) {
	tr := New(0, 0, 24*time.Second, 5*time.Second, 0.15, 30)
	for range 100 {
		tr.CountLoad(true, 2, false)
	}
	_, ok := tr.LoadBound(25 * time.Second)
	require.False(t, ok)
}

// Guards against counts by load that leave no room for others in a datagram.
func TestLoadCountsAreBounded(t *testing.T) {
	tr := New(0, 0, 24*time.Second, 5*time.Second, 0.15, 30)
	for load := range 64 {
		for range 300 {
			tr.CountLoad(load%2 == 0, load, load%3 == 0)
		}
	}
	b, err := cbor.Marshal(tr.LocalCounts())
	require.NoError(t, err)
	require.Less(t, len(b), 450)
}

// Guards against loads that are counted above what they are, by which an endpoint would get more than was seen.
func TestLoadLevels(t *testing.T) {
	for requests := 1; requests < 2000; requests++ {
		level := loadLevel(requests)
		require.LessOrEqual(t, loadOf(level), requests)
		require.Greater(t, loadOf(level+1), requests)
		require.Less(t, level, uint8(100))
	}
}
