package slot

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"goldcrestfork/fleet/member"
	"goldcrestfork/fleet/peer"
	"goldcrestfork/standin/store"
)

// bus carries calls between services in memory. Calls to and from a VM in partitioned
// fail.
type bus struct {
	mu          sync.Mutex
	methods     map[string]map[string]peer.Handler
	partitioned map[string]bool
	calls       int
	bytes       int
}

type busLink struct {
	bus *bus
	id  string
}

func (l busLink) Register(method string, h peer.Handler) {
	if l.bus.methods[l.id] == nil {
		l.bus.methods[l.id] = map[string]peer.Handler{}
	}
	l.bus.methods[l.id][method] = h
}

func (l busLink) Call(ctx context.Context, t peer.Target, method string, body []byte) ([]byte, error) {
	l.bus.mu.Lock()
	l.bus.calls++
	l.bus.bytes += len(body)
	blocked := l.bus.partitioned[l.id] || l.bus.partitioned[t.ID]
	l.bus.mu.Unlock()
	if blocked {
		return nil, peer.ErrNotSent
	}
	return l.bus.methods[t.ID][method](ctx, l.id, body)
}

// aliveMembership is a membership in which all VMs are alive.
type aliveMembership struct {
	self    member.Digest
	members []member.Member
}

func (v aliveMembership) Self() member.Digest                     { return v.self }
func (v aliveMembership) Fresh(time.Time) bool                    { return true }
func (v aliveMembership) ListAge(time.Time) (time.Duration, bool) { return 0, true }
func (v aliveMembership) Members(time.Time) (others []member.Member) {
	for _, m := range v.members {
		if m.ID != v.self.ID {
			others = append(others, m)
		}
	}
	return others
}

func newServices(n int, s Store) (*bus, []*Service) {
	b := &bus{methods: map[string]map[string]peer.Handler{}, partitioned: map[string]bool{}}
	var members []member.Member
	for i := range n {
		d := member.Digest{ID: fmt.Sprintf("vm-%03d", i), Address: fmt.Sprintf("10.0.0.%d:7000", i), Incarnation: 1}
		members = append(members, member.Member{Digest: d, State: member.Alive})
	}
	var all []*Service
	for _, m := range members {
		all = append(all, NewService(Options{
			Params: Defaults, Store: s, Link: busLink{bus: b, id: m.ID},
			Membership: aliveMembership{self: m.Digest, members: members},
		}))
	}
	return b, all
}

// acquireAll lets each VM request slots of one cold endpoint, three times over.
func acquireAll(all []*Service, limit int) (grants []Grant, by []*Service) {
	for range 3 {
		for _, s := range all {
			if g, ok, _ := s.Acquire(context.Background(), "e", limit); ok {
				grants, by = append(grants, g), append(by, s)
			}
		}
	}
	return grants, by
}

// Seven VMs have work for an endpoint with a cold limit of 3 while the platform is down
// for longer than any evidence is valid. As long as all members confirm the epoch,
// exactly three slots must be usable. Once a VM can't be reached no slot is safe, and
// none may be granted.
func TestSlotsThroughAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := store.New()
		b, all := newServices(7, platform)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for _, s := range all {
			running.Go(func() { s.Run(ctx) })
		}
		check := func(want int) {
			grants, by := acquireAll(all, 3)
			require.Len(t, grants, want)
			for i, g := range grants {
				by[i].Release(g)
			}
			synctest.Wait()
		}
		time.Sleep(Defaults.Wait() + 3*Defaults.MaxEvidenceAge)
		check(3)
		check(3)
		platform.SetFaults(store.Faults{Down: true})
		time.Sleep(10 * time.Minute)
		check(3)
		b.mu.Lock()
		b.partitioned["vm-004"] = true
		b.mu.Unlock()
		time.Sleep(2 * Defaults.MaxEvidenceAge)
		check(0)
		platform.SetFaults(store.Faults{})
		time.Sleep(Defaults.MaxEvidenceAge)
		require.True(t, all[4].Dump(time.Now()).Valid)
		cancel()
		running.Wait()
		for _, s := range all {
			s.Close()
		}
	})
}

// The reply to an epoch write is lost, with or without effect. Until the writer knows
// the outcome the write may still take effect, so the writer must not confirm the old
// epoch to another member. Afterwards it must continue from whichever epoch took
// effect.
func TestUnknownEpochWriteKeepsTheProposalOpen(t *testing.T) {
	for name, faults := range map[string]store.Faults{
		"took effect": {LoseReplies: 1},
		"no effect":   {RefuseWrites: 1},
	} {
		t.Run(name, func(t *testing.T) {
			platform := store.New()
			_, all := newServices(2, platform)
			ctx, writer := context.Background(), all[0]
			for all[0].Epoch() == 0 || all[1].Epoch() == 0 {
				all[0].round(ctx)
				all[1].round(ctx)
			}
			self := writer.table.self
			require.True(t, writer.table.Confirm(self, 1))
			writer.Drain()
			platform.SetFaults(faults)
			for before := platform.Counts().Puts; platform.Counts().Puts == before; {
				writer.round(ctx)
			}
			require.False(t, writer.table.Confirm(self, 1))
			for writer.Epoch() == 1 {
				writer.round(ctx)
			}
			e, _ := writer.table.Epoch()
			require.EqualValues(t, 2, e.Number)
			require.Equal(t, []Process{all[1].table.self}, e.Members)
		})
	}
}

// A member restarts during an outage. Its new process answers at the same address and
// knows the epoch, but not what the process before it tried to write, so it must not
// confirm in its place.
func TestRestartedMemberDoesNotConfirm(t *testing.T) {
	before, after := Process{ID: "a", Incarnation: 1}, Process{ID: "a", Incarnation: 2}
	table := NewTable(after, Defaults)
	now := time.Unix(1000, 0)
	table.Observe(now, now, Epoch{}.next([]Process{before}), 1)
	require.False(t, table.Confirm(before, 1))
}

func FuzzDecode(f *testing.F) {
	p := Process{ID: "a", Incarnation: 1}
	for _, v := range []any{
		lendRequest{Endpoint: "e", Limit: 2, Loan: LoanID{Borrower: p, Number: 1}},
		handOverRequest{Endpoint: "e", Index: 1, Epoch: 2}, confirmRequest{Member: p, Number: 3},
		Epoch{}.next([]Process{p}).next(nil),
	} {
		data, err := cbor.Marshal(v)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		now := time.Unix(1000, 0)
		table := NewTable(p, Defaults)
		table.Observe(now, now, Epoch{}.next([]Process{p}), 1)
		if e, err := DecodeEpoch(data); err == nil {
			table.Observe(now, now, e, 2)
		}
		if r, err := decode[lendRequest](data); err == nil {
			table.Lend(now, r.Endpoint, r.Limit, r.Loan)
		}
		if r, err := decode[handOverRequest](data); err == nil {
			table.HandOver(now, r.Endpoint, r.Index, r.Epoch)
		}
		if r, err := decode[confirmRequest](data); err == nil {
			table.Confirm(r.Member, r.Number)
		}
	})
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkAcquire measures a decision when no slot is idle, and the memory that a
// process keeps for 2,000 cold endpoints and the size of an epoch read, by the number
// of members.
func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{7, 28, 112, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var members []Process
			for i := range n {
				members = append(members, Process{ID: fmt.Sprintf("vm-%03d", i), Incarnation: 1_764_000_000_000_000_000})
			}
			e := Epoch{}.next(members)
			data, err := e.Encode()
			require.NoError(b, err)
			now, before := time.Unix(1000, 0), heap()
			table := NewTable(members[0], Defaults)
			table.Observe(now, now, e, 1)
			for i := range 2000 {
				table.Acquire(now, fmt.Sprintf("endpoint-%d", i), 4)
			}
			kept := heap() - before
			b.ReportAllocs()
			for b.Loop() {
				table.Acquire(now, "endpoint", 4)
			}
			b.ReportMetric(float64(len(data)), "B/epoch-read")
			b.ReportMetric(float64(kept), "heap-B")
		})
	}
}

// BenchmarkOutage reports, by the number of members, the peer calls that a VM makes and
// answers per second while the platform is down, and the bytes of their bodies.
func BenchmarkOutage(b *testing.B) {
	for _, n := range []int{7, 28, 112} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			platform := store.New()
			bus, all := newServices(n, platform)
			for all[0].Epoch() == 0 || len(all[0].table.epoch.Members) < n {
				for _, s := range all {
					s.round(context.Background())
				}
			}
			for _, s := range all {
				s.round(context.Background())
			}
			platform.SetFaults(store.Faults{Down: true})
			bus.calls, bus.bytes = 0, 0
			rounds := 0
			for b.Loop() {
				for _, s := range all {
					s.round(context.Background())
				}
				rounds++
			}
			seconds := float64(rounds) * outageInterval.Seconds()
			b.ReportMetric(2*float64(bus.calls)/float64(n)/seconds, "calls/VM/s")
			b.ReportMetric(2*float64(bus.bytes)/float64(n)/seconds, "body-B/VM/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}
