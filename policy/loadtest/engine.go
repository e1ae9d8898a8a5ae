package loadtest

import (
	"math"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// batchCost is the relative increase of a request's duration from an idle
	// engine to full slots. The decode steps of a continuous batch take longer in a
	// larger batch, but less than proportionally.
	batchCost = 0.5
	// coldSpeed is an engine's relative speed in cold start, while it still loads
	// and compiles.
	coldSpeed = 0.5
	// cachedPrefixSaving is the share of a request's work that a cached prefix
	// saves.
	cachedPrefixSaving = 0.5
	// cacheCapacity is the number of prefixes that an endpoint's cache holds.
	cacheCapacity = 12
	// errorDelay is the time that an endpoint takes to answer with an error or a
	// refusal.
	errorDelay = 5 * time.Millisecond
	// poisonCrashDelay is how long a poison request runs before the engine crashes.
	poisonCrashDelay = 200 * time.Millisecond
	// restartTime is the time from a crash to the first accepted request, and
	// coldTime the duration of the cold start that follows.
	restartTime = 3 * time.Second
	coldTime    = 8 * time.Second
)

// attemptOutcome is the result of an attempt.
type attemptOutcome int

const (
	answered attemptOutcome = iota
	failed                  // the endpoint answered with an error
	full                    // the endpoint refused for lack of slots
	crashed                 // the connection broke or was refused
)

// job is one attempt that runs on an engine.
type job struct {
	req          *request
	prefixCached bool
	remaining    float64
	worked       float64
	start        time.Time
	done         func(attemptOutcome)
}

// engine models one endpoint by processor sharing. Each request in the batch slows
// down the others. Above the knee the memory is full and work is done twice, which
// multiplies the speed by a further (knee/n)² for n requests. Requests above the
// slots are refused. The model includes cold start and a cache of prompt prefixes.
type engine struct {
	loop               *loop
	name               string
	dataCentre         int
	slots              int
	coldSlots          int
	knee               int
	speed              float64
	failing            bool
	cold, down         bool
	scheduleGeneration int // number of changes of the jobs, to invalidate scheduled completions
	jobs               []*job
	advancedAt         time.Time
	cache              *lru.LRU[uint64, struct{}]
	sequence           uint64
	reportedLoad       int // the load in the last report that was delivered
	result             *Result
	// onStateChange notifies the VMs of a crash, the restart and the end of the
	// cold start.
	onStateChange func(e *engine)
	// onCacheEvent publishes the prefixes that were stored in the cache and removed
	// from it.
	onCacheEvent func(e *engine, stored, removed []uint64)
}

func newEngine(l *loop, name string) *engine {
	e := &engine{loop: l, name: name, speed: 1, advancedAt: epoch}
	e.clearCache()
	return e
}

func (e *engine) clearCache() {
	cache, err := lru.NewLRU[uint64, struct{}](cacheCapacity, nil)
	if err != nil {
		panic(err) // NewLRU only fails for a size that isn't positive
	}
	e.cache = cache
}

// rate returns the speed of each request if n run at once.
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

// capacity returns the work per second at full slots.
func (e *engine) capacity() float64 { return float64(e.slots) * e.rate(e.slots) }

// advance updates the remaining work of the jobs to the current time.
func (e *engine) advance() {
	if n := len(e.jobs); n > 0 {
		step := e.loop.now.Sub(e.advancedAt).Seconds() * e.rate(n)
		for _, j := range e.jobs {
			j.remaining -= step
			j.worked += step
		}
	}
	e.advancedAt = e.loop.now
}

// submit starts an attempt. The function done is called at most once, and never
// from within submit.
func (e *engine) submit(r *request, done func(attemptOutcome)) *job {
	e.advance()
	j := &job{req: r, remaining: r.size, start: e.loop.now, done: done}
	switch {
	case e.down:
		e.loop.after(errorDelay, func() { done(crashed) })
		return j
	case e.failing:
		e.loop.after(errorDelay, func() { done(failed) })
		return j
	case e.cold && len(e.jobs) >= e.coldSlots:
		e.result.Overshoot++
		e.loop.after(errorDelay, func() { done(full) })
		return j
	case len(e.jobs) >= e.slots:
		e.loop.after(errorDelay, func() { done(full) })
		return j
	}
	e.lookUpPrefix(j)
	e.jobs = append(e.jobs, j)
	if r.poison {
		e.loop.after(poisonCrashDelay, func() { e.crashIfRunning(j) })
	}
	e.schedule()
	return j
}

// lookUpPrefix reduces the work of a job whose prefix is cached, and otherwise adds
// the prefix to the cache.
func (e *engine) lookUpPrefix(j *job) {
	if j.req.prefix == 0 {
		return
	}
	e.result.prefixed++
	if _, ok := e.cache.Get(j.req.prefix); ok {
		j.prefixCached = true
		j.remaining *= 1 - cachedPrefixSaving
		e.result.hits++
		return
	}
	var removed []uint64
	if e.cache.Len() == cacheCapacity {
		oldest, _, _ := e.cache.GetOldest()
		removed = append(removed, oldest)
	}
	e.cache.Add(j.req.prefix, struct{}{})
	e.onCacheEvent(e, []uint64{j.req.prefix}, removed)
}

// cancel stops an attempt whose result is no longer needed.
func (e *engine) cancel(j *job) {
	e.advance()
	if e.remove(j) {
		e.result.wasted += j.worked
		e.schedule()
	}
}

// remove removes a job and reports whether it was running.
func (e *engine) remove(j *job) bool {
	for i, x := range e.jobs {
		if x == j {
			e.jobs = append(e.jobs[:i], e.jobs[i+1:]...)
			return true
		}
	}
	return false
}

// schedule schedules the next completion. A later change of the jobs invalidates
// it.
func (e *engine) schedule() {
	e.scheduleGeneration++
	if len(e.jobs) == 0 {
		return
	}
	generation := e.scheduleGeneration
	least := math.Inf(1)
	for _, j := range e.jobs {
		least = min(least, j.remaining)
	}
	wait := time.Duration(max(least, 0)/e.rate(len(e.jobs))*float64(time.Second)) + 1
	e.loop.after(wait, func() {
		if e.scheduleGeneration == generation {
			e.complete()
		}
	})
}

// complete ends the jobs without remaining work.
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
		e.result.worked += j.worked
		j.done(answered)
	}
}

// crashIfRunning crashes the engine if the poison request still runs on it.
func (e *engine) crashIfRunning(j *job) {
	for _, x := range e.jobs {
		if x == j {
			e.result.Crashes++
			e.crash(restartTime)
			return
		}
	}
}

// crash breaks all connections. The engine restarts after downTime, in cold start.
func (e *engine) crash(downTime time.Duration) {
	e.advance()
	lost := e.jobs
	e.jobs = nil
	e.down = true
	e.scheduleGeneration++
	e.clearCache()
	e.onStateChange(e)
	for _, j := range lost {
		e.result.wasted += j.worked
		j.done(crashed)
	}
	e.loop.after(downTime, e.restart)
}

// restart accepts requests again, in cold start until coldTime has passed.
func (e *engine) restart() {
	e.advance()
	e.down = false
	e.cold = true
	e.onStateChange(e)
	e.loop.after(coldTime, func() {
		e.advance()
		e.cold = false
		e.schedule()
		e.onStateChange(e)
	})
}

// setSpeed changes the engine's relative speed from the current time on.
func (e *engine) setSpeed(speed float64) {
	e.advance()
	e.speed = speed
	e.schedule()
}
