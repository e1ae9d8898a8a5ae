package slot

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"goldcrestfork/fleet/rendezvous"
)

// model simulates a few processes, one platform object and some endpoints under stepped
// time. The clocks differ, and all faults are drawn from one seed. It counts the starts
// above the endpoints' limits.
type model struct {
	random      *rand.Rand
	params      Params
	policy      policy
	faults      faults
	now         time.Duration
	queue       []event
	seq         int
	procs       []*proc
	partitioned map[[2]string]bool
	limit       int
	running     map[string]int
	started     int
	overshot    int
	reports     map[string]int
	// last holds each endpoint's last start; stalled is the longest time between two
	// starts.
	last    map[string]time.Duration
	stalled time.Duration
	object  Epoch
	version int64
	storeUp bool
}

// policy is a way to share slots; exact is the one in production.
type policy uint8

const (
	exact policy = iota
	// oneOwner lets the VM that ranks first in the sender's own view own the whole endpoint;
	// others forward to it.
	oneOwner
	leasedOwner // like oneOwner, with the owner fixed by epoch, evidence and wait
	evenShare   // each VM takes the limit divided by the number of VMs, rounded up
	evenFloor   // like evenShare, rounded down
	optimistic  // every VM sends while the last load report shows free capacity
)

// faults holds the probability per second of each fault, per process or pair of
// processes.
type faults struct {
	crash, pause, partition, outage, change, loss float64
	// latency is the largest delay of a message.
	latency time.Duration
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

// proc is one VM; a restart replaces its process.
type proc struct {
	id            string
	table         *Table
	incarnation   int
	offset        time.Duration
	drift         float64
	pausedUntil   time.Duration
	storeCutUntil time.Duration  // the platform doesn't answer this VM before this time
	local         map[string]int // requests under way, for the policies without a table
	view          []string
}

const modelStep = 250 * time.Millisecond

var modelParams = Params{MaxEvidenceAge: 6 * time.Second, Start: 2 * time.Second, MaxJob: 6 * time.Second, Drift: 1000}

func newModel(seed uint64, p policy, f faults, procs, limit int) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 1)), params: modelParams, policy: p, faults: f, limit: limit,
		partitioned: map[[2]string]bool{}, running: map[string]int{}, reports: map[string]int{}, last: map[string]time.Duration{}, storeUp: true,
	}
	for i := range procs {
		m.procs = append(m.procs, &proc{id: fmt.Sprintf("vm-%d", i), offset: time.Duration(m.random.Int64N(int64(time.Hour))), drift: m.random.Float64()*0.002 - 0.001})
		m.restart(m.procs[i])
	}
	return m
}

func (m *model) restart(p *proc) {
	p.incarnation++
	p.local = map[string]int{}
	p.table = NewTable(Process{ID: p.id, Incarnation: uint64(p.incarnation)}, m.params)
}

// clock returns the process's own time, which is unrelated to that of the others.
func (m *model) clock(p *proc) time.Time {
	return time.Unix(1, 0).Add(p.offset + m.now + time.Duration(float64(m.now)*p.drift))
}

func (m *model) chance(aSecond float64) bool {
	return m.random.Float64() < aSecond*modelStep.Seconds()
}

func (m *model) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(d) + 1))
}

func (m *model) after(d time.Duration, run func()) {
	m.seq++
	m.queue = append(m.queue, event{at: m.now + d, seq: m.seq, run: run})
}

// onProc runs run in the current process of p: never after a restart, and delayed while
// p is paused.
func (m *model) onProc(d time.Duration, p *proc, run func()) {
	incarnation := p.incarnation
	var try func()
	try = func() {
		switch {
		case p.incarnation != incarnation:
		case p.pausedUntil > m.now:
			m.after(p.pausedUntil-m.now, try)
		default:
			run()
		}
	}
	m.after(d, try)
}

// send delivers a message from one process to another, late or never.
func (m *model) send(from, to *proc, run func()) {
	if m.partitioned[[2]string{from.id, to.id}] || m.random.Float64() < m.faults.loss {
		return
	}
	m.onProc(m.randomUpTo(m.faults.latency), to, run)
}

func (m *model) run(until time.Duration) {
	for m.now < until {
		next := m.now + modelStep
		for i := m.due(next); i >= 0; i = m.due(next) {
			e := m.queue[i]
			m.queue = slices.Delete(m.queue, i, i+1)
			m.now = max(m.now, e.at)
			e.run()
		}
		m.now = next
		m.injectFaults()
		for _, p := range m.procs {
			if p.pausedUntil <= m.now {
				m.step(p)
			}
		}
	}
}

// due returns the index of the next event up to a time, or -1.
func (m *model) due(before time.Duration) int {
	best := -1
	for i, e := range m.queue {
		if e.at <= before && (best < 0 || cmp.Or(cmp.Compare(e.at, m.queue[best].at), cmp.Compare(e.seq, m.queue[best].seq)) < 0) {
			best = i
		}
	}
	return best
}

func (m *model) injectFaults() {
	for _, p := range m.procs {
		if m.chance(m.faults.crash) {
			m.restart(p)
		}
		if m.chance(m.faults.pause) {
			p.pausedUntil = m.now + m.randomUpTo(20*time.Second)
		}
		if m.chance(m.faults.partition) {
			p.storeCutUntil = m.now + m.randomUpTo(30*time.Second)
		}
		for _, q := range m.procs {
			if m.chance(m.faults.partition) {
				way := [2]string{p.id, q.id}
				m.partitioned[way] = true
				m.after(m.randomUpTo(20*time.Second), func() { m.partitioned[way] = false })
			}
		}
	}
	if m.storeUp && m.chance(m.faults.outage) {
		m.storeUp = false
		m.after(m.randomUpTo(40*time.Second), func() { m.storeUp = true })
	}
	if m.now%(2*time.Second) == 0 {
		m.reports = map[string]int{}
		for e, n := range m.running {
			m.reports[e] = n
		}
	}
}

func (m *model) step(p *proc) {
	if m.policy == exact || m.policy == leasedOwner {
		if m.chance(0.7) {
			m.read(p)
		}
		if m.chance(0.3) {
			m.confirm(p)
		}
		if _, v := p.table.Epoch(); m.chance(m.faults.change) || v == 0 || m.chance(0.2) && m.missing(p) {
			m.propose(p)
		}
	} else if m.chance(0.2) || p.view == nil {
		m.refreshView(p)
	}
	if m.chance(2) {
		m.requestSlot(p, fmt.Sprintf("endpoint-%d", m.random.IntN(2)))
	}
}

// refreshView updates a process's own view, which lacks the VMs that are paused or
// partitioned from it.
func (m *model) refreshView(p *proc) {
	p.view = []string{p.id}
	for _, q := range m.procs {
		if q != p && q.pausedUntil <= m.now && !m.partitioned[[2]string{q.id, p.id}] {
			p.view = append(p.view, q.id)
		}
	}
}

func (m *model) read(p *proc) {
	asked := m.clock(p)
	if !m.storeUp || p.storeCutUntil > m.now || m.random.Float64() < m.faults.loss {
		return
	}
	m.after(m.randomUpTo(time.Second), func() {
		e, v := m.object, m.version
		if v > 0 {
			m.onProc(m.randomUpTo(3*time.Second), p, func() { p.table.Observe(m.clock(p), asked, e, v) })
		}
	})
}

// missing reports whether the current process of some VM is not in the epoch yet.
func (m *model) missing(p *proc) bool {
	e, _ := p.table.Epoch()
	for _, q := range m.procs {
		if !slices.Contains(e.Members, q.table.self) {
			return true
		}
	}
	return false
}

func (m *model) propose(p *proc) {
	var members []Process
	for _, q := range m.procs {
		if m.random.Float64() > m.faults.change*5 {
			members = append(members, q.table.self)
		}
	}
	next, version, ok := p.table.Propose(members, m.gone)
	if !ok || len(members) == 0 {
		p.table.ProposalFailed()
		return
	}
	asked := m.clock(p)
	if !m.storeUp {
		p.table.ProposalFailed()
		return
	}
	p.table.ProposalUnknown()
	m.after(m.randomUpTo(3*time.Second), func() {
		if m.version != version {
			return
		}
		m.object, m.version = next, m.version+1
		v := m.version
		if m.random.Float64() > m.faults.loss*3 {
			m.onProc(m.randomUpTo(time.Second), p, func() { p.table.Observe(m.clock(p), asked, next, v) })
		}
	})
}

func (m *model) gone(process Process) bool {
	return !slices.ContainsFunc(m.procs, func(p *proc) bool { return p.table.self == process })
}

func (m *model) findProc(process Process) *proc {
	for _, p := range m.procs {
		if p.table.self == process {
			return p
		}
	}
	return nil
}

// confirm asks all other members, as a process does during an outage.
func (m *model) confirm(p *proc) {
	e, _ := p.table.Epoch()
	asked, missing := m.clock(p), len(e.Members)
	yes := func() {
		if missing--; missing == 0 {
			p.table.RecordConfirmation(asked, e.Number)
		}
	}
	for _, other := range e.Members {
		if other == p.table.self {
			yes()
			continue
		}
		// The message goes to the VM, which may have been restarted since.
		q := m.procs[slices.IndexFunc(m.procs, func(q *proc) bool { return q.id == other.ID })]
		m.send(p, q, func() {
			if q.table.Confirm(other, e.Number) {
				m.send(q, p, yes)
			}
		})
	}
}

func (m *model) requestSlot(p *proc, endpoint string) {
	switch m.policy {
	case exact:
		m.requestExact(p, endpoint)
	case leasedOwner:
		m.requestLeased(p, endpoint)
	case oneOwner:
		owner := rendezvous.Best(endpoint, p.view)
		for _, q := range m.procs {
			if q.id == owner {
				m.send(p, q, func() { m.startLocal(q, endpoint, m.limit) })
			}
		}
	case evenShare:
		m.startLocal(p, endpoint, (m.limit+len(p.view)-1)/len(p.view))
	case evenFloor:
		m.startLocal(p, endpoint, m.limit/len(p.view))
	case optimistic:
		if m.reports[endpoint] < m.limit {
			m.job(endpoint, func() {})
		}
	}
}

func (m *model) startLocal(p *proc, endpoint string, share int) {
	if p.local[endpoint] >= share {
		return
	}
	p.local[endpoint]++
	incarnation := p.incarnation
	m.after(m.randomUpTo(m.faults.latency)+m.randomUpTo(m.maxFlight()), func() {
		m.job(endpoint, func() {
			if p.incarnation == incarnation {
				p.local[endpoint]--
			}
		})
	})
}

// requestLeased forwards to the holder of the endpoint, which runs the request while
// its evidence is valid.
func (m *model) requestLeased(p *proc, endpoint string) {
	k := slotKey{endpoint: endpoint}
	holder, _ := p.table.holder(k)
	if q := m.findProc(holder); q != nil {
		m.send(p, q, func() {
			held, ok := q.table.tenureAt(k, q.table.epoch.Number)
			if ok && q.table.Valid(m.clock(q)) && q.table.exclusive(m.clock(q), k, held) {
				m.startLocal(q, endpoint, m.limit)
			}
		})
	}
}

func (m *model) requestExact(p *proc, endpoint string) {
	if g, ok, sources := p.table.Acquire(m.clock(p), endpoint, m.limit); ok {
		m.use(p, g)
	} else {
		for _, a := range sources {
			if q := m.findProc(a.Process); q != nil {
				m.sendSourceRequest(p, q, endpoint, a)
			}
		}
	}
}

func (m *model) sendSourceRequest(p, q *proc, endpoint string, a Source) {
	if a.Kind == Handover {
		m.send(p, q, func() {
			if q.table.HandOver(m.clock(q), endpoint, a.Index, a.Epoch) {
				m.send(q, p, func() { p.table.RecordHandOver(endpoint, a.Index, a.Epoch) })
				return
			}
			before, ok := q.table.PriorHandOver(m.clock(q), endpoint, a.Index, a.Epoch)
			if r := m.findProc(before.Process); ok && r != nil && r != q {
				m.sendSourceRequest(q, r, endpoint, before)
			}
		})
		return
	}
	id, asked := p.table.NewLoan(), m.clock(p)
	m.send(p, q, func() {
		if !q.table.Lend(m.clock(q), endpoint, m.limit, id) {
			return
		}
		m.send(q, p, func() {
			g, ok := p.table.AcceptLoan(m.clock(p), asked, endpoint, a.Process, id)
			if !ok {
				m.returnGrant(p, g)
				return
			}
			m.use(p, g)
		})
	})
}

func (m *model) returnGrant(p *proc, g Grant) {
	p.table.Release(g.ID)
	if q := m.findProc(g.Lender); q != nil {
		m.send(p, q, func() { q.table.Return(g.Loan) })
	}
}

// use sends the request a little later if it may still start; the process may be paused
// in between.
func (m *model) use(p *proc, g Grant) {
	m.onProc(m.randomUpTo(m.faults.latency), p, func() {
		if !g.MayStart(m.clock(p)) {
			m.returnGrant(p, g)
			return
		}
		m.after(m.randomUpTo(m.maxFlight()), func() {
			m.job(g.Endpoint, func() { m.onProc(m.randomUpTo(m.faults.latency), p, func() { m.returnGrant(p, g) }) })
		})
	})
}

// maxFlight bounds a request's way to the endpoint, as Params.Start does.
func (m *model) maxFlight() time.Duration { return min(m.params.Start/2-modelStep, m.faults.latency) }

// job runs a request at the endpoint, independent of the process that sent it.
func (m *model) job(endpoint string, done func()) {
	m.started++
	if last, ok := m.last[endpoint]; ok {
		m.stalled = max(m.stalled, m.now-last)
	}
	m.last[endpoint] = m.now
	m.running[endpoint]++
	if m.running[endpoint] > m.limit {
		m.overshot++
	}
	// Half of the jobs take the longest time allowed, since faults in the bounds show
	// there.
	took := m.params.MaxJob - modelStep
	if m.random.IntN(2) == 0 {
		took = m.randomUpTo(took)
	}
	m.after(took, func() {
		m.running[endpoint]--
		done()
	})
}
