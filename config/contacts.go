package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"goldcrestfork/config/staleness"
)

// Member is another VM that can be asked for its evidence.
type Member struct {
	VM         string
	DataCentre string
	// Watcher reports whether the VM is one of those that hold the watch on the platform in its
	// data centre.
	Watcher bool
}

// Contacts asks the other VMs about the configuration and notifies them of new revisions.
type Contacts interface {
	// Members lists the other VMs that are believed to be alive.
	Members() []Member
	// Ask returns the result of Cache.Evidence on another VM. It takes one round trip, so the
	// answer is no older than the request and doesn't depend on either VM's clock.
	Ask(ctx context.Context, vm string) (staleness.Evidence, error)
	// Notify calls Cache.Hint on another VM with the revision in force on this VM.
	Notify(ctx context.Context, vm string, revision int64) error
}

// Periods and timeouts of the requests for evidence.
const (
	// askPeriod is the mean interval between requests to a watcher; jitter raises it to 2.25 s
	// at most. Together with two rotations of the watcher's watch, a confirmation is 9.5 s old
	// at most, which is below directReadAge.
	askPeriod = 1500 * time.Millisecond
	// askTimeout bounds one request. It is longer than a round trip between regions (about 300
	// ms) and shorter than askPeriod.
	askTimeout = time.Second
)

// poller asks other VMs for their evidence and keeps their latest answers.
type poller struct {
	contacts Contacts
	metrics  *Metrics

	// mu guards reports. No other lock is taken while mu is held.
	mu      sync.Mutex
	reports map[string]staleness.Report
}

// ask asks one VM and keeps its answer with the time of the request. It reports whether the VM
// answered.
func (q *poller) ask(ctx context.Context, m Member) bool {
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
	q.reports[m.VM] = staleness.Report{VM: m.VM, DataCentre: m.DataCentre, AskedAt: start, Evidence: evidence}
	return true
}

// recentReports returns the reports that are no older than staleness.MaxConfirmationAge and
// removes the others.
func (q *poller) recentReports(now time.Time) []staleness.Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	reports := make([]staleness.Report, 0, len(q.reports))
	for vm, r := range q.reports {
		if now.Sub(r.AskedAt) > staleness.MaxConfirmationAge {
			delete(q.reports, vm)
			continue
		}
		reports = append(reports, r)
	}
	return reports
}

// askRandom asks a random watcher of the data centre, or any other VM if no watcher is known.
// It returns the VM's name and whether it answered.
func (q *poller) askRandom(ctx context.Context, dataCentre string) (string, bool) {
	members := q.contacts.Members()
	m, ok := pickRandom(members, func(m Member) bool { return m.DataCentre == dataCentre && m.Watcher })
	if !ok {
		m, ok = pickRandom(members, func(Member) bool { return true })
	}
	return m.VM, ok && q.ask(ctx, m)
}

// lastRevision returns the revision in a VM's last answer.
func (q *poller) lastRevision(vm string) int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.reports[vm].Revision
}

// maxAsksPerDataCentre bounds the VMs of a data centre that are asked in one call of
// askDataCentres.
const maxAsksPerDataCentre = 2

// askDataCentres asks one VM of each data centre concurrently. It makes as many calls as there
// are data centres, so it runs only while no confirmation is recent enough and before an
// operator's change is accepted.
func (q *poller) askDataCentres(ctx context.Context) {
	byDataCentre := make(map[string][]Member)
	for _, m := range q.contacts.Members() {
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
	}
	var wg sync.WaitGroup
	for _, members := range byDataCentre {
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		wg.Go(func() {
			for _, m := range members[:min(len(members), maxAsksPerDataCentre)] {
				if q.ask(ctx, m) {
					return
				}
			}
		})
	}
	wg.Wait()
}

// pickRandom returns a random member among those for which want returns true.
func pickRandom(members []Member, want func(Member) bool) (Member, bool) {
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

// pollPeers asks the other VMs for their evidence until ctx ends: it asks one watcher a period,
// and all data centres while no confirmation is recent enough.
func (c *Cache) pollPeers(ctx context.Context) {
	for ctx.Err() == nil {
		switch now := time.Now(); {
		case c.evaluate(now).Age(now) > directReadAge:
			c.poller.askDataCentres(ctx)
		case !c.opts.Peers.Watcher():
			c.askWatcher(ctx)
		}
		sleep(ctx, jitter(askPeriod))
	}
}

// askWatcher asks a watcher for its evidence. Evidence about a later revision confirms nothing
// for this VM until it has that revision, so askWatcher fetches the configuration at once.
func (c *Cache) askWatcher(ctx context.Context) {
	vm, ok := c.poller.askRandom(ctx, c.opts.DataCentre)
	have := c.Revision()
	if ok && c.poller.lastRevision(vm) > have {
		c.fetch(ctx, vm, have)
	}
}

// hint is a notice that a VM has a revision.
type hint struct {
	vm       string
	revision int64
}

// Hint records that another VM has a revision, so that this VM fetches it at once instead of
// after the next heartbeat. A lost hint delays the fetch until then; a false one costs one
// fetch.
func (c *Cache) Hint(vm string, revision int64) {
	if revision <= c.Revision() {
		return
	}
	select {
	case c.hints <- hint{vm, revision}:
	default:
	}
}

// waitForHint waits for d, or for a hint of a later revision, which it fetches.
func (c *Cache) waitForHint(ctx context.Context, d time.Duration) {
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

// announce notifies the other VMs of this data centre of each new revision while this VM is a
// watcher. Heartbeats carry the revision too, but up to a second later.
func (c *Cache) announce(ctx context.Context) {
	announced := c.Revision()
	for ctx.Err() == nil {
		changed := c.Changed()
		if revision := c.Revision(); revision > announced && c.opts.Peers.Watcher() {
			announced = revision
			c.notifyDataCentre(ctx, revision)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// notifyDataCentre notifies the other VMs of this data centre of a revision. It leaves out the
// watchers, which learn of it from the platform.
func (c *Cache) notifyDataCentre(ctx context.Context, revision int64) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range c.opts.Contacts.Members() {
		if m.DataCentre != c.opts.DataCentre || m.Watcher {
			continue
		}
		wg.Go(func() {
			outcome := "told"
			if err := c.opts.Contacts.Notify(ctx, m.VM, revision); err != nil {
				// A VM that isn't reached learns the revision from heartbeats.
				outcome = "failed"
			}
			c.opts.Metrics.Notices.WithLabelValues(outcome).Inc()
		})
	}
	wg.Wait()
}
