package admission

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// checkEvery is the time between two looks through the queue for items that
	// can't be done any more: a tenth of the shortest deadline, a till lookup's second.
	checkEvery = 100 * time.Millisecond
	// offerPart and checkPart are the parts of the estimated wait that an item must
	// have time for: more than all of it on arrival, since shorter and more urgent
	// items will still pass it, and less once it was accepted, so that an estimate
	// that is a little off doesn't refuse what waited already. Measured at 1.2, 1.6, 2
	// and 3: at 1.6, half as many are refused late as at 1.2 at twice the capacity
	// (cluj), at the same goodput; above it, deferrable requests are lost in a burst.
	offerPart = 1.6
	checkPart = 0.8
	// shareSlack is how far above its share an account may be before it counts as hot,
	// and shareItems are mean items that it may have had besides: a small account's
	// one long request is no flood.
	shareSlack = 1.5
	shareItems = 2.0
	// immediateDemand is the part of the work that immediate requests must make up
	// for slots to be kept for them: one in fifty.
	immediateDemand = 0.02
	// usageFloor is the work below which an account counts as idle, in mean items.
	usageFloor = 0.05
)

// Queue is the admission of one pool on one VM. It is safe for concurrent use.
type Queue struct {
	mu       sync.Mutex
	cfg      Config
	rng      *rand.Rand
	capacity int
	running  int
	count    int // queued items
	accounts map[string]*account
	// backlog holds the accounts that wait, in an order that depends on the calls
	// alone, so that a run is repeatable.
	backlog []*account
	// usage is the work started lately of all accounts, active the weights of those
	// that have some or wait; active is brought up to date by check.
	usage   decayed
	active  float64
	virtual float64 // start tag of the last started item
	started [classes]decayed
	work    [classes]float64 // queued work
	weights [classes]float64 // sum of weights of accounts that wait in the class
	atRisk  [classes]bool    // items of the class would miss their deadlines
	est     estimator
	returns calendar
	refused []Refusal
	checked time.Time
}

// New returns a queue without capacity. The rng spreads Retry-After; the queue owns it.
func New(cfg Config, rng *rand.Rand) *Queue {
	cfg = cfg.withDefaults()
	return &Queue{
		cfg:      cfg,
		rng:      rng,
		accounts: make(map[string]*account),
		est:      estimator{perUnit: max(cfg.SecondsPerUnit, 0)},
	}
}

// SetCapacity sets how many items may run at once. At 0 everything that waits is
// refused: nobody knows when there will be an endpoint again.
func (q *Queue) SetCapacity(now time.Time, slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.capacity = max(slots, 0)
	if q.capacity == 0 && q.count > 0 {
		q.refuseAll(now, ReasonNoCapacity)
	}
}

// Offer hands in an item.
func (q *Queue) Offer(now time.Time, it Item) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	if it.Size <= 0 {
		it.Size = 1
	}
	a := q.account(it)
	q.est.seen(it.Size)
	if q.capacity == 0 {
		return q.verdict(now, it, ReasonNoCapacity, 0)
	}
	w := &waiting{Item: it, key: now.Add(seconds(q.cfg.ShortFirst * q.est.perUnit * it.Size))}
	if late := q.late(now, a, w); late > 0 {
		return q.verdict(now, it, ReasonDeadline, late)
	}
	if q.count >= q.cfg.MaxItems && !q.evict(now, a) {
		return q.verdict(now, it, ReasonFull, q.drainTime())
	}
	q.push(a, w)
	if q.running < q.capacity {
		if next, class, ok := q.choose(now); ok && next.queues[class][0] == w {
			q.start(now, next, class)
			return Verdict{Outcome: Run}
		}
	}
	return Verdict{Outcome: Queued}
}

// Next returns the item to run in a free slot, if there is one and something waits.
func (q *Queue) Next(now time.Time) (Item, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.running < q.capacity && q.count > 0 {
		a, class, ok := q.choose(now)
		if !ok {
			return Item{}, false
		}
		w := a.queues[class][0]
		if now.Add(q.est.service(w.Size)).After(w.Deadline) {
			q.take(a, class, 0)
			q.refuse(now, w.Item, ReasonDeadline, 0)
			continue
		}
		q.start(now, a, class)
		return w.Item, true
	}
	return Item{}, false
}

// Done frees the slot of an item that ran. Elapsed is its service time; 0 when it
// failed and tells nothing. Actual is the work it took, 0 if not known.
func (q *Queue) Done(now time.Time, it Item, elapsed time.Duration, actual float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running = max(q.running-1, 0)
	if it.Size <= 0 {
		it.Size = 1
	}
	if elapsed > 0 {
		q.est.learn(it.Size, elapsed)
	}
	if a := q.accounts[it.Account]; a != nil && actual > 0 {
		// The account pays for what it took, not for what was expected.
		a.tag += (actual - it.Size) / a.weight
	}
}

// PutBack frees the slot of an item that found no endpoint, or that is retried
// later, and queues it again at the head of its account's items.
func (q *Queue) PutBack(now time.Time, it Item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running = max(q.running-1, 0)
	if it.Size <= 0 {
		it.Size = 1
	}
	a := q.account(it)
	a.tag -= it.Size / a.weight
	a.usage.add(now, -it.Size)
	q.usage.add(now, -it.Size)
	q.started[it.Class].add(now, -it.Size)
	if q.capacity == 0 {
		q.refuse(now, it, ReasonNoCapacity, 0)
		return
	}
	q.push(a, &waiting{Item: it, key: time.Time{}})
}

// Remove takes an item out of the queue whose caller has gone away.
func (q *Queue) Remove(it Item) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.accounts[it.Account]
	if a == nil {
		return false
	}
	for i, w := range a.queues[it.Class] {
		if w.ID == it.ID {
			q.take(a, int(it.Class), i)
			return true
		}
	}
	return false
}

// Refused returns the final answers that became known since the last call. Call it
// after each other call, and every 100 ms while anything waits.
func (q *Queue) Refused(now time.Time) []Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.checked) >= checkEvery {
		q.checked = now
		q.check(now)
	}
	out := q.refused
	q.refused = nil
	return out
}

// Expected is how long an item of that size takes once it runs, with a margin of
// one mean deviation.
func (q *Queue) Expected(size float64) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.est.service(size)
}

// Len returns how many items wait and how many run.
func (q *Queue) Len() (waiting, running int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.count, q.running
}

// Forget drops an account that configuration no longer has, once nothing of it waits.
func (q *Queue) Forget(name string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.accounts[name]
	if a == nil || a.queued() > 0 {
		return
	}
	delete(q.accounts, name)
}

func (q *Queue) account(it Item) *account {
	weight := it.Weight
	if weight <= 0 {
		weight = 1
	}
	a := q.accounts[it.Account]
	if a == nil {
		a = &account{name: it.Account, weight: weight}
		q.accounts[it.Account] = a
	}
	if a.weight != weight && a.queued() == 0 {
		// A changed weight counts from the next time that nothing of the account waits,
		// so that the sums of weights stay right.
		a.weight = weight
	}
	return a
}

// push queues an item.
func (q *Queue) push(a *account, w *waiting) {
	if a.queued() == 0 {
		a.place = len(q.backlog)
		q.backlog = append(q.backlog, a)
	}
	if len(a.queues[w.Class]) == 0 {
		q.weights[w.Class] += a.weight
	}
	a.push(w)
	q.work[w.Class] += w.Size
	q.count++
}

// take takes an item out of the queue.
func (q *Queue) take(a *account, class, i int) *waiting {
	w := a.remove(class, i)
	q.work[class] -= w.Size
	q.count--
	if len(a.queues[class]) == 0 {
		q.weights[class] -= a.weight
	}
	if a.queued() == 0 {
		last := q.backlog[len(q.backlog)-1]
		q.backlog[a.place] = last
		last.place = a.place
		q.backlog = q.backlog[:len(q.backlog)-1]
	}
	if q.count == 0 {
		// Sums of floats drift; an empty queue is the time to put them right.
		q.work = [classes]float64{}
		q.weights = [classes]float64{}
	}
	return w
}

// start takes an account's first item into a slot and charges the account.
func (q *Queue) start(now time.Time, a *account, class int) {
	w := q.take(a, class, 0)
	begin := max(q.virtual, a.tag)
	q.virtual = begin
	a.tag = begin + w.Size/a.weight
	a.usage.add(now, w.Size)
	q.usage.add(now, w.Size)
	q.started[class].add(now, w.Size)
	q.running++
}
