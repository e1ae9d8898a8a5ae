package silence

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// ask puts a question that isn't answered, and says when it was given up.
func miss(d *Detector, ms int) Verdict {
	return d.Asked(at(ms), at(ms).Add(AnswerWithin), "a", false, false)
}

func TestLostAfterTwoQuestions(t *testing.T) {
	d := New()
	d.Sent(at(0), "a")
	require.Empty(t, d.Due(at(299)))
	require.Equal(t, []string{"a"}, d.Due(at(300)))
	require.Empty(t, d.Due(at(310)), "a question is out")
	require.Equal(t, Unsure, miss(d, 300))
	require.Equal(t, Lost, miss(d, 500))
	require.Empty(t, d.Due(at(900)))
	require.Equal(t, []string{"a"}, d.Due(at(1000)))
	require.Equal(t, StillLost, miss(d, 1000))
	d.Ended("a")
	require.Equal(t, []string{"a"}, d.Due(at(1600)), "nobody waits, but it must be seen to come back")
	require.Equal(t, Back, d.Asked(at(1600), at(1601), "a", true, false))
	require.Empty(t, d.endpoints)
}

func TestSignsOfLife(t *testing.T) {
	for name, c := range map[string]struct {
		during func(d *Detector)
		answer bool
		late   bool
		want   Verdict
	}{
		"takes the connection":     {answer: true, want: Alive},
		"an event comes meanwhile": {during: func(d *Detector) { d.Heard(at(350), "a") }, want: Alive},
		"the request is answered":  {during: func(d *Detector) { d.Ended("a") }, want: Alive},
		"another life's address":   {during: func(d *Detector) { d.Forget("a"); d.Ended("a") }, want: Alive},
		"this VM was held up":      {late: true, want: Unsure},
	} {
		d := New()
		d.Sent(at(0), "a")
		require.Len(t, d.Due(at(300)), 1, name)
		if c.during != nil {
			c.during(d)
		}
		require.Equal(t, c.want, d.Asked(at(300), at(500), "a", c.answer, c.late), name)
	}
}

// A VM that is paused finds each question unanswered in time. However often, that isn't held
// against the endpoint.
func TestHeldUpVMLosesNobody(t *testing.T) {
	d := New()
	d.Sent(at(0), "a")
	require.Len(t, d.Due(at(300)), 1)
	for range 10 {
		require.Equal(t, Unsure, d.Asked(at(300), at(2000), "a", false, true))
	}
	require.Equal(t, Alive, d.Asked(at(2000), at(2001), "a", true, false))
}

// fleet is what a play sends requests to.
type fleet struct {
	rng       *rand.Rand
	detector  *Detector
	diesAt    int     // ms at which the first third of the endpoints falls silent
	lossShare float64 // of first packets
	waits     []int   // of requests that were at a silent endpoint, in ms
	lost      int     // endpoints that were given up
	questions int
}

type waiting struct {
	address string
	since   int
	until   int // when its answer begins
}

const playEndpoints = 12

var addresses = func() (out [playEndpoints]string) {
	for i := range out {
		out[i] = string(rune('a' + i))
	}
	return out
}()

func (f *fleet) silent(address string, now int) bool {
	return now >= f.diesAt && address < addresses[playEndpoints/3]
}

// play sends a request each 20 ms to an endpoint at random. Answers begin after 20 to 2,000
// ms; one request waits at a time at each connection, and a question takes 200 ms where
// nothing answers. Requests that are freed from a lost endpoint go to one that isn't.
func (f *fleet) play(until int) {
	var open []waiting
	gone := make(map[string]bool)
	asked := make(map[string]int) // when a question without an answer was put
	for now := 0; now < until; now++ {
		if now%20 == 0 {
			if a := addresses[f.rng.IntN(playEndpoints)]; !gone[a] {
				f.detector.Sent(at(now), a)
				open = append(open, waiting{a, now, now + 20 + f.rng.IntN(1980)})
			}
		}
		kept := open[:0]
		for _, w := range open {
			switch {
			case f.silent(w.address, now) && gone[w.address]:
				f.detector.Ended(w.address)
				f.waits = append(f.waits, now-max(w.since, f.diesAt))
			case !f.silent(w.address, now) && now >= w.until:
				f.detector.Heard(at(now), w.address)
				f.detector.Ended(w.address)
			default:
				kept = append(kept, w)
			}
		}
		open = kept
		for _, a := range f.detector.Due(at(now)) {
			asked[a] = now
			f.questions++
		}
		for a, began := range asked {
			answered := !f.silent(a, now) && f.rng.Float64() >= f.lossShare
			if !answered && now-began < int(AnswerWithin.Milliseconds()) {
				if f.silent(a, now) {
					continue
				}
			}
			delete(asked, a)
			switch f.detector.Asked(at(began), at(now), a, answered, false) {
			case Unsure:
				asked[a] = now
			case Lost:
				gone[a] = true
				f.lost++
			case Alive, StillLost, Back:
			}
		}
	}
}

// Guards against requests that wait seconds at endpoints without power, and against busy ones given up.
func TestDataCentreWithoutPower(t *testing.T) {
	f := &fleet{rng: rand.New(rand.NewPCG(1, 2)), detector: New(), diesAt: 5000}
	f.play(8000)
	require.Equal(t, playEndpoints/3, f.lost)
	require.NotEmpty(t, f.waits)
	for _, w := range f.waits {
		require.LessOrEqual(t, w, 800)
	}
}

// A network loses three first packets in a hundred for a minute, while endpoints are busy
// enough for hundreds of questions. A single lost packet costs nobody a request; two in a
// row may, which happens to one question in a thousand.
func TestLossyNetwork(t *testing.T) {
	f := &fleet{rng: rand.New(rand.NewPCG(3, 4)), detector: New(), diesAt: 1 << 30, lossShare: 0.03}
	f.play(60_000)
	require.Greater(t, f.questions, 300)
	require.LessOrEqual(t, f.lost, 1)
}
