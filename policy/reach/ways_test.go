package reach

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	playVMs, playEndpoints, playCallers = 7, 12, 40
	tick                                = 5 * time.Millisecond
	requestEvery                        = 100 * time.Millisecond // of one caller
	directoryTTL                        = time.Second
	spread                              = 400 * time.Millisecond // until all VMs know what one says of itself
	dialTime, probeTime                 = 400 * time.Millisecond, 200 * time.Millisecond
	avoidTime                           = 300 * time.Millisecond
	cutFrom, cutTo, playEnd             = 3 * time.Second, 15 * time.Second, 20 * time.Second
	contact                             = 3 * time.Second // from which first attempts count
)

// way is what a fleet does for callers of VMs that have lost their paths.
type way struct{ lead, detour bool }

var wayNames = []struct {
	way
	name string
}{
	{way{}, "refuse"}, {way{lead: true}, "lead callers away"}, {way{detour: true}, "detour"}, {way{true, true}, "both"},
}

type playVM struct {
	tracker *Tracker
	detours *Detours
	avoid   [playEndpoints]time.Duration // until
	changed time.Duration                // when it lost or regained its paths
}

type play struct {
	way    way
	cut    int  // the first VMs
	hangs  bool // connections hang; otherwise they are refused
	flaps  bool // the paths are back for each other second
	rng    *rand.Rand
	now    time.Duration
	vms    [playVMs]*playVM
	events map[time.Duration][]func()
	// first attempts that count, at VMs that are cut off and at others
	sent, served [2]int
	work         int // requests that VMs handled for them
}

func (p *play) isCut(v int) bool {
	return v < p.cut && p.now >= cutFrom && p.now < cutTo && !(p.flaps && int((p.now-cutFrom)/time.Second)%2 == 1)
}

func (p *play) after(d time.Duration, do func()) {
	at := (p.now + max(d, tick)).Truncate(tick)
	p.events[at] = append(p.events[at], do)
}

func clock(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// knownLost reports whether the fleet knows that a VM has lost its paths.
func (p *play) knownLost(v int) bool {
	vm := p.vms[v]
	if p.now-vm.changed < spread {
		return !vm.tracker.Lost()
	}
	return vm.tracker.Lost()
}

// named returns the VMs that the directory names.
func (p *play) named() (out []int) {
	for v := range p.vms {
		if !p.way.lead || !p.knownLost(v) {
			out = append(out, v)
		}
	}
	if len(out) == 0 {
		for v := range p.vms {
			out = append(out, v)
		}
	}
	return out
}

// probe lets a VM probe if its tracker asks for it.
func (p *play) probe(v int) {
	vm := p.vms[v]
	if !vm.tracker.DueProbe(clock(p.now), playEndpoints) {
		return
	}
	began, took, ok := p.now, tick, !p.isCut(v)
	if !ok && p.hangs {
		took = probeTime
	}
	p.after(took, func() {
		if vm.tracker.ProbeDone(clock(began), clock(p.now), ok) != Unchanged {
			vm.changed = p.now
			clear(vm.avoid[:])
		}
	})
}

// attempt tries the next endpoint for a request; done is called with whether it was served.
func (p *play) attempt(v int, met Request, tried []int, forwarded bool, done func(bool)) {
	vm := p.vms[v]
	var left []int
	for e := range playEndpoints {
		if p.now >= vm.avoid[e] && !slices.Contains(tried, e) {
			left = append(left, e)
		}
	}
	met.NoneLeft = len(left) == 0
	if p.way.detour && !forwarded && vm.tracker.NeedsDetour(met) && p.detour(v, nil, done) {
		return
	}
	if len(left) == 0 || len(tried) > 4 {
		done(false)
		return
	}
	e := left[p.rng.IntN(len(left))]
	if !p.isCut(v) {
		if vm.tracker.Received(clock(p.now)) {
			vm.changed = p.now
		}
		done(true)
		return
	}
	took := tick
	if p.hangs {
		took = dialTime
	}
	began := p.now
	p.after(took, func() {
		vm.tracker.Failed(clock(p.now), fmt.Sprint(e))
		vm.avoid[e] = p.now + avoidTime
		p.probe(v)
		if met.Failed == 0 {
			met.FirstFailed = clock(began)
		}
		met.Failed++
		met.TimedOut = met.TimedOut || p.hangs
		p.attempt(v, met, append(tried, e), forwarded, done)
	})
}

// detour sends a request through another VM. It reports whether there is one.
func (p *play) detour(v int, tried []int, done func(bool)) bool {
	var others []int
	for o := range p.vms {
		if o != v && !p.knownLost(o) && !slices.Contains(tried, o) && p.vms[v].detours.MayUse(clock(p.now), fmt.Sprint(o)) {
			others = append(others, o)
		}
	}
	if len(others) == 0 || len(tried) >= MaxDetours {
		return false
	}
	o := others[p.rng.IntN(len(others))]
	p.work++
	p.after(tick, func() {
		p.attempt(o, Request{}, nil, true, func(ok bool) {
			if !ok {
				p.vms[v].detours.Unusable(clock(p.now), fmt.Sprint(o))
			}
			if ok || !p.detour(v, append(tried, o), done) {
				done(ok)
			}
		})
	})
	return true
}

// caller sends requests to the VMs that the directory named to it.
func (p *play) caller(ttl time.Duration) {
	var named []int
	var asked time.Duration
	var next func()
	next = func() {
		if named == nil || p.now-asked >= ttl {
			named, asked = p.named(), p.now
		}
		v := named[p.rng.IntN(len(named))]
		counts, at := p.now >= cutFrom+contact && p.now < cutTo, 1
		if v < p.cut {
			at = 0
		}
		if counts {
			p.sent[at]++
			p.work++
		}
		p.attempt(v, Request{}, nil, false, func(ok bool) {
			if ok && counts {
				p.served[at]++
			}
		})
		p.after(time.Duration(2*p.rng.Float64()*float64(requestEvery)), next)
	}
	p.after(time.Duration(p.rng.Float64()*float64(ttl)), next)
}

func run(w way, cut int, hangs, flaps bool, seed uint64) *play {
	p := &play{way: w, cut: cut, hangs: hangs, flaps: flaps, rng: rand.New(rand.NewPCG(seed, 0)), events: make(map[time.Duration][]func())}
	for v := range p.vms {
		p.vms[v] = &playVM{tracker: New(), detours: NewDetours(), changed: -spread}
	}
	for c := range playCallers {
		ttl := directoryTTL
		if c%4 == 0 {
			ttl *= 3
		}
		p.caller(ttl)
	}
	for ; p.now < playEnd; p.now += tick {
		for v := range p.vms {
			p.probe(v)
		}
		due := p.events[p.now]
		delete(p.events, p.now)
		for _, do := range due {
			do()
		}
	}
	return p
}

// Guards against callers of VMs without paths that are served worse than the others, however many VMs are cut off, and against a decision that costs the others more work than needed.
func TestLostPathsUnderLoad(t *testing.T) {
	const seeds = 3
	for _, cut := range []int{1, 4, 6} {
		for _, mode := range []struct{ hangs, flaps bool }{{}, {hangs: true}, {flaps: true}, {true, true}} {
			work := make(map[way]int)
			for _, w := range wayNames {
				var total play
				for seed := range uint64(seeds) {
					p := run(w.way, cut, mode.hangs, mode.flaps, seed)
					for i := range p.sent {
						total.sent[i] += p.sent[i]
						total.served[i] += p.served[i]
					}
					total.work += p.work
					if w.detour {
						assert.GreaterOrEqual(t, 3*p.served[0], 2*p.sent[0], "%+v, %d cut, %+v", w, cut, mode)
						assert.Equal(t, p.sent[1], p.served[1], "%+v, %d cut, %+v", w, cut, mode)
					}
				}
				work[w.way] = total.work
				t.Logf("%d of %d cut, hangs %-5v flaps %-5v %-17s: %4d of %4d served there, %5d of %5d at the others, %5d handled",
					cut, playVMs, mode.hangs, mode.flaps, w.name, total.served[0], total.sent[0], total.served[1], total.sent[1], total.work)
			}
			assert.LessOrEqual(t, work[way{true, true}], work[way{detour: true}])
		}
	}
}
