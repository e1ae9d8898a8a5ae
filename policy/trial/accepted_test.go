package trial

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// acceptedPlay plays an accepted version on several VMs that exchange their counts every 400 ms.
type acceptedPlay struct {
	vms, endpoints int
	perS           float64
	until          time.Duration // from the completion on
	// fails returns how an answer fails. The time counts from the completion.
	fails func(at time.Duration, endpoint int, r *rand.Rand) failure
	// restartAt is when all VMs start again and know what the platform keeps; 0 for never.
	restartAt time.Duration
	seed      uint64
}

// failure is how an answer fails.
type failure int

const (
	sound     failure = iota
	erred             // as any version's answers do at times
	broke             // by its connection
	badAnswer         // by the version's fault
)

// acceptedOutcome is what callers and operators saw.
type acceptedOutcome struct {
	sent, refused, bad int
	// cases are the requests later than operators allow after the fiftieth bad answer.
	cases   int
	stopped bool
}

const playRollBack = 5 * time.Second

func (p acceptedPlay) run() (o acceptedOutcome) {
	const completed, step, exchange, tick = 24 * time.Second, 10 * time.Millisecond, 400 * time.Millisecond, 250 * time.Millisecond
	r := rand.New(rand.NewPCG(p.seed, 73))
	vms := make([]*Trial, p.vms)
	for v := range vms {
		vms[v] = New(0, 0, completed, 5*time.Second, 0.15, 30)
		for range 300 / p.vms {
			vms[v].CountAnswer(10*time.Second, Origin{}, Result{Failed: r.Float64() < 0.02})
		}
	}
	var record Standing
	var fiftieth time.Duration
	for at := time.Duration(0); at < p.until; at += step {
		now := completed + at
		if p.restartAt > 0 && at == p.restartAt {
			for v := range vms {
				vms[v] = New(now, 0, completed, 5*time.Second, 0.15, 30)
				vms[v].JoinLate()
				vms[v].SetRecord(record)
			}
		}
		if at%exchange == 0 {
			for v, t := range vms {
				for u, other := range vms {
					if u != v {
						t.SetPeerCounts(now, fmt.Sprint(u, at >= p.restartAt), other.Age(now), other.LocalCounts())
					}
				}
			}
		}
		if at%tick == 0 {
			for _, t := range vms {
				t.Watch(now, Accepted{Completed: true, Endpoints: p.endpoints, RollBack: playRollBack})
			}
			record = vms[0].Standing()
		}
		for due := p.perS * step.Seconds(); r.Float64() < due; due-- {
			v := r.IntN(p.vms)
			if vms[v].Stopped() {
				o.refused++
				continue
			}
			o.sent++
			if fiftieth > 0 && at > fiftieth+playRollBack {
				o.cases++
			}
			e := r.IntN(p.endpoints)
			f := p.fails(at, e, r)
			if f == badAnswer {
				if o.bad++; o.bad == allowedBad {
					fiftieth = at
				}
			}
			vms[v].CountAnswer(now, Origin{New: true, Moving: true, Endpoint: fmt.Sprint("endpoint", e)}, Result{Failed: f != sound, Broke: f == broke})
		}
	}
	o.stopped = vms[0].Stopped()
	return o
}

// failShare fails a share of the answers in a way.
func failShare(share float64, f failure, r *rand.Rand) failure {
	if r.Float64() < share {
		return f
	}
	return sound
}

// turnsBad fails a share of the answers from a time on.
func turnsBad(from time.Duration, share float64) func(time.Duration, int, *rand.Rand) failure {
	return func(at time.Duration, _ int, r *rand.Rand) failure {
		if at >= from && r.Float64() < share {
			return badAnswer
		}
		return failShare(0.02, erred, r)
	}
}

// playSeeds returns the seeds of GOLDCREST_VERSION_SEEDS, as "1-50", or the default ones.
func playSeeds(t *testing.T) (seeds []uint64) {
	from, to, ok := strings.Cut(os.Getenv("GOLDCREST_VERSION_SEEDS"), "-")
	if !ok {
		return []uint64{1, 2, 3}
	}
	first, err := strconv.ParseUint(from, 10, 64)
	require.NoError(t, err)
	last, err := strconv.ParseUint(to, 10, 64)
	require.NoError(t, err)
	for seed := first; seed <= last; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

// Guards against a version that turns bad after its roll-out, when there is no way back, and gets all requests for good.
func TestAcceptedVersionThatTurnsBadIsStopped(t *testing.T) {
	for _, size := range []struct {
		endpoints int
		perS      float64
	}{{3, 6}, {9, 33}, {60, 300}} {
		for _, share := range []float64{0.3, 0.4, 0.6, 1} {
			t.Run(fmt.Sprintf("%d endpoints/share %.1f", size.endpoints, share), func(t *testing.T) {
				for _, seed := range playSeeds(t) {
					o := acceptedPlay{vms: 7, endpoints: size.endpoints, perS: size.perS, until: 90 * time.Second, fails: turnsBad(20*time.Second, share), seed: seed}.run()
					t.Logf("seed %d: %+v", seed, o)
					require.Zero(t, o.cases, "seed %d", seed)
					require.True(t, o.stopped, "seed %d", seed)
				}
			})
		}
	}
}

// Guards against bad answers that are forgotten when all VMs start again.
func TestStoppedVersionStaysStoppedWhenAllVMsRestart(t *testing.T) {
	for _, restartAt := range []time.Duration{22 * time.Second, 24 * time.Second, 30 * time.Second} {
		for _, seed := range playSeeds(t) {
			o := acceptedPlay{vms: 7, endpoints: 9, perS: 33, until: 60 * time.Second, fails: turnsBad(20*time.Second, 0.4), restartAt: restartAt, seed: seed}.run()
			t.Logf("restart at %v, seed %d: %+v", restartAt, seed, o)
			require.Zero(t, o.cases)
			require.True(t, o.stopped)
		}
	}
}

// Guards against a good version that is stopped for faults of its endpoints or of machines.
func TestGoodVersionIsNotStopped(t *testing.T) {
	during := func(at time.Duration) bool { return at > 10*time.Second && at < 40*time.Second }
	for name, fails := range map[string]func(time.Duration, int, *rand.Rand) failure{
		"a third of the endpoints fails two fifths": func(at time.Duration, e int, r *rand.Rand) failure {
			if during(at) && e%3 == 0 {
				return failShare(0.4, erred, r)
			}
			return sound
		},
		"half of the endpoints fails two fifths": func(at time.Duration, e int, r *rand.Rand) failure {
			if during(at) && e%2 == 1 {
				return failShare(0.4, erred, r)
			}
			return sound
		},
		"connections to all endpoints break": func(at time.Duration, _ int, r *rand.Rand) failure {
			if during(at) {
				return failShare(0.8, broke, r)
			}
			return sound
		},
		"some answers fail everywhere": func(_ time.Duration, _ int, r *rand.Rand) failure { return failShare(0.08, erred, r) },
	} {
		t.Run(name, func(t *testing.T) {
			for _, endpoints := range []int{3, 9, 60} {
				for _, seed := range playSeeds(t) {
					o := acceptedPlay{vms: 7, endpoints: endpoints, perS: 33, until: 60 * time.Second, fails: fails, seed: seed}.run()
					require.Zero(t, o.refused, "%d endpoints, seed %d: %+v", endpoints, seed, o)
				}
			}
		})
	}
}

// Guards against a good version that is stopped for a fault of all its endpoints that ends in time.
func TestFaultOfAllEndpointsThatEndsStopsNoVersion(t *testing.T) {
	for _, seed := range playSeeds(t) {
		o := acceptedPlay{vms: 7, endpoints: 9, perS: 33, until: 60 * time.Second, seed: seed,
			fails: func(at time.Duration, _ int, r *rand.Rand) failure {
				if at > 10*time.Second && at < 14*time.Second {
					return failShare(0.4, erred, r)
				}
				return sound
			}}.run()
		require.Zero(t, o.refused, "seed %d: %+v", seed, o)
	}
}

// Guards against counts of an accepted version that leave no room for others in a datagram.
func TestCountsOfAnAcceptedVersionAreBounded(t *testing.T) {
	tr := New(0, 0, 24*time.Second, 5*time.Second, 0.15, 30)
	for i := range 20000 {
		o := Origin{New: i%2 == 0, Class: Class(i), Endpoint: fmt.Sprint(i % 50)}
		tr.CountAnswer(10*time.Second, o, Result{Failed: i%5 == 0})
		o.New, o.Moving = true, true
		tr.CountAnswer(25*time.Second, o, Result{Failed: i%5 == 0})
		tr.CountLoad(i%2 == 0, i%64, i%3 == 0)
	}
	b, err := cbor.Marshal(tr.LocalCounts())
	require.NoError(t, err)
	require.Less(t, len(b), 560)
}
