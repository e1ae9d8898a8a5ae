package loops

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"goldcrestfork/config"
	"goldcrestfork/control"
	"goldcrestfork/control/lease"
	"goldcrestfork/control/orders"
	"goldcrestfork/policy/rollout"
	"goldcrestfork/standin/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	seedA = 501
	seedB = 502
)

// fleet is a testbed of seven VMs in two data centres that share one store. Each VM has
// the real editor, leases and loops, and handles ten requests per second.
type fleet struct {
	t     *testing.T
	store *store.Store
	rng   *rand.Rand

	mu  sync.Mutex
	vms []*testVM
	// networkRNG selects the messages that are lost, one in ten.
	networkRNG *rand.Rand
	// newVersionBad makes the new version fail one request in four; exposed counts its
	// requests from then on.
	newVersionBad bool
	exposed       int
	keyCount      int
	// history holds the committed states of the roll-out, times the time of each.
	history []config.RollOut
	times   []time.Time
}

type testVM struct {
	VM
	fleet    *fleet
	loops    *Loops
	cache    *config.Cache
	recorder *rollout.Recorder
	brakes   rollout.Brakes
	stop     context.CancelFunc
}

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{t: t, store: store.New(), rng: rand.New(rand.NewPCG(seed, 0)), networkRNG: rand.New(rand.NewPCG(seed, 1))}
	version := func(name string) config.Change {
		return config.Change{Object: &config.ModelVersion{
			Meta: config.Meta{Name: name}, Model: "m", State: config.VersionServing, Cost: 100, Quality: 0.8,
		}}
	}
	_, _, err := (&config.Editor{Store: f.store}).Apply(t.Context(), []config.Change{version("v1"), version("v2"), {Object: &config.RollOut{
		Meta: config.Meta{Name: "r"}, Model: "m", From: "v1", To: "v2", Steps: []float64{20, 100}, State: config.RollOutRunning,
	}}})
	require.NoError(t, err)
	for i := range 7 {
		f.start(fmt.Sprint("vm-", i), []string{"nord", "sud"}[i%2])
	}
	return f
}

func (f *fleet) start(id, dataCentre string) {
	v := &testVM{VM: VM{id, dataCentre}, fleet: f, recorder: rollout.NewRecorder(id)}
	v.cache = config.NewCache(config.Options{Store: f.store})
	editor := config.NewEditor(f.store, v.cache)
	editor.MayAccept = nil // package config decides whether a VM may accept changes
	settings := rollout.DefaultSettings()
	settings.MinRated = 0
	v.loops = New(Options{
		Self: v.VM, Peers: v, Store: f.store, Configuration: control.NewCachedConfiguration(v.cache, editor),
		Recorder: v.recorder, Brakes: &v.brakes,
		Lease: lease.DefaultSettings(), RollOuts: settings, Orders: orders.DefaultSettings(),
		Registerer: prometheus.NewRegistry(), Log: zerolog.Nop(),
	})
	ctx, stop := context.WithCancel(f.t.Context())
	v.stop = stop
	f.mu.Lock()
	f.vms = append(f.vms, v)
	f.mu.Unlock()
	go v.loops.Run(ctx)
}

// VMs implements Peers.
func (v *testVM) VMs() []VM {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	var out []VM
	for _, vm := range v.fleet.vms {
		out = append(out, vm.VM)
	}
	return out
}

// Send implements Peers.
func (v *testVM) Send(ctx context.Context, to string, m Message) {
	v.fleet.mu.Lock()
	var target *testVM
	lost := v.fleet.networkRNG.IntN(10) == 0
	for _, vm := range v.fleet.vms {
		if vm.ID == to && !lost {
			target = vm
		}
	}
	v.fleet.mu.Unlock()
	if target != nil {
		target.loops.Receive(ctx, m)
	}
}

// runSecond simulates the requests of one second, after it has updated the caches if
// the store is up.
func (f *fleet) runSecond() {
	o, err := f.store.Get(f.t.Context(), config.RootKey)
	for _, v := range f.vms {
		if err == nil {
			_, offered := v.cache.Offer(o.Value)
			require.NoError(f.t, offered)
		}
		if r := v.cache.Snapshot().RollOuts["r"]; r != nil {
			f.sendRequests(v, r)
		}
	}
	if r := f.vms[0].cache.Snapshot().RollOuts["r"]; r != nil {
		if n := len(f.history); n == 0 || f.history[n-1].Revision != r.Revision {
			f.history, f.times = append(f.history, *r), append(f.times, time.Now())
		}
	}
	time.Sleep(time.Second)
}

func (f *fleet) sendRequests(v *testVM, r *config.RollOut) {
	for range 10 {
		f.keyCount++
		key := strconv.Itoa(f.keyCount)
		choice, ok := v.brakes.Choose(r, key, func(string) bool { return true })
		require.True(f.t, ok)
		bad := f.newVersionBad && choice.Version == "v2"
		if bad {
			f.exposed++
		}
		rate := 0.01
		if bad {
			rate = 0.25
		}
		v.recorder.Request(r, choice.Arm, key, rollout.Outcome{Failed: f.rng.Float64() < rate})
	}
}

// killAndReplace kills a VM, which can't release its leases, and starts another one in
// its data centre.
func (f *fleet) killAndReplace(i int) {
	f.mu.Lock()
	v := f.vms[i]
	f.vms = append(f.vms[:i:i], f.vms[i+1:]...)
	f.mu.Unlock()
	f.store.SetFaults(store.Faults{Down: true}) // the VM can't release its leases
	v.stop()
	synctest.Wait()
	f.store.SetFaults(store.Faults{})
	f.start(v.ID+"'", v.DataCentre)
}

func (f *fleet) holderIndex() int {
	for i, v := range f.vms {
		if _, ok := v.loops.leases[leaseRollOuts].Held(); ok {
			return i
		}
	}
	return -1
}

func (f *fleet) state() config.RollOutState { return f.history[len(f.history)-1].State }

func (f *fleet) stop() {
	for _, v := range f.vms {
		v.stop()
	}
	synctest.Wait()
}

// A good version is rolled out while the holder of the lease is killed every minute,
// replies are lost and the store has short outages. Each step must take effect once,
// in order, and last for its minimum time.
func TestGoodRollOutUnderFaults(t *testing.T) {
	for _, seed := range []uint64{seedA, seedB} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, seed)
				defer f.stop()
				killed := 0
				for i := 0; i < 3600 && (i == 0 || f.state() != config.RollOutDone); i++ {
					f.runSecond()
					if i%60 == 59 && f.holderIndex() >= 0 {
						f.killAndReplace(f.holderIndex())
						killed++
					}
					if i%20 == 0 {
						f.store.SetFaults(store.Faults{LoseReplies: f.rng.IntN(3), Down: f.rng.IntN(8) == 0})
					}
				}
				require.Greater(t, killed, 3)
				require.Len(t, f.history, 3, "%v", f.history)
				require.Equal(t, 1, f.history[1].Step)
				require.Equal(t, config.RollOutDone, f.history[2].State)
				for i := range 2 {
					require.GreaterOrEqual(t, f.times[i+1].Sub(f.times[i]), rollout.DefaultSettings().MinTime)
				}
			})
		})
	}
}

// The new version turns bad while the store is down and no VM holds the lease, while
// replies are lost, or as the holder is killed. Few requests may reach the version: the
// VMs must brake it, or the next holder must roll it back.
func TestBadVersionUnderFaults(t *testing.T) {
	for name, fault := range map[string]func(f *fleet){
		"none": func(*fleet) {},
		"store down": func(f *fleet) {
			f.store.SetFaults(store.Faults{Down: true})
			for range 20 { // the lease expires
				f.runSecond()
			}
		},
		"replies lost":  func(f *fleet) { f.store.SetFaults(store.Faults{LoseReplies: 5}) },
		"holder killed": func(f *fleet) { f.killAndReplace(f.holderIndex()) },
	} {
		for _, seed := range []uint64{seedA, seedB} {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, seed)
					defer f.stop()
					for range 60 {
						f.runSecond()
					}
					require.GreaterOrEqual(t, f.holderIndex(), 0)
					fault(f)
					f.newVersionBad = true
					for range 300 {
						f.runSecond()
					}
					require.LessOrEqual(t, f.exposed, 200)
					f.store.SetFaults(store.Faults{})
					for range 30 {
						f.runSecond()
					}
					require.Equal(t, config.RollOutRolledBack, f.state())
				})
			})
		}
	}
}

// recordingPeers implements Peers and records the messages.
type recordingPeers struct {
	vms  []VM
	sent []Message
}

func (s *recordingPeers) VMs() []VM                                   { return s.vms }
func (s *recordingPeers) Send(_ context.Context, _ string, m Message) { s.sent = append(s.sent, m) }

// A burst of answers from a wrong version must not cause a burst of messages.
func TestSuspectIsRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := &recordingPeers{}
		for i := range 20 {
			peers.vms = append(peers.vms, VM{fmt.Sprint("vm-", i), "nord"})
		}
		l := New(Options{Self: VM{"outside", "nord"}, Peers: peers, Store: store.New(),
			Registerer: prometheus.NewRegistry(), Log: zerolog.Nop()})
		for range 100 {
			l.Suspect(t.Context(), "e-1")
			l.Suspect(t.Context(), "e-2")
		}
		require.Len(t, peers.sent, 2*candidatesPerLease)
		time.Sleep(repeatInterval)
		l.Suspect(t.Context(), "e-1")
		require.Len(t, peers.sent, 3*candidatesPerLease)
		require.Equal(t, "e-1", peers.sent[2*candidatesPerLease].Suspect)
	})
}
