package admission

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// checkInterval is the time between two scans of the queue for items that can no
	// longer meet their deadline. It is a tenth of the shortest deadline, which is one
	// second for short lookups.
	checkInterval = 100 * time.Millisecond
	// offerWaitFactor and checkWaitFactor are the multiples of the estimated waiting time
	// that an item must have left. The factor on arrival is above one, since shorter and
	// more urgent items will still overtake the item. The factor after acceptance is
	// below one, so that a small error of the estimate does not refuse an item that has
	// already waited. With 1.6, half as many items are refused late as with 1.2 at twice
	// the capacity, at the same goodput; with higher values (2 or 3), deferrable requests
	// are lost in a burst.
	offerWaitFactor = 1.6
	checkWaitFactor = 0.8
	// shareSlack is the factor by which an account may exceed its share before it counts
	// as hot. shareAllowance is an additional allowance in mean items, so that one long
	// request does not make a small account hot.
	shareSlack     = 1.5
	shareAllowance = 2.0
	// minImmediateShare is the share of the work, one in fifty, that immediate requests
	// must make up before slots are reserved for them.
	minImmediateShare = 0.02
	// idleUsage is the recent work, in mean items, below which an account counts as idle.
	idleUsage = 0.05
)

// Queue is the admission queue of one pool on one VM. It is safe for concurrent use.
type Queue struct {
	mu       sync.Mutex
	cfg      Config
	rng      *rand.Rand
	capacity int
	running  int
	queued   int
	accounts map[string]*account
	// backlog holds the accounts with queued items. Its order depends only on the
	// sequence of calls, so that a run is reproducible.
	backlog []*account
	// usage is the recently started work of all accounts. activeWeight is the sum of the
	// weights of accounts that have recent usage or queued items; check updates it.
	usage          decayingSum
	activeWeight   float64
	virtualTime    float64 // start tag of the last started item
	startedWork    [classes]decayingSum
	queuedWork     [classes]float64 // per class
	waitingWeights [classes]float64 // sum of the weights of accounts with items in the class
	atRisk         [classes]bool    // whether items of the class would miss their deadlines
	est            estimator
	retries        retrySchedule
	refused        []Refusal
	lastCheck      time.Time
}

// New returns a queue with capacity 0. The queue owns rng and uses it to add jitter to
// Retry-After times.
func New(cfg Config, rng *rand.Rand) *Queue {
	cfg = cfg.withDefaults()
	return &Queue{
		cfg:      cfg,
		rng:      rng,
		accounts: make(map[string]*account),
		est:      estimator{perUnit: max(cfg.SecondsPerUnit, 0)},
	}
}

// SetCapacity sets the number of items that may run at once. With 0, all queued items are
// refused, since the time at which an endpoint returns is unknown.
func (q *Queue) SetCapacity(now time.Time, slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.capacity = max(slots, 0)
	if q.capacity == 0 && q.queued > 0 {
		q.refuseAll(now, ReasonNoCapacity)
	}
}

// Offer submits an item and returns whether it runs now, is queued or is refused.
func (q *Queue) Offer(now time.Time, it Item) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	if it.Size <= 0 {
		it.Size = 1
	}
	a := q.account(it)
	q.est.observeSize(it.Size)
	if q.capacity == 0 {
		return q.verdict(now, it, ReasonNoCapacity, 0)
	}
	w := &queuedItem{Item: it, key: now.Add(seconds(q.cfg.ShortFirst * q.est.perUnit * it.Size))}
	if late := q.lateness(now, a, w); late > 0 {
		return q.verdict(now, it, ReasonDeadline, late)
	}
	if q.queued >= q.cfg.MaxItems && !q.evict(now, a) {
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

// Next returns the next item to run. It returns false if no slot is free or no queued
// item may start.
func (q *Queue) Next(now time.Time) (Item, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.running < q.capacity && q.queued > 0 {
		a, class, ok := q.choose(now)
		if !ok {
			return Item{}, false
		}
		w := a.queues[class][0]
		if now.Add(q.est.serviceTime(w.Size)).After(w.Deadline) {
			q.take(a, class, 0)
			q.refuse(now, w.Item, ReasonDeadline, 0)
			continue
		}
		q.start(now, a, class)
		return w.Item, true
	}
	return Item{}, false
}

// Release frees the slot of an item that ran. elapsed is its service time, or 0 if the item
// failed and its time has no meaning. actual is the work that it took, or 0 if unknown.
func (q *Queue) Release(now time.Time, it Item, elapsed time.Duration, actual float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running = max(q.running-1, 0)
	if it.Size <= 0 {
		it.Size = 1
	}
	if elapsed > 0 {
		q.est.observeServiceTime(it.Size, elapsed)
	}
	if a := q.accounts[it.Account]; a != nil && actual > 0 {
		// The account is charged for the actual work instead of the expected work.
		a.finishTag += (actual - it.Size) / a.weight
	}
}

// PutBack frees the slot of an item that found no endpoint or is to be retried later, and
// queues it again ahead of its account's other items.
func (q *Queue) PutBack(now time.Time, it Item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running = max(q.running-1, 0)
	if it.Size <= 0 {
		it.Size = 1
	}
	a := q.account(it)
	a.finishTag -= it.Size / a.weight
	a.usage.add(now, -it.Size)
	q.usage.add(now, -it.Size)
	q.startedWork[it.Class].add(now, -it.Size)
	if q.capacity == 0 {
		q.refuse(now, it, ReasonNoCapacity, 0)
		return
	}
	q.push(a, &queuedItem{Item: it, key: time.Time{}})
}

// Remove removes a queued item whose caller has disconnected. It reports whether the item
// was queued.
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

// Refused returns the refusals of queued items since the last call. It is to be called
// after each other call, and every 100 ms while items are queued.
func (q *Queue) Refused(now time.Time) []Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.lastCheck) >= checkInterval {
		q.lastCheck = now
		q.check(now)
	}
	out := q.refused
	q.refused = nil
	return out
}

// Expected returns the expected service time of an item of the given size, with a margin
// of one mean absolute deviation.
func (q *Queue) Expected(size float64) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.est.serviceTime(size)
}

// Len returns the numbers of queued and running items.
func (q *Queue) Len() (waiting, running int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queued, q.running
}

// Forget removes an account that is no longer configured, unless it has queued items.
func (q *Queue) Forget(name string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.accounts[name]
	if a == nil || a.itemCount() > 0 {
		return
	}
	delete(q.accounts, name)
}

// account returns the item's account and creates it if necessary.
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
	if a.weight != weight && a.itemCount() == 0 {
		// A changed weight takes effect once the account has no queued items, so that the
		// sums of weights stay consistent.
		a.weight = weight
	}
	return a
}

// push adds an item to its account's queue.
func (q *Queue) push(a *account, w *queuedItem) {
	if a.itemCount() == 0 {
		a.backlogIndex = len(q.backlog)
		q.backlog = append(q.backlog, a)
	}
	if len(a.queues[w.Class]) == 0 {
		q.waitingWeights[w.Class] += a.weight
	}
	a.push(w)
	q.queuedWork[w.Class] += w.Size
	q.queued++
}

// take removes and returns the i-th item of an account and class.
func (q *Queue) take(a *account, class, i int) *queuedItem {
	w := a.remove(class, i)
	q.queuedWork[class] -= w.Size
	q.queued--
	if len(a.queues[class]) == 0 {
		q.waitingWeights[class] -= a.weight
	}
	if a.itemCount() == 0 {
		last := q.backlog[len(q.backlog)-1]
		q.backlog[a.backlogIndex] = last
		last.backlogIndex = a.backlogIndex
		q.backlog = q.backlog[:len(q.backlog)-1]
	}
	if q.queued == 0 {
		// Floating-point sums accumulate rounding errors, so they are reset when the
		// queue is empty.
		q.queuedWork = [classes]float64{}
		q.waitingWeights = [classes]float64{}
	}
	return w
}

// start moves an account's first item into a slot and charges the account.
func (q *Queue) start(now time.Time, a *account, class int) {
	w := q.take(a, class, 0)
	begin := max(q.virtualTime, a.finishTag)
	q.virtualTime = begin
	a.finishTag = begin + w.Size/a.weight
	a.usage.add(now, w.Size)
	q.usage.add(now, w.Size)
	q.startedWork[class].add(now, w.Size)
	q.running++
}
