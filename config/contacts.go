package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"goldcrestfork/config/staleness"
)

// Member is another VM that may be asked for its evidence.
type Member struct {
	VM         string
	DataCentre string
	// Watcher: it ranks among those of its data centre that hold the platform's watch.
	Watcher bool
}

// Contacts is how a VM asks others what they know of the configuration.
type Contacts interface {
	// Members lists the other VMs that are thought to live.
	Members() []Member
	// Ask asks one VM for its evidence, which is its Cache.Evidence. One round trip:
	// an answer is as old as the question at most, whatever either VM's clock says.
	Ask(ctx context.Context, vm string) (staleness.Evidence, error)
	// Tell tells one VM which revision is in force here; it calls its Cache.Hint.
	Tell(ctx context.Context, vm string, revision int64) error
}

// Periods of asking.
const (
	// askPeriod is the mean pause between questions to a watcher, 2.25 s at most. With
	// two rotations of a watch before it, a proof is 9.5 s old at most, below readAfter.
	askPeriod = 1500 * time.Millisecond
	// askTimeout bounds one question: above a round trip between regions (estimated
	// at 300 ms), below askPeriod.
	askTimeout = time.Second
)

// inquiry keeps what the others answered lately.
type inquiry struct {
	contacts Contacts
	metrics  *Metrics

	// mu guards reports. It is a leaf.
	mu      sync.Mutex
	reports map[string]staleness.Report
}

// ask asks one VM and keeps its answer, dated to the question.
func (q *inquiry) ask(ctx context.Context, m Member) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	start := time.Now()
	evidence, err := q.contacts.Ask(ctx, m.VM)
	if err != nil {
		q.metrics.Questions.WithLabelValues("failed").Inc()
		return false
	}
	q.metrics.Questions.WithLabelValues("answered").Inc()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reports[m.VM] = staleness.Report{VM: m.VM, DataCentre: m.DataCentre, Echoed: start, Evidence: evidence}
	return true
}

// recent returns the reports that still count and drops those that don't.
func (q *inquiry) recent(now time.Time) []staleness.Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	reports := make([]staleness.Report, 0, len(q.reports))
	for vm, r := range q.reports {
		if now.Sub(r.Echoed) > staleness.Bound {
			delete(q.reports, vm)
			continue
		}
		reports = append(reports, r)
	}
	return reports
}

// one asks a random watcher of the data centre, or any other VM when none is
// known, and returns who answered.
func (q *inquiry) one(ctx context.Context, dataCentre string) (string, bool) {
	members := q.contacts.Members()
	m, ok := pick(members, func(m Member) bool { return m.DataCentre == dataCentre && m.Watcher })
	if !ok {
		m, ok = pick(members, func(Member) bool { return true })
	}
	return m.VM, ok && q.ask(ctx, m)
}

// revision is what a VM answered last.
func (q *inquiry) revision(vm string) int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.reports[vm].Revision
}

// attemptsEach is how many VMs of a data centre are asked before it counts as silent in a round.
const attemptsEach = 2

// round asks a VM of each data centre at once. It costs as many calls as there
// are data centres, so it is kept for a missing proof and for an operator's change.
func (q *inquiry) round(ctx context.Context) {
	places := make(map[string][]Member)
	for _, m := range q.contacts.Members() {
		places[m.DataCentre] = append(places[m.DataCentre], m)
	}
	var wg sync.WaitGroup
	for _, members := range places {
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		wg.Go(func() {
			for _, m := range members[:min(len(members), attemptsEach)] {
				if q.ask(ctx, m) {
					return
				}
			}
		})
	}
	wg.Wait()
}

// pick returns a random member among those wanted.
func pick(members []Member, want func(Member) bool) (Member, bool) {
	var found Member
	n := 0
	for _, m := range members {
		if !want(m) {
			continue
		}
		n++
		if rand.IntN(n) == 0 {
			found = m
		}
	}
	return found, n > 0
}

// inquire asks the others until ctx ends: a watcher now and then, and all data
// centres while no proof is fresh enough.
func (c *Cache) inquire(ctx context.Context) {
	for ctx.Err() == nil {
		switch now := time.Now(); {
		case c.judge(now).Age(now) > readAfter:
			c.inquiry.round(ctx)
		case !c.opts.Peers.Watcher():
			c.askOne(ctx)
		}
		sleep(ctx, jitter(askPeriod))
	}
}

// askOne asks a watcher. One that is ahead proves nothing for this VM until its
// configuration is taken, so that is done at once.
func (c *Cache) askOne(ctx context.Context) {
	vm, ok := c.inquiry.one(ctx, c.opts.DataCentre)
	have := c.Revision()
	if ok && c.inquiry.revision(vm) > have {
		c.fetch(ctx, vm, have)
	}
}

// hint says that a VM has a revision.
type hint struct {
	vm       string
	revision int64
}

// Hint notes that another VM has a revision, so that it is taken at once instead
// of with the next heartbeat. A hint that is lost or invented costs a question.
func (c *Cache) Hint(vm string, revision int64) {
	if revision <= c.Revision() {
		return
	}
	select {
	case c.hints <- hint{vm, revision}:
	default:
	}
}

// idle waits, and takes the configuration of a VM that says it has a newer one.
func (c *Cache) idle(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case h := <-c.hints:
		if have := c.Revision(); h.revision > have {
			c.fetch(ctx, h.vm, have)
		}
	case <-t.C:
	case <-ctx.Done():
	}
}

// announce tells the other VMs of this data centre of each new revision while this
// one is a watcher. Heartbeats bring it too, but up to a second later.
func (c *Cache) announce(ctx context.Context) {
	told := c.Revision()
	for ctx.Err() == nil {
		changed := c.Changed()
		if revision := c.Revision(); revision > told && c.opts.Peers.Watcher() {
			told = revision
			c.tellAll(ctx, revision)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (c *Cache) tellAll(ctx context.Context, revision int64) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range c.opts.Contacts.Members() {
		if m.DataCentre != c.opts.DataCentre || m.Watcher {
			continue
		}
		wg.Go(func() {
			outcome := "told"
			if err := c.opts.Contacts.Tell(ctx, m.VM, revision); err != nil {
				// One that isn't reached hears of it by heartbeats.
				outcome = "failed"
			}
			c.opts.Metrics.Notices.WithLabelValues(outcome).Inc()
		})
	}
	wg.Wait()
}
