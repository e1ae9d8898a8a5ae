package silence

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// failProbe reports a probe that timed out.
func failProbe(d *Detector, ms int) Verdict {
	return d.ProbeDone(at(ms), at(ms).Add(ProbeTimeout), "a", false, false)
}

func TestLostAfterTwoProbes(t *testing.T) {
	d := New()
	d.RequestSent(at(0), "a")
	require.Empty(t, d.DueProbes(at(299)))
	require.Equal(t, []string{"a"}, d.DueProbes(at(300)))
	require.Empty(t, d.DueProbes(at(310)), "a probe is under way")
	require.Equal(t, Unsure, failProbe(d, 300))
	require.Equal(t, Lost, failProbe(d, 500))
	require.Empty(t, d.DueProbes(at(900)))
	require.Equal(t, []string{"a"}, d.DueProbes(at(1000)))
	require.Equal(t, StillLost, failProbe(d, 1000))
	d.RequestEnded("a")
	require.Equal(t, []string{"a"}, d.DueProbes(at(1600)), "no request waits, but recovery must be detected")
	require.Equal(t, Back, d.ProbeDone(at(1600), at(1601), "a", true, false))
	require.Empty(t, d.endpoints)
}

func TestSignsOfLife(t *testing.T) {
	for name, c := range map[string]struct {
		during func(d *Detector)
		answer bool
		late   bool
		want   Verdict
	}{
		"takes the connection":           {answer: true, want: Alive},
		"an event comes meanwhile":       {during: func(d *Detector) { d.Received(at(350), "a") }, want: Alive},
		"the request is answered":        {during: func(d *Detector) { d.RequestEnded("a") }, want: Alive},
		"address of another incarnation": {during: func(d *Detector) { d.Forget("a"); d.RequestEnded("a") }, want: Alive},
		"this VM was delayed":            {late: true, want: Unsure},
	} {
		d := New()
		d.RequestSent(at(0), "a")
		require.Len(t, d.DueProbes(at(300)), 1, name)
		if c.during != nil {
			c.during(d)
		}
		require.Equal(t, c.want, d.ProbeDone(at(300), at(500), "a", c.answer, c.late), name)
	}
}

// Guards against a paused VM declaring endpoints lost: the VM finds each probe timed out, which
// must not count against the endpoint.
func TestDelayedVMDeclaresNoneLost(t *testing.T) {
	d := New()
	d.RequestSent(at(0), "a")
	require.Len(t, d.DueProbes(at(300)), 1)
	for range 10 {
		require.Equal(t, Unsure, d.ProbeDone(at(300), at(2000), "a", false, true))
	}
	require.Equal(t, Alive, d.ProbeDone(at(2000), at(2001), "a", true, false))
}

// simulation is a fleet of endpoints and the requests sent to them.
type simulation struct {
	rng        *rand.Rand
	detector   *Detector
	silentFrom int     // ms at which the first third of the endpoints stops responding
	lossShare  float64 // share of first packets that are lost
	waits      []int   // waiting times of requests at a silent endpoint, in ms
	lost       int     // endpoints declared lost
	lostAfter  int     // ms after the start of the silence at which the last of them was
	silentTo   int     // ms at which the silence ends; 0 for never
	probes     int
}

type pendingRequest struct {
	address string
	since   int
	until   int // when its answer starts
}

const fleetSize = 12

var addresses = func() (out [fleetSize]string) {
	for i := range out {
		out[i] = string(rune('a' + i))
	}
	return out
}()

func (f *simulation) silent(address string, now int) bool {
	return now >= f.silentFrom && (f.silentTo == 0 || now < f.silentTo) && address < addresses[fleetSize/3]
}

// run sends a request to a random endpoint each 20 ms. Answers start after 20 to 2,000 ms; each
// connection has one waiting request, and a probe without an answer takes 200 ms. Requests at
// an endpoint from which they move end there.
func (f *simulation) run(until int) {
	var open []pendingRequest
	gone, avoided := make(map[string]bool), make(map[string]bool)
	probeStarts := make(map[string]int) // start times of unanswered probes
	for now := 0; now < until; now++ {
		if now%20 == 0 {
			if a := addresses[f.rng.IntN(fleetSize)]; !avoided[a] {
				f.detector.RequestSent(at(now), a)
				open = append(open, pendingRequest{a, now, now + 20 + f.rng.IntN(1980)})
			}
		}
		kept := open[:0]
		for _, w := range open {
			switch {
			case f.silent(w.address, now) && gone[w.address]:
				f.detector.RequestEnded(w.address)
				f.waits = append(f.waits, now-max(w.since, f.silentFrom))
			case !f.silent(w.address, now) && now >= w.until:
				f.detector.Received(at(now), w.address)
				f.detector.RequestEnded(w.address)
			default:
				kept = append(kept, w)
			}
		}
		open = kept
		for _, a := range f.detector.DueProbes(at(now)) {
			probeStarts[a] = now
			f.probes++
		}
		for a, began := range probeStarts {
			answered := !f.silent(a, now) && f.rng.Float64() >= f.lossShare
			if !answered && now-began < int(ProbeTimeout.Milliseconds()) {
				if f.silent(a, now) {
					continue
				}
			}
			delete(probeStarts, a)
			switch f.detector.ProbeDone(at(began), at(now), a, answered, false) {
			case Unsure:
				probeStarts[a] = now
			case Lost:
				f.lost++
				f.lostAfter = max(f.lostAfter, now-f.silentFrom)
				avoided[a] = true
			case Move:
				gone[a] = true
			case Back:
				avoided[a] = false
			case Alive, StillLost:
			}
		}
	}
}

// Guards against requests that wait seconds at endpoints without power or are sent there, and against
// busy endpoints declared lost.
func TestDataCentrePowerLoss(t *testing.T) {
	f := &simulation{rng: rand.New(rand.NewPCG(1, 2)), detector: New(), silentFrom: 5000}
	f.run(8000)
	require.Equal(t, fleetSize/3, f.lost)
	require.LessOrEqual(t, f.lostAfter, 800)
	require.NotEmpty(t, f.waits)
	for _, w := range f.waits {
		require.Less(t, w, 2000, "callers leave after two seconds without an event")
	}
}

// Guards against requests that move from a sound endpoint, which goes on with them after a second of silence.
func TestShortSilenceMovesNoRequest(t *testing.T) {
	for seed := range uint64(20) {
		f := &simulation{rng: rand.New(rand.NewPCG(seed, 2)), detector: New(), silentFrom: 5000, silentTo: 6200}
		f.run(9000)
		require.Empty(t, f.waits)
		require.Positive(t, f.lost, "it gets no further requests meanwhile")
	}
}

// The network loses 3% of first packets for a minute, with hundreds of probes to busy
// endpoints. A single lost packet must not affect a request; two in a row, one probe in a
// thousand, may.
func TestLossyNetwork(t *testing.T) {
	f := &simulation{rng: rand.New(rand.NewPCG(3, 4)), detector: New(), silentFrom: 1 << 30, lossShare: 0.03}
	f.run(60_000)
	require.Greater(t, f.probes, 300)
	require.LessOrEqual(t, f.lost, 1)
}

// Guards against answers that wait at lost endpoints for 1.5 s although this VM has lost its paths to all.
func TestMoveAllNamesLostEndpointsOnce(t *testing.T) {
	d := New()
	for _, a := range []string{"a", "b"} {
		d.RequestSent(at(0), a)
	}
	require.Len(t, d.DueProbes(at(300)), 2)
	require.Empty(t, d.MoveAll())
	require.Equal(t, Unsure, failProbe(d, 300))
	require.Equal(t, Lost, failProbe(d, 500))
	require.Equal(t, []string{"a"}, d.MoveAll())
	require.Empty(t, d.MoveAll())
	require.Equal(t, []string{"a"}, d.DueProbes(at(2000)))
	require.Equal(t, StillLost, failProbe(d, 2000), "they have moved")
}
