package rest

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// way is how VMs treat an endpoint that asks for rest.
type way int

const (
	byVM      way = iota // as in the package
	forAllVMs            // one VM's rest is every VM's
	ignored
)

var ways = map[way]string{byVM: "rest by VM", forAllVMs: "rest for all VMs", ignored: "ignored"}

const (
	loadVMs, loadEndpoints = 7, 9
	queueLimit             = 12 // requests at an endpoint beyond which it refuses
	restAsked              = 3 * time.Second
	maxTries               = 3
	tick                   = 5 * time.Millisecond
	roundTrip              = 5 * time.Millisecond
)

// loadEndpoint is an endpoint that works off its requests one after the other.
type loadEndpoint struct {
	queue     []time.Duration // work left of each request
	shedUntil time.Time       // refuses everything until then
}

// loadResult is what callers and endpoints got.
type loadResult struct {
	served, refused, turnedAway int
	atRest                      int // most requests of a VM during one rest
}

// loadPlay is one play of a way.
type loadPlay struct {
	way       way
	rng       *rand.Rand
	now       time.Time
	endpoints [loadEndpoints]loadEndpoint
	states    [loadVMs][loadEndpoints]State
	askedAt   [loadVMs][loadEndpoints]time.Time
	during    [loadVMs][loadEndpoints]int
	events    []loadEvent
	result    loadResult
}

type loadEvent struct {
	at time.Time
	do func()
}

func (p *loadPlay) after(d time.Duration, do func()) {
	p.events = append(p.events, loadEvent{p.now.Add(d), do})
}

// step lets a tick pass.
func (p *loadPlay) step() {
	p.now = p.now.Add(tick)
	due := p.events
	p.events = nil
	for _, e := range due {
		if e.at.After(p.now) {
			p.events = append(p.events, e)
		} else {
			e.do()
		}
	}
	for e := range p.endpoints {
		left := tick
		for q := &p.endpoints[e]; len(q.queue) > 0 && left > 0; {
			done := min(left, q.queue[0])
			q.queue[0], left = q.queue[0]-done, left-done
			if q.queue[0] == 0 {
				q.queue = q.queue[1:]
				p.result.served++
			}
		}
	}
}

// send sends a request from a VM to the endpoint with the shortest queue that the VM may send to.
func (p *loadPlay) send(vm int, work time.Duration, tried map[int]bool) {
	best := -1
	for _, e := range p.rng.Perm(loadEndpoints) {
		s := &p.states[vm][e]
		may := p.way == ignored || s.MaySend(p.now)
		if may && !tried[e] && (best < 0 || len(p.endpoints[e].queue) < len(p.endpoints[best].queue)) {
			best = e
		}
	}
	if best < 0 || len(tried) == maxTries {
		p.result.refused++
		return
	}
	tried[best] = true
	if asked := p.askedAt[vm][best]; !asked.IsZero() && p.now.Sub(asked) > 500*time.Millisecond && p.now.Sub(asked) < restAsked {
		p.during[vm][best]++
		p.result.atRest = max(p.result.atRest, p.during[vm][best])
	}
	p.after(roundTrip, func() {
		q := &p.endpoints[best]
		if sheds := p.now.After(start.Add(3*time.Second)) && p.now.Before(q.shedUntil); !sheds && len(q.queue) < queueLimit {
			q.queue = append(q.queue, work)
			return
		}
		p.refuse(vm, best)
		p.send(vm, work, tried)
	})
}

// refuse lets an endpoint refuse a request and ask for rest.
func (p *loadPlay) refuse(vm, e int) {
	p.result.turnedAway++
	if p.now.Sub(p.askedAt[vm][e]) >= restAsked {
		p.askedAt[vm][e], p.during[vm][e] = p.now, 0
	}
	for other := range loadVMs {
		if other == vm || p.way == forAllVMs {
			p.states[other][e].Ask(p.now, restAsked)
		}
	}
}

// play sends requests for 20 s. sick endpoints refuse everything from 3 to 9 s.
func play(w way, perSecond, sick int, work time.Duration, seed uint64) loadResult {
	p := &loadPlay{way: w, rng: rand.New(rand.NewPCG(seed, 1)), now: start}
	for e := range sick {
		p.endpoints[e].shedUntil = start.Add(9 * time.Second)
	}
	debt := 0.0
	for p.now.Before(start.Add(20 * time.Second)) {
		for debt += float64(perSecond) * tick.Seconds(); debt >= 1; debt-- {
			p.send(p.rng.IntN(loadVMs), time.Duration(float64(work)*(0.5+p.rng.Float64())), make(map[int]bool))
		}
		p.step()
	}
	return p.result
}

// Guards against ways to rest that serve callers worse than ignoring it, or that keep sending to the endpoints.
func TestRestUnderLoad(t *testing.T) {
	const allowed = 2
	for _, load := range []struct {
		name            string
		perSecond, sick int
		work            time.Duration
		overload        bool // the endpoints that work can't serve all
	}{
		{"three of nine refuse for 6 s, 36 a second", 36, 3, 30 * time.Millisecond, false},
		{"the same, 160 a second", 160, 3, 30 * time.Millisecond, false},
		{"the same, 1,600 a second", 1600, 3, 4 * time.Millisecond, true},
		{"all but one refuse", 36, 8, 30 * time.Millisecond, true},
		{"overload of 1.1", 330, 0, 30 * time.Millisecond, true},
		{"overload of 1.5", 450, 0, 30 * time.Millisecond, true},
	} {
		t.Run(load.name, func(t *testing.T) {
			results := make(map[way]loadResult)
			for w, name := range ways {
				var sum loadResult
				for seed := range uint64(5) {
					r := play(w, load.perSecond, load.sick, load.work, seed)
					sum.served, sum.refused, sum.turnedAway, sum.atRest = sum.served+r.served, sum.refused+r.refused, sum.turnedAway+r.turnedAway, max(sum.atRest, r.atRest)
				}
				results[w] = sum
				t.Logf("%s: served %d, refused %d, turned away by endpoints %d, most from one VM during a rest %d", name, sum.served, sum.refused, sum.turnedAway, sum.atRest)
			}
			require.LessOrEqual(t, results[byVM].atRest, allowed)
			if !load.overload {
				require.LessOrEqual(t, results[byVM].refused, results[ignored].refused)
			}
		})
	}
}
