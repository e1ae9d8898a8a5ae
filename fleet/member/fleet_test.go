package member

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"goldcrestfork/durable"
	"goldcrestfork/fleet/peer"
)

// seed initialises all random loss in this package's tests.
const seed = 20261202

// fleet connects tables in memory under stepped time, to test what the VMs conclude
// together.
type fleet struct {
	now    time.Time
	tables map[string]*Table
	byAddr map[string]string
	// partitioned reports whether messages from one VM to another are lost.
	partitioned func(from, to string) bool
	paused      map[string]bool
	// bytes and messages count the traffic sent.
	bytes, messages int
	random          *rand.Rand
	loss            float64
}

// incarnation has the size of a wall-clock start time in nanoseconds.
const incarnation = 1_764_000_000_000_000_000

func vmID(i int) string { return fmt.Sprintf("vm-%03d", i) }

func newFleet(n, dataCentres int) *fleet {
	f := &fleet{
		now: time.Unix(1_000_000, 0), tables: map[string]*Table{}, byAddr: map[string]string{},
		partitioned: func(string, string) bool { return false }, paused: map[string]bool{},
		random: rand.New(rand.NewPCG(seed, 0)),
	}
	for i := range n {
		f.start(vmID(i), fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), dc(i, dataCentres), incarnation)
	}
	f.list()
	return f
}

func dc(i, dataCentres int) string { return fmt.Sprintf("dc-%02d", i%dataCentres) }

func (f *fleet) start(id, addr, dataCentre string, incarnation uint64, seeds ...peer.Target) *Table {
	f.tables[id] = NewTable(f.now, Self{ID: id, Address: addr, CallerAddress: addr, DataCentre: dataCentre, Incarnation: incarnation, Seeds: seeds})
	f.byAddr[addr] = id
	return f.tables[id]
}

// list gives every VM the platform's current list.
func (f *fleet) list() {
	var vms []durable.VM
	for id, t := range f.tables {
		vms = append(vms, durable.VM{ID: id, Address: t.self.Address, DataCentre: t.self.DataCentre})
	}
	for _, t := range f.tables {
		t.ObserveList(f.now, f.now, vms)
	}
}

func (f *fleet) lost(from, to string) bool {
	return f.paused[to] || f.partitioned(from, to) || f.random.Float64() < f.loss
}

// step runs one tick of each VM; messages arrive at once, in the order sent.
func (f *fleet) step() {
	f.now = f.now.Add(Tick)
	for i := range len(f.tables) * 2 {
		id := vmID(i)
		t := f.tables[id]
		if t == nil || f.paused[id] {
			continue
		}
		for _, o := range t.Tick(f.now) {
			f.deliver(id, o)
		}
	}
}

func (f *fleet) deliver(from string, o Outgoing) {
	to := f.byAddr[o.To.Address]
	f.count(o.Message)
	if f.tables[to] == nil || (o.To.ID != "" && o.To.ID != to) || f.lost(from, to) {
		return
	}
	answer, ok := f.tables[to].Receive(f.now, from, o.Message)
	if !ok {
		return
	}
	f.count(answer)
	if !f.lost(to, from) {
		f.tables[from].Receive(f.now, to, answer)
	}
}

func (f *fleet) count(m Message) {
	data, err := m.Encode()
	if err != nil {
		panic(err)
	}
	if len(data) > maxMessage+40 {
		panic(fmt.Sprintf("message of %d bytes", len(data)))
	}
	f.bytes += len(data)
	f.messages++
}

// sync makes each VM synchronise with a peer, as Service does at intervals.
func (f *fleet) sync(turn int) {
	for _, t := range f.tables {
		if to, ok := t.syncTarget(turn); ok && f.tables[to.ID] != nil {
			t.MergeDigests(f.now, f.tables[to.ID].Digests())
		}
	}
}

// until steps until done holds and returns the number of ticks taken, or limit if done
// never holds.
func (f *fleet) until(limit int, done func() bool) int {
	for n := range limit {
		if done() {
			return n
		}
		f.step()
	}
	return limit
}

// state returns one VM's view of another.
func (f *fleet) state(of, by string) State {
	if r := f.tables[by].rows[of]; r != nil {
		return r.state
	}
	return Down
}

// all reports whether each running VM except id sees id in one of the states.
func (f *fleet) all(id string, states ...State) bool {
	for by := range f.tables {
		if by == id || f.paused[by] {
			continue
		}
		ok := false
		for _, s := range states {
			ok = ok || f.state(id, by) == s
		}
		if !ok {
			return false
		}
	}
	return true
}

func (f *fleet) converged() bool {
	for id := range f.tables {
		if !f.all(id, Alive) {
			return false
		}
	}
	return true
}

func benchmarkFleet(b *testing.B, n, dataCentres int) {
	before := heap()
	f := newFleet(n, dataCentres)
	turn := 0
	start := f.until(300, func() bool {
		if turn++; turn == 2 || turn%int(syncInterval/Tick) == 0 {
			f.sync(turn)
		}
		return f.converged()
	})
	kept := heap() - before
	f.bytes, f.messages = 0, 0
	ticks := 0
	for b.Loop() {
		f.step()
		ticks++
	}
	perNode := float64(ticks * n)
	b.ReportMetric(float64(f.bytes)/perNode, "B/node/tick")
	b.ReportMetric(float64(f.messages)/perNode, "msg/node/tick")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/perNode, "cpu-ns/node/tick")
	b.ReportMetric(float64(start), "ticks-to-converge")
	b.ReportMetric(float64(kept)/float64(n), "heap-B/node")
	b.ReportMetric(0, "ns/op")
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func BenchmarkHeartbeats(b *testing.B) {
	for _, n := range []int{7, 28, 112, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkFleet(b, n, max(3, n/21)) })
	}
}

// BenchmarkNews measures, in ticks, how long all VMs take to notice a killed VM (and
// drop it from address answers), to mark it down, and to learn of one that drains.
func BenchmarkNews(b *testing.B) {
	for _, n := range []int{7, 28, 112, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var noticed, down, drain, runs int
			for b.Loop() {
				f := newFleet(n, max(3, n/21))
				f.until(300, f.converged)
				victim := vmID(runs % n)
				f.tables[victim].Drain()
				drain += f.until(200, func() bool { return f.allDraining(victim) })
				victim = vmID((runs + 1) % n)
				f.paused[victim] = true
				noticed += f.until(200, func() bool { return f.all(victim, Suspect, Down) })
				down += f.until(200, func() bool { return f.all(victim, Down) })
				runs++
			}
			b.ReportMetric(float64(drain)/float64(runs), "ticks-drain-known")
			b.ReportMetric(float64(noticed)/float64(runs), "ticks-kill-noticed")
			b.ReportMetric(float64(noticed+down)/float64(runs), "ticks-kill-down")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func (f *fleet) allDraining(id string) bool {
	for by, t := range f.tables {
		if by != id && !t.rows[id].digest.Draining {
			return false
		}
	}
	return true
}
