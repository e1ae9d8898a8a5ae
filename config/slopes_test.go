package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/config/staleness"
	"goldcrestfork/standin/store"
)

// meshSeed seeds the choice of the receivers of heartbeats.
const meshSeed = 23

// Parameters of the simulated network. The heartbeats of the fleet module have the same period
// and also forward the state of other VMs, so real propagation is no slower.
const (
	heartbeatPeriod = time.Second
	heartbeatPeers  = 8
	askRoundTrip    = 2 * time.Millisecond
	fetchRoundTrip  = 5 * time.Millisecond
)

// mesh is a fleet whose VMs learn revisions from heartbeats.
type mesh struct {
	store *store.Store
	vms   []*meshVM
	byID  map[string]*meshVM
}

// meshVM is a VM of a mesh. It counts the bytes served to other VMs, the requests for evidence
// and the notices sent.
type meshVM struct {
	mesh       *mesh
	id, centre string
	watcher    bool
	cache      *Cache
	served     atomic.Int64
	asked      atomic.Int64
	notified   atomic.Int64

	mu        sync.Mutex
	revisions map[string]int64
}

func newMesh(s *store.Store, vms, centres int) *mesh {
	m := &mesh{store: s, byID: make(map[string]*meshVM)}
	for i := range vms {
		v := &meshVM{mesh: m, id: fmt.Sprintf("vm-%03d", i), centre: fmt.Sprintf("dc-%d", i%centres), watcher: i/centres < 2, revisions: make(map[string]int64)}
		v.cache = NewCache(Options{Store: s, Peers: v, Contacts: v, DataCentre: v.centre, VMs: m.vmsPerDataCentre})
		m.vms, m.byID[v.id] = append(m.vms, v), v
	}
	return m
}

func (m *mesh) vmsPerDataCentre() map[string]int {
	places := make(map[string]int)
	for _, v := range m.vms {
		places[v.centre]++
	}
	return places
}

func (v *meshVM) Watcher() bool { return v.watcher }

func (v *meshVM) Revisions() map[string]int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	revisions := make(map[string]int64, len(v.revisions))
	for vm, revision := range v.revisions {
		revisions[vm] = revision
	}
	return revisions
}

func (v *meshVM) Fetch(_ context.Context, vm string, have int64) ([]byte, error) {
	time.Sleep(fetchRoundTrip)
	encoded := v.mesh.byID[vm].cache.Encoded(have)
	v.mesh.byID[vm].served.Add(int64(len(encoded)))
	return encoded, nil
}

func (v *meshVM) Members() []Member {
	var members []Member
	for _, other := range v.mesh.vms {
		if other != v {
			members = append(members, Member{VM: other.id, DataCentre: other.centre, Watcher: other.watcher})
		}
	}
	return members
}

func (v *meshVM) Ask(_ context.Context, vm string) (staleness.Evidence, error) {
	v.asked.Add(1)
	time.Sleep(askRoundTrip)
	other, ok := v.mesh.byID[vm]
	if !ok {
		return staleness.Evidence{}, errors.New("gone")
	}
	return other.cache.Evidence(time.Now()), nil
}

func (v *meshVM) Notify(_ context.Context, vm string, revision int64) error {
	v.notified.Add(1)
	time.Sleep(askRoundTrip)
	v.mesh.byID[vm].cache.Hint(v.id, revision)
	return nil
}

// sendHeartbeats sends heartbeats to random VMs, three in four of them in the VM's own data
// centre.
func (v *meshVM) sendHeartbeats(ctx context.Context, rng *rand.Rand) {
	sleep(ctx, time.Duration(rng.Int64N(int64(heartbeatPeriod))))
	var local []*meshVM
	for _, other := range v.mesh.vms {
		if other != v && other.centre == v.centre {
			local = append(local, other)
		}
	}
	for ctx.Err() == nil {
		for i := range heartbeatPeers {
			to := v.mesh.vms[rng.IntN(len(v.mesh.vms))]
			if i%4 != 0 && len(local) > 0 {
				to = local[rng.IntN(len(local))]
			}
			to.mu.Lock()
			to.revisions[v.id] = v.cache.Revision()
			to.mu.Unlock()
		}
		sleep(ctx, heartbeatPeriod)
	}
}

// TestSlopes prints, at three sizes, the time until an accepted change is in force on all VMs
// and the number of calls; docs/capacity/configuration.md uses the slopes. Time is virtual, so
// results depend on the periods and not on the machine.
func TestSlopes(t *testing.T) {
	for _, size := range []struct{ vms, centres int }{{7, 3}, {28, 4}, {112, 6}} {
		t.Run(fmt.Sprintf("vms=%d", size.vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				measure(t, newMesh(store.New(), size.vms, size.centres))
			})
		})
	}
}

func measure(t *testing.T, m *mesh) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i, v := range m.vms {
		running.Go(func() { v.cache.Run(ctx) })
		running.Go(func() { v.sendHeartbeats(ctx, rand.New(rand.NewPCG(meshSeed, uint64(i)))) })
	}
	root := sizedSnapshot(200)
	root.Revision = 1_000_000
	encoded, err := Encode(root)
	require.NoError(t, err)
	_, err = m.store.Put(ctx, RootKey, encoded, 0)
	require.NoError(t, err)
	advance(10 * time.Second)

	const changes = 5
	var times []time.Duration
	editor := NewEditor(m.store, m.vms[len(m.vms)-1].cache)
	before, start := m.store.Counts(), time.Now()
	for _, v := range m.vms {
		v.served.Store(0)
		v.notified.Store(0)
	}
	for range changes {
		at := time.Now()
		revision, _, err := editor.Apply(ctx, []Change{{Op: OpLabel, Kind: KindDataCentre, Name: "dc-00", Labels: map[string]string{"k": "v"}}})
		require.NoError(t, err)
		for _, v := range m.vms {
			_, err := v.cache.WaitRevision(ctx, revision)
			require.NoError(t, err)
		}
		times = append(times, time.Since(at))
		advance(4 * time.Second)
	}
	after, took := m.store.Counts(), time.Since(start).Seconds()
	slices.Sort(times)
	most, notices := int64(0), int64(0)
	for _, v := range m.vms {
		most, notices = max(most, v.served.Load()), notices+v.notified.Load()
		require.Equal(t, staleness.Fresh, v.cache.Staleness(time.Now()).Verdict)
	}
	t.Logf("%3d VMs: in force everywhere in %v median, %v at most; platform calls %.2f lists/s, %.2f watches/s, %d writes for %d changes; %.0f notices a change, the busiest VM serves %d bytes",
		len(m.vms), times[changes/2].Round(time.Millisecond), times[changes-1].Round(time.Millisecond),
		float64(after.Lists-before.Lists)/took, float64(after.Watches-before.Watches)/took, after.Writes()-before.Writes(), changes,
		float64(notices)/changes, most/changes)
	// A notice brings a change sooner than a heartbeat, unless the notice is lost.
	require.Less(t, times[changes/2], heartbeatPeriod/10)
	require.Less(t, times[changes-1], 16*time.Second)
	measureOutage(t, m)
	cancel()
	running.Wait()
}

// measureOutage prints the calls to a platform that is down, and the time until all VMs have a
// recent confirmation after its return.
func measureOutage(t *testing.T, m *mesh) {
	const length = time.Minute
	m.store.SetFaults(store.Faults{Down: true})
	before, asked := m.store.Counts(), m.asks()
	advance(length)
	after, took := m.store.Counts(), length.Seconds()
	questions := float64(m.asks()-asked) / took / float64(len(m.vms))
	for _, v := range m.vms {
		require.Equal(t, staleness.StoreDown, v.cache.Staleness(time.Now()).Verdict)
	}
	m.store.SetFaults(store.Faults{})
	back := time.Now()
	for slices.ContainsFunc(m.vms, func(v *meshVM) bool { return v.cache.Staleness(time.Now()).Verdict != staleness.Fresh }) {
		time.Sleep(100 * time.Millisecond)
	}
	t.Logf("%3d VMs, platform down: %.1f calls/s to it, %.1f requests for evidence/s a VM; all have a recent confirmation %v after its return",
		len(m.vms), float64(after.Lists+after.Watches-before.Lists-before.Watches)/took, questions, time.Since(back).Round(100*time.Millisecond))
}

// asks returns the number of requests for evidence by all VMs.
func (m *mesh) asks() int64 {
	n := int64(0)
	for _, v := range m.vms {
		n += v.asked.Load()
	}
	return n
}
