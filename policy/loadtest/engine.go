package loadtest

import (
	"math"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// batchCost is by how much a request at full slots takes longer than alone: decode
	// steps of a continuous batch grow with it, but slower than it.
	batchCost = 0.5
	// coldSpeed is an engine's speed in cold start: it still loads and compiles.
	coldSpeed = 0.5
	// prefill is the part of a request's work that a cached prefix saves.
	prefill = 0.5
	// cachePrefixes is how many prefixes an endpoint's cache holds.
	cachePrefixes = 12
	// fastError is how long a failing endpoint takes for its error.
	fastError = 5 * time.Millisecond
	// crashAfter is how long a poison request runs before the engine is gone.
	crashAfter = 200 * time.Millisecond
	// restartTime is from a crash to the first request taken; then comes the cold start.
	restartTime = 3 * time.Second
	coldTime    = 8 * time.Second
)

// answer is what an attempt brings.
type answer int

const (
	answered answer = iota
	failed          // an error of the endpoint
	full            // refused: no room
	crashed         // the connection broke
)

// job is one attempt at an engine.
type job struct {
	req       *request
	hit       bool
	remaining float64
	worked    float64
	start     time.Time
	done      func(answer)
}

// engine is one modelled endpoint: processor sharing with a cost a request in the
// batch, a knee past which its memory is full and work is done twice, refusal above
// its slots, cold start, and a cache of prompt prefixes.
type engine struct {
	loop       *loop
	name       string
	dataCentre int
	slots      int
	coldSlots  int
	knee       int
	speed      float64
	failing    bool
	cold, down bool
	version    int // counts changes of the jobs, so that a planned completion knows it is void
	jobs       []*job
	last       time.Time
	cache      *lru.LRU[uint64, struct{}]
	sequence   uint64
	reported   int // the load that its last report to arrive gave
	res        *Result
	// changed tells the VMs of a crash, the restart and the end of the cold start.
	changed func(e *engine)
	// stored publishes a cache event.
	stored func(e *engine, stored, removed []uint64)
}

func newEngine(l *loop, name string) *engine {
	e := &engine{loop: l, name: name, speed: 1, last: epoch}
	e.clearCache()
	return e
}

func (e *engine) clearCache() {
	cache, err := lru.NewLRU[uint64, struct{}](cachePrefixes, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	e.cache = cache
}

// rate is the speed of each of n requests.
func (e *engine) rate(n int) float64 {
	r := e.speed / (1 + batchCost*float64(n-1)/float64(max(e.slots-1, 1)))
	if n > e.knee {
		r *= math.Pow(float64(e.knee)/float64(n), 2)
	}
	if e.cold {
		r *= coldSpeed
	}
	return r
}

// capacity is the work a second at full slots.
func (e *engine) capacity() float64 { return float64(e.slots) * e.rate(e.slots) }

func (e *engine) advance() {
	if n := len(e.jobs); n > 0 {
		step := e.loop.now.Sub(e.last).Seconds() * e.rate(n)
		for _, j := range e.jobs {
			j.remaining -= step
			j.worked += step
		}
	}
	e.last = e.loop.now
}

// submit starts an attempt; done is called once, never from within submit.
func (e *engine) submit(r *request, done func(answer)) *job {
	e.advance()
	j := &job{req: r, remaining: r.size, start: e.loop.now, done: done}
	switch {
	case e.down:
		e.loop.after(fastError, func() { done(crashed) })
		return j
	case e.failing:
		e.loop.after(fastError, func() { done(failed) })
		return j
	case e.cold && len(e.jobs) >= e.coldSlots:
		e.res.Overshoot++
		e.loop.after(fastError, func() { done(full) })
		return j
	case len(e.jobs) >= e.slots:
		e.loop.after(fastError, func() { done(full) })
		return j
	}
	e.usePrefix(j)
	e.jobs = append(e.jobs, j)
	if r.poison {
		e.loop.after(crashAfter, func() { e.crashBy(j) })
	}
	e.schedule()
	return j
}

func (e *engine) usePrefix(j *job) {
	if j.req.prefix == 0 {
		return
	}
	e.res.prefixed++
	if _, ok := e.cache.Get(j.req.prefix); ok {
		j.hit = true
		j.remaining *= 1 - prefill
		e.res.hits++
		return
	}
	var removed []uint64
	if e.cache.Len() == cachePrefixes {
		oldest, _, _ := e.cache.GetOldest()
		removed = append(removed, oldest)
	}
	e.cache.Add(j.req.prefix, struct{}{})
	e.stored(e, []uint64{j.req.prefix}, removed)
}

// cancel stops an attempt whose caller is gone.
func (e *engine) cancel(j *job) {
	e.advance()
	if e.remove(j) {
		e.res.wasted += j.worked
		e.schedule()
	}
}

func (e *engine) remove(j *job) bool {
	for i, x := range e.jobs {
		if x == j {
			e.jobs = append(e.jobs[:i], e.jobs[i+1:]...)
			return true
		}
	}
	return false
}

// schedule plans the next completion; a later change makes it void.
func (e *engine) schedule() {
	e.version++
	if len(e.jobs) == 0 {
		return
	}
	version := e.version
	least := math.Inf(1)
	for _, j := range e.jobs {
		least = min(least, j.remaining)
	}
	wait := time.Duration(max(least, 0)/e.rate(len(e.jobs))*float64(time.Second)) + 1
	e.loop.after(wait, func() {
		if e.version == version {
			e.complete()
		}
	})
}

func (e *engine) complete() {
	e.advance()
	var over []*job
	kept := e.jobs[:0]
	for _, j := range e.jobs {
		if j.remaining <= 1e-9 {
			over = append(over, j)
		} else {
			kept = append(kept, j)
		}
	}
	e.jobs = kept
	e.schedule()
	for _, j := range over {
		e.res.worked += j.worked
		j.done(answered)
	}
}

// crashBy crashes the engine if the poison request still runs there.
func (e *engine) crashBy(j *job) {
	for _, x := range e.jobs {
		if x == j {
			e.res.Crashes++
			e.crash(restartTime)
			return
		}
	}
}

// crash breaks all connections; the engine is back after the given time, cold.
func (e *engine) crash(back time.Duration) {
	e.advance()
	lost := e.jobs
	e.jobs = nil
	e.down = true
	e.version++
	e.clearCache()
	e.changed(e)
	for _, j := range lost {
		e.res.wasted += j.worked
		j.done(crashed)
	}
	e.loop.after(back, e.restart)
}

func (e *engine) restart() {
	e.advance()
	e.down = false
	e.cold = true
	e.changed(e)
	e.loop.after(coldTime, func() {
		e.advance()
		e.cold = false
		e.schedule()
		e.changed(e)
	})
}

// setSpeed changes the engine's speed.
func (e *engine) setSpeed(speed float64) {
	e.advance()
	e.speed = speed
	e.schedule()
}
