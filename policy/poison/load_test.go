package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// loadRules are the ways of judging simultaneous crashes that the load tests compare.
var loadRules = []struct {
	name string
	rules
}{
	{"clusters, explained", defaultRules},
	{"clusters", rules{simultaneous: defaultRules.simultaneous, sharedWeight: defaultRules.sharedWeight}},
	{"clusters over 2 s, explained", rules{simultaneous: 2 * time.Second, sharedWeight: defaultRules.sharedWeight, explain: true}},
	{"each crash counts in full", rules{sharedWeight: 1}},
}

func newWithRules(endpoints int, r rules) *Tracker {
	t := New(endpoints)
	t.rules = r
	return t
}

// storm is several requests that each crash whatever endpoint runs them, in turn.
type storm struct {
	contents, beside int
	gap              time.Duration // between two crashes
	elsewhere        time.Duration // between crashes without any of the contents; 0 for none
}

const stormPool = 16

// contactTime is the time after the third crash from which further ones count.
const contactTime = 3 * time.Second

// play plays 120 crashes. It returns the most that one content caused, in all and later than
// contactTime after its third, the contents that were never quarantined, and the harmless requests
// that were.
func (s storm) play(tracker *Tracker, seed uint64) (most, later, never, falsely int) {
	rng := rand.New(rand.NewPCG(seed, 2))
	crashes := make([][]time.Time, s.contents)
	next, now := Fingerprint(1000), start
	nextElsewhere := now.Add(s.elsewhere)
	var harmless, retried []Fingerprint
	beside := func() (out []Fingerprint) {
		// Half of the harmless requests of the last crash were sent to an endpoint that crashes next.
		for _, f := range retried {
			if rng.IntN(2) == 0 {
				out = append(out, f)
			}
		}
		fresh := newFingerprints(&next, s.beside)
		harmless = append(harmless, fresh...)
		retried = fresh
		return append(out, fresh...)
	}
	for i := range 120 {
		at := start.Add(time.Duration(i+1) * s.gap)
		for s.elsewhere > 0 && nextElsewhere.Before(at) {
			tracker.RecordCrash(nextElsewhere, fmt.Sprint("other", nextElsewhere.UnixMilli()), beside(), 0)
			nextElsewhere = nextElsewhere.Add(s.elsewhere)
		}
		now = at
		content := Fingerprint(i % s.contents)
		if tracker.IsQuarantined(now, content) {
			continue
		}
		crashes[content] = append(crashes[content], now)
		tracker.RecordCrash(now, fmt.Sprint("e", i), append(beside(), content), 0)
	}
	now = now.Add(time.Second)
	for content, list := range crashes {
		most = max(most, len(list))
		n := 0
		for _, at := range list {
			if at.Sub(list[min(2, len(list)-1)]) > contactTime {
				n++
			}
		}
		later = max(later, n)
		if !tracker.IsQuarantined(now, Fingerprint(content)) {
			never++
		}
	}
	for _, f := range harmless {
		if tracker.IsQuarantined(now, f) {
			falsely++
		}
	}
	return most, later, never, falsely
}

// losses is the loss of several data centres one after the other, each with all its endpoints.
// Requests that ran there are sent to the data centre that is lost next.
type losses struct {
	dataCentres, endpoints, each int
	spacing                      time.Duration // between the crashes of one data centre
	gap                          time.Duration // between two losses
}

// play returns the number of harmless requests and of those that were quarantined at any moment.
func (l losses) play(tracker *Tracker, seed uint64) (requests, falsely int) {
	rng := rand.New(rand.NewPCG(seed, 3))
	next, now := Fingerprint(1000), start
	found := make(map[Fingerprint]bool)
	var moved []Fingerprint
	var all []Fingerprint
	check := func() {
		for _, f := range all {
			if tracker.IsQuarantined(now, f) {
				found[f] = true
			}
		}
	}
	for dc := range l.dataCentres {
		running := make([][]Fingerprint, l.endpoints)
		for _, f := range moved {
			e := rng.IntN(l.endpoints)
			running[e] = append(running[e], f)
		}
		for e := range running {
			fresh := newFingerprints(&next, l.each)
			all = append(all, fresh...)
			running[e] = append(running[e], fresh...)
		}
		moved = nil
		for e, list := range running {
			tracker.RecordCrash(now, fmt.Sprintf("%d-%d", dc, e), list, 0)
			check()
			moved = append(moved, list...)
			now = now.Add(l.spacing)
		}
		for range 10 {
			now = now.Add(l.gap / 10)
			check()
		}
	}
	return len(all), len(found)
}

// Guards against requests that crash endpoints at the same time as others, or as endpoints that crash by themselves, and are therefore not held back.
func TestStormsUnderLoad(t *testing.T) {
	const allowed = 3
	for _, contents := range []int{1, 2, 4, 8} {
		for _, beside := range []int{0, 7} {
			for _, elsewhere := range []time.Duration{0, 410 * time.Millisecond} {
				for _, gap := range []time.Duration{60 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond} {
					s := storm{contents: contents, beside: beside, gap: gap, elsewhere: elsewhere}
					for _, way := range loadRules {
						most, later, never, falsely := s.play(newWithRules(stormPool, way.rules), 5)
						t.Logf("%+v %s: most crashes %d, %d of them late, never quarantined %d, harmless quarantined %d", s, way.name, most, later, never, falsely)
						if way.rules == defaultRules {
							require.LessOrEqual(t, later, allowed, "%+v", s)
							require.Zero(t, never, "%+v", s)
							require.Zero(t, falsely, "%+v", s)
						}
					}
				}
			}
		}
	}
}

// Guards against the quarantine of harmless requests that meet the losses of three or four data centres.
func TestLossesBlameNoRequest(t *testing.T) {
	for _, c := range []struct{ dataCentres, endpoints int }{{3, 2}, {3, 3}, {3, 5}, {3, 20}, {4, 2}, {4, 10}} {
		for _, each := range []int{1, 2, 8} {
			for _, spacing := range []time.Duration{0, 20 * time.Millisecond, 80 * time.Millisecond} {
				for _, gap := range []time.Duration{200 * time.Millisecond, 3 * time.Second} {
					l := losses{dataCentres: c.dataCentres, endpoints: c.endpoints, each: each, spacing: spacing, gap: gap}
					for _, way := range loadRules {
						requests, falsely := l.play(newWithRules(c.dataCentres*c.endpoints, way.rules), 5)
						t.Logf("%+v %s: %d of %d quarantined", l, way.name, falsely, requests)
						if way.rules == defaultRules {
							require.Zero(t, falsely, "%+v", l)
						}
					}
				}
			}
		}
	}
}
