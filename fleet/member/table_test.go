package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/fleet/peer"
)

// started returns 14 VMs in four data centres that all see each other alive.
func started(t *testing.T) *fleet {
	f := newFleet(14, 4)
	require.Less(t, f.until(40, f.converged), 40)
	return f
}

// Some datagrams get lost, then a VM is killed. The loss must not mark any VM down. All
// must notice the kill within a few ticks; a late beat must not mark the dead VM alive
// again; a new VM at its address replaces it.
func TestKilledVMIsNoticedAndReplaced(t *testing.T) {
	f := newFleet(60, 4)
	require.Less(t, f.until(60, f.converged), 60)
	total := func(count func(Counts) int) (sum int) {
		for _, table := range f.tables {
			sum += count(table.Counts)
		}
		return sum
	}
	down := func(c Counts) int { return c.WentDown }
	denials := func(c Counts) int { return c.Denials }
	anyDown := total(down)
	f.loss = 0.02
	f.until(30, func() bool { return false })
	f.loss = 0
	f.until(10, func() bool { return false })
	require.Equal(t, anyDown, total(down))
	// The last VM to tick: its watchers know one beat less than the VMs that it pinged.
	victim := f.tables[vmID(59)]
	delete(f.tables, vmID(59))
	downBefore, denialsBefore := total(down), total(denials)
	require.LessOrEqual(t, f.until(40, func() bool { return f.all(vmID(59), Suspect, Down) }), 8)
	require.Less(t, f.until(40, func() bool { return f.all(vmID(59), Down) }), 40)
	require.Equal(t, denialsBefore, total(denials))
	require.Equal(t, downBefore+len(f.tables), total(down))
	f.start(vmID(80), victim.self.Address, "dc-02", incarnation, peer.Target{Address: f.tables[vmID(0)].self.Address})
	require.Less(t, f.until(40, f.converged), 40)
}

// A VM is replaced so fast that no VM suspects its predecessor. The first direct
// message must mark the old id down; otherwise callers are sent to one VM under two
// ids.
func TestReplacedVMMarksOldIDDown(t *testing.T) {
	f := started(t)
	address := f.tables[vmID(3)].self.Address
	delete(f.tables, vmID(3))
	f.start(vmID(20), address, "dc-03", incarnation, peer.Target{Address: f.tables[vmID(0)].self.Address})
	f.step()
	require.Equal(t, Down, f.state(vmID(3), vmID(0)))
}

// A process is paused for 30 ticks and resumed, with answers from before the pause
// still in its socket. It must not act on its views until a ping sent after the pause
// is answered, and must not mark the others down for the silence during the pause.
func TestPausedVMDoesNotActOnOldViews(t *testing.T) {
	f := started(t)
	resumed := f.tables[vmID(2)]
	buffered := resumed.Tick(f.now)
	f.paused[vmID(2)] = true
	for range 30 {
		f.step()
	}
	require.True(t, f.all(vmID(2), Down))
	require.False(t, resumed.Fresh(f.now), "the views are outdated before the first tick after the pause")
	for _, o := range buffered {
		answer, ok := f.tables[f.byAddr[o.To.Address]].Receive(f.now, vmID(2), o.Message)
		require.True(t, ok)
		resumed.Receive(f.now, f.byAddr[o.To.Address], answer)
	}
	require.False(t, resumed.Fresh(f.now), "answers to pings from before the pause must not make the VM fresh")
	f.paused[vmID(2)] = false
	f.step()
	require.True(t, resumed.Fresh(f.now))
	require.Equal(t, 1, resumed.Counts.Pauses)
	require.Zero(t, resumed.Counts.WentDown)
	require.Less(t, f.until(40, f.converged), 40)
}

// Messages to one VM get lost while its own arrive, then in both directions. The VM
// must detect that it is isolated, and must not make the others suspect healthy VMs.
func TestPartitionedVMDetectsIsolation(t *testing.T) {
	isolated := vmID(5)
	for name, cut := range map[string]func(from, to string) bool{
		"to it":     func(_, to string) bool { return to == isolated },
		"both ways": func(from, to string) bool { return to == isolated || from == isolated },
	} {
		t.Run(name, func(t *testing.T) {
			f := started(t)
			f.partitioned = cut
			f.until(int(FreshLimit/Tick)+1, func() bool { return false })
			require.False(t, f.tables[isolated].Fresh(f.now))
			f.until(20, func() bool { return false })
			require.Zero(t, f.tables[isolated].Counts.Suspicions, "an isolated VM must not send suspicions")
			for id, table := range f.tables {
				if id != isolated {
					require.True(t, table.Fresh(f.now))
					require.LessOrEqual(t, table.Counts.WentDown, 1, "only the isolated VM may be marked down")
				}
			}
			f.partitioned = func(string, string) bool { return false }
			require.Less(t, f.until(40, f.converged), 40)
		})
	}
}

// A data centre is partitioned from the others for a minute. Each side must drop the
// other from its view, stay fresh, and find the other again after the partition without
// any change of the list.
func TestDataCentrePartitionHeals(t *testing.T) {
	f := started(t)
	inside := func(id string) bool { return f.tables[id].self.DataCentre == "dc-01" }
	f.partitioned = func(from, to string) bool { return inside(from) != inside(to) }
	split := func() bool {
		for a := range f.tables {
			for b := range f.tables {
				if a != b && (f.state(a, b) == Down) != (inside(a) != inside(b)) {
					return false
				}
			}
		}
		return true
	}
	require.Less(t, f.until(60, split), 60)
	for _, table := range f.tables {
		require.True(t, table.Fresh(f.now))
	}
	f.partitioned = func(string, string) bool { return false }
	require.Less(t, f.until(60, f.converged), 60)
}

// The platform's list is unavailable while a VM starts with one seed from its settings
// and another VM leaves. All must learn of both, and a late digest of the VM that left
// must not bring it back.
func TestStartAndLeaveWithoutTheList(t *testing.T) {
	f := started(t)
	f.start(vmID(20), "10.9.9.9:7000", "dc-02", incarnation, peer.Target{Address: f.tables[vmID(7)].self.Address})
	require.Less(t, f.until(40, f.converged), 40)
	leaver := f.tables[vmID(1)]
	late := leaver.self
	late.Beat += 100
	receiver := leaver.targets[0]
	f.partitioned = func(from, to string) bool { return from == vmID(1) && to != receiver }
	for _, o := range leaver.Leave() {
		f.deliver(vmID(1), o)
	}
	delete(f.tables, vmID(1))
	require.Less(t, f.until(12, func() bool { return f.all(vmID(1), Left) }), 12)
	f.tables[vmID(0)].merge(f.now, late, false)
	require.Equal(t, Left, f.state(vmID(1), vmID(0)))
}

// A VM starts in a fleet of 112. By heartbeats alone it would know the last VM after
// tens of ticks, and could neither answer callers well nor agree on slots. One
// synchronisation must give it all digests, and these must not be sent early to the
// others.
func TestNewVMLearnsTheFleetFromOneSync(t *testing.T) {
	f := newFleet(112, 6)
	require.Less(t, f.until(90, f.converged), 90)
	seed := f.tables[vmID(7)]
	table := f.start(vmID(120), "10.9.9.9:7000", "dc-02", incarnation, peer.Target{Address: seed.self.Address})
	f.step()
	f.step()
	to, ok := table.syncTarget(0)
	require.True(t, ok)
	rowsBefore := len(table.rows)
	table.MergeDigests(f.now, f.tables[to.ID].Digests())
	alive, urgent := 0, 0
	for _, r := range table.rows {
		if r.state == Alive {
			alive++
		}
		if r.urgentCopies > 0 {
			urgent++
		}
	}
	require.Equal(t, 112, alive)
	require.LessOrEqual(t, urgent, rowsBefore)
}

// A process restarts on a VM whose wall clock was set back. Peers know the higher
// incarnation; the new process must rise above it, or it is never seen.
func TestRestartWithClockSetBack(t *testing.T) {
	f := started(t)
	old := f.tables[vmID(6)].self
	f.start(old.ID, old.Address, old.DataCentre, old.Incarnation-1000, peer.Target{Address: f.tables[vmID(0)].self.Address})
	f.list()
	require.Less(t, f.until(40, func() bool {
		r := f.tables[vmID(0)].rows[old.ID]
		return r.state == Alive && r.digest.Incarnation > old.Incarnation
	}), 40)
}

func FuzzDecode(f *testing.F) {
	table := NewTable(time.Unix(0, 0), Self{ID: "a", Address: "10.0.0.1:1", Incarnation: incarnation})
	data, err := table.fill(time.Unix(0, 0)).Encode()
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if all, err := decodeSync(data); err == nil {
			NewTable(time.Unix(0, 0), Self{ID: "self"}).MergeDigests(time.Unix(0, 0), all)
		}
		m, err := Decode(data)
		if err != nil {
			return
		}
		now := time.Unix(0, 0)
		table := NewTable(now, Self{ID: "self"})
		table.Receive(now, m.From.ID, m)
		for _, o := range table.Tick(now.Add(Tick)) {
			_, err := o.Message.Encode()
			require.NoError(t, err)
		}
	})
}
