package brittle

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a bound that ends by an answer to a request from before it was stated.
func TestEarlierAnswerDoesNotEndTheBound(t *testing.T) {
	var s State
	now := time.Now()
	require.True(t, s.Stated(now, 5, 16, 7))
	require.False(t, s.Stated(now, 5, 16, 7))
	require.False(t, s.NotStated(now.Add(-time.Second)))
	require.True(t, s.NotStated(now.Add(time.Second)))
	require.False(t, s.NotStated(now.Add(time.Second)))
	require.True(t, s.MaySend(now, 1000))
}

// Guards against VMs that together are turned away more often than the endpoint bears, whatever it states.
func TestPausesKeepTheBound(t *testing.T) {
	for vms := 1; vms <= 20; vms++ {
		for bound := 2 * vms / 10; bound <= 20; bound++ {
			var s State
			now := time.Now()
			s.Stated(now, bound, 16, vms)
			s.TurnedAway(now)
			for at := now; at.Before(now.Add(10 * time.Second)); at = at.Add(10 * time.Millisecond) {
				if s.MaySend(at, 0) {
					require.LessOrEqual(t, float64(vms)/at.Sub(now).Seconds(), float64(max(bound, 2)), "%d VMs, bound %d", vms, bound)
					break
				}
			}
		}
	}
}

const (
	loadVMs, loadEndpoints = 7, 9
	slots, places          = 16, 18 // places include requests that wait
	bound                  = 5
	downFor                = 4 * time.Second
	tick                   = time.Millisecond
	oneWay                 = 2 * time.Millisecond
	loadLength             = 20 * time.Second
)

// way is the part of the decision that VMs use.
type way struct{ room, pause bool }

type play struct {
	way       way
	rng       *rand.Rand
	now       time.Time
	events    map[time.Time][]func()
	endpoints [loadEndpoints]struct {
		inFlight int
		life     int
		down     time.Time
		turned   []time.Time
	}
	states              [loadVMs][loadEndpoints]State
	own                 [loadVMs][loadEndpoints]int
	served, lost, falls int
}

func (p *play) after(d time.Duration, do func()) {
	at := p.now.Add(d.Truncate(tick))
	p.events[at] = append(p.events[at], do)
}

// arrive sends a request of a VM; tried is the number of endpoints that turned it away.
func (p *play) arrive(v, tried int) {
	best := -1
	for _, e := range p.rng.Perm(loadEndpoints) {
		s := p.states[v][e]
		if !p.way.room {
			s.slots = 0
			s.reportedAt = time.Time{}
		}
		if !p.way.pause {
			s.pauseUntil = time.Time{}
		}
		if p.now.Before(p.endpoints[e].down) || !s.MaySend(p.now, p.own[v][e]) {
			continue
		}
		if best < 0 || p.own[v][e] < p.own[v][best] {
			best = e
		}
	}
	if best < 0 || tried >= 3 {
		return
	}
	p.own[v][best]++
	p.states[v][best].Sent()
	p.after(oneWay, func() { p.reach(v, best, tried) })
}

func (p *play) reach(v, i, tried int) {
	e := &p.endpoints[i]
	answer := func(full bool, life int) func() {
		return func() {
			p.own[v][i]--
			s := &p.states[v][i]
			s.Stated(p.now, bound, slots, loadVMs)
			s.Reported(p.now, e.inFlight)
			switch {
			case full:
				s.TurnedAway(p.now)
				p.arrive(v, tried+1)
			case life == e.life:
				p.served++
			default:
				p.lost++
			}
		}
	}
	life := e.life
	switch {
	case p.now.Before(e.down):
		p.after(oneWay, answer(false, -1))
	case e.inFlight >= places:
		e.turned = append(e.turned, p.now)
		if n := len(e.turned); n > bound && p.now.Sub(e.turned[n-1-bound]) < time.Second {
			p.falls++
			e.life, e.inFlight, e.down, e.turned = e.life+1, 0, p.now.Add(downFor), nil
		}
		p.after(oneWay, answer(true, life))
	default:
		e.inFlight++
		work := time.Duration(p.rng.ExpFloat64()*100+20) * time.Millisecond
		if e.inFlight > slots {
			work += 20 * time.Millisecond
		}
		p.after(work, func() {
			if life == e.life {
				e.inFlight--
			}
			p.after(oneWay, answer(false, life))
		})
	}
}

// run plays a load, as a share of what the endpoints can serve.
func run(w way, load float64, seed uint64) *play {
	p := &play{way: w, rng: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0), events: make(map[time.Time][]func())}
	for v := range p.states {
		for e := range p.states[v] {
			p.states[v][e].Stated(p.now, bound, slots, loadVMs)
		}
	}
	perTick := load * loadEndpoints * slots / 0.12 * tick.Seconds()
	for end := p.now.Add(loadLength); p.now.Before(end); p.now = p.now.Add(tick) {
		for n := perTick; n > 0; n-- {
			if p.rng.Float64() < n {
				p.arrive(p.rng.IntN(loadVMs), 0)
			}
		}
		for len(p.events[p.now]) > 0 {
			due := p.events[p.now]
			delete(p.events, p.now)
			for _, do := range due {
				do()
			}
		}
	}
	return p
}

// Guards against a full service whose endpoints fall over one after the other, and against one that serves less than it could.
func TestBrittleEndpointsUnderLoad(t *testing.T) {
	const seeds, maxFalls = 3, 2 + loadEndpoints/10
	for _, load := range []float64{0.5, 1.0, 1.5, 3.0} {
		served := make(map[way]int)
		for w, name := range map[way]string{{}: "ignored", {pause: true}: "pause alone", {room: true}: "room alone", {true, true}: "both"} {
			falls := 0
			for seed := range uint64(seeds) {
				p := run(w, load, seed)
				served[w] += p.served
				falls += p.falls
				if w == (way{true, true}) {
					assert.LessOrEqual(t, p.falls, maxFalls, "load %v, seed %d", load, seed)
				}
			}
			t.Logf("load %.1f, %-11s: %6d served, %3d falls in %d plays", load, name, served[w], falls, seeds)
		}
		assert.GreaterOrEqual(t, float64(served[way{true, true}]), 0.95*float64(served[way{}]), "load %v", load)
	}
}
