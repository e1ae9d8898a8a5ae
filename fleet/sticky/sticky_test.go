package sticky

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	first Value = iota + 1
	second
)

// fleet simulates VMs and a network whose packets arrive at once or are lost.
type fleet struct {
	began time.Time
	vms   map[string]*Service
	ring  []Keeper
	lose  func(from, to string) bool // whether a packet is lost
	count func(bytes int)            // called for each packet
}

func newFleet(n int) *fleet {
	f := &fleet{began: time.Now(), vms: make(map[string]*Service), lose: func(string, string) bool { return false }, count: func(int) {}}
	for i := range n {
		name := fmt.Sprint("vm", i)
		f.ring = append(f.ring, Keeper{Name: name, Address: name})
		f.start(name)
	}
	return f
}

// start starts a VM; a VM that ran before restarts without its keys.
func (f *fleet) start(name string) {
	f.vms[name] = New(Config{
		Self: name, Clock: func() time.Duration { return time.Since(f.began) }, Ring: func() *Ring { return NewRing(f.ring...) },
		Send: func(b []byte, to string) error {
			f.count(len(b))
			if vm := f.vms[to]; vm != nil && !f.lose(name, to) {
				vm.Receive(b, name)
			}
			return nil
		},
		Log: zerolog.Nop(), Registerer: prometheus.NewRegistry(),
	})
}

// ask holds a key at a VM with a proposal.
func (f *fleet) ask(t *testing.T, vm string, k Key, holder uint64, proposal Value) HoldResult {
	h, ok := f.vms[vm].Hold(t.Context(), Hold{Key: k, Holder: holder, MaxDuration: 20 * time.Second, Proposal: proposal})
	require.True(t, ok)
	return h
}

// Guards against two VMs that decide differently on a key that is new to both.
func TestOneDecisionForAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(91)
		for i := range 200 {
			k := KeyOf(fmt.Sprint("key", i))
			a := f.ask(t, fmt.Sprint("vm", i%91), k, 1, first)
			b := f.ask(t, fmt.Sprint("vm", (i*7+1)%91), k, 2, second)
			require.Equal(t, first, a.Value)
			require.Zero(t, a.Age)
			require.Equal(t, first, b.Value)
			require.NotZero(t, b.Age)
		}
	})
}

// Guards against a key that is removed while a request holds it, or kept for ever after its
// release is lost.
func TestKeyIsKeptForItsRequestsAndRetention(t *testing.T) {
	b, k := NewStore(), KeyOf("k")
	hold := func(now time.Duration, holder uint64, proposal Value) Value {
		return b.Hold(now, Hold{Key: k, Holder: holder, MaxDuration: 10 * time.Second, Proposal: proposal}).Value
	}
	require.Equal(t, first, hold(0, 1, first))
	require.Equal(t, first, hold(9*time.Second, 2, second))
	b.Release(10*time.Second, Release{Key: k, Holder: 1, Value: first, Retention: 5 * time.Second})
	require.Equal(t, first, hold(18*time.Second, 3, second), "held by the second request")
	b.Release(18*time.Second, Release{Key: k, Holder: 3})
	require.Equal(t, 1, b.Sweep(18999*time.Millisecond))
	require.Equal(t, 0, b.Sweep(19*time.Second), "expired without a release")
	require.Equal(t, second, hold(19*time.Second, 4, second))
	b.Set(20*time.Second, Hold{Key: k, Holder: 5, MaxDuration: time.Second, Proposal: first})
	b.Release(20*time.Second, Release{Key: k, Holder: 4, Value: second, Retention: 5 * time.Second})
	require.Equal(t, first, hold(24*time.Second, 6, second), "set while the request ran")
	b.Release(time.Minute, Release{Key: k, Holder: 6, Value: second, Retention: 5 * time.Second})
	require.Equal(t, second, hold(time.Minute, 7, first), "released with a value while unknown")
}

// Guards against a key that is lost when one of its keepers restarts without its keys, also the
// one that ranks first.
func TestKeyOutlivesOneKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7)
		k := KeyOf("k")
		keepers := NewRing(f.ring...).Keepers(k)
		f.ask(t, "vm0", k, 1, first)
		for _, lost := range keepers {
			f.start(lost.Name)
			for _, vm := range f.ring {
				require.Equal(t, first, f.ask(t, vm.Name, k, 2, second).Value, "%s after %s", vm.Name, lost.Name)
			}
		}
	})
}

// Guards against keys that are lost when their keepers stop one after the other.
func TestStoppingKeeperHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7)
		k := KeyOf("k")
		f.ask(t, "vm0", k, 1, first)
		for len(f.ring) > 1 {
			stopping := NewRing(f.ring...).Keepers(k)[0]
			f.ring = without(f.ring, stopping)
			require.Equal(t, 1, f.vms[stopping.Name].HandOver(NewRing(f.ring...)))
			delete(f.vms, stopping.Name)
			require.Equal(t, first, f.ask(t, f.ring[0].Name, k, 2, second).Value)
		}
	})
}

// Guards against a decision that is undone by an earlier one, which a keeper still has or which
// arrives late.
func TestLaterDecisionHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7)
		k := KeyOf("k")
		f.ask(t, "vm0", k, 1, first)
		lost := NewRing(f.ring...).Keepers(k)[0]
		f.lose = func(_, to string) bool { return to == lost.Name }
		f.vms[f.other(lost)].Set(Hold{Key: k, Holder: 2, MaxDuration: time.Minute, Proposal: second, Rank: 2})
		f.lose = func(string, string) bool { return false }
		require.Equal(t, second, f.ask(t, "vm0", k, 3, first).Value)
		f.vms["vm0"].Set(Hold{Key: k, Holder: 4, MaxDuration: time.Minute, Proposal: first, Rank: 1})
		require.Equal(t, second, f.ask(t, lost.Name, k, 5, first).Value)
	})
}

// other returns a VM that isn't the given one.
func (f *fleet) other(k Keeper) string { return without(f.ring, k)[0].Name }

// Guards against a key that is lost when its keepers stop in turn and restart without their keys.
func TestKeyOutlivesKeepersThatRestartInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7)
		k := KeyOf("k")
		rebalance := func() {
			for _, vm := range f.ring {
				f.vms[vm.Name].Rebalance()
			}
		}
		rebalance()
		f.ask(t, "vm0", k, 1, first)
		all := f.ring
		keepers := NewRing(all...).Keepers(k)
		for _, vm := range keepers {
			f.ring = without(f.ring, vm)
			f.vms[vm.Name].HandOver(NewRing(f.ring...))
			rebalance()
		}
		f.ring = all
		for _, vm := range keepers {
			f.start(vm.Name)
		}
		rebalance()
		require.Equal(t, first, f.ask(t, "vm0", k, 2, second).Value)
	})
}

func without(all []Keeper, one Keeper) (out []Keeper) {
	for _, k := range all {
		if k != one {
			out = append(out, k)
		}
	}
	return out
}

// Guards against a caller that waits longer than the timeouts or past its own context, or gets a
// value, when no keeper answers.
func TestSilentKeepersDecideNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		f.lose = func(string, string) bool { return true }
		k := KeyOf("k")
		var asker string
		for _, vm := range f.ring {
			if keepers := NewRing(f.ring...).Keepers(k); vm != keepers[0] && vm != keepers[1] {
				asker = vm.Name
			}
		}
		began := time.Now()
		_, ok := f.vms[asker].Hold(t.Context(), Hold{Key: k, Holder: 1, MaxDuration: time.Second, Proposal: first})
		require.False(t, ok)
		require.Equal(t, maxAttempts*askTimeout, time.Since(began))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, ok = f.vms[asker].Hold(ctx, Hold{Key: k, Holder: 1, MaxDuration: time.Second, Proposal: first})
		require.False(t, ok)
	})
}

// Guards against a held key whose value changes after lost packets and a keeper's restart.
func TestHeldKeyKeepsItsValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(21, 1))
		f := newFleet(9)
		f.lose = func(string, string) bool { return rng.Float64() < 0.01 }
		changed, asked := 0, 0
		for i := range 400 {
			k := KeyOf(fmt.Sprint("key", i))
			value := Value(1 + rng.IntN(2))
			before := f.ask(t, f.ring[rng.IntN(9)].Name, k, 1, value).Value
			for n := range 5 {
				f.began = f.began.Add(-time.Second)
				if n == 2 {
					f.start(NewRing(f.ring...).Keepers(k)[rng.IntN(replicas)].Name)
				}
				asked++
				if f.ask(t, f.ring[rng.IntN(9)].Name, k, uint64(2+n), 3-value).Value != before {
					changed++
				}
			}
		}
		require.LessOrEqual(t, changed, asked/1000, "a change is possible only if both queries to a keeper are lost")
	})
}

// The two keepers must be the first two of the whole ranking, whatever the order of the VMs.
func TestRingRanks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z0-9]{1,6}`), 0, 12, rapid.ID[string]).Draw(t, "names")
		k := KeyOf(rapid.String().Draw(t, "key"))
		var keepers []Keeper
		for _, n := range names {
			keepers = append(keepers, Keeper{Name: n})
		}
		got := NewRing(keepers...).Keepers(k)
		require.Len(t, got, min(replicas, len(names)))
		require.Equal(t, got, NewRing(rapid.Permutation(keepers).Draw(t, "shuffled")...).Keepers(k))
		if len(got) > 0 {
			require.Equal(t, got[0], NewRing(got...).Keepers(k)[0])
			require.NotContains(t, NewRing(without(keepers, got[0])...).Keepers(k), got[0])
		}
	})
}

// Guards against a panic on any packet of another VM.
func FuzzReceive(f *testing.F) {
	f.Add([]byte{0xa1, 0x01, 0x01})
	f.Fuzz(func(t *testing.T, b []byte) {
		fleet := newFleet(2)
		fleet.vms["vm0"].Receive(b, "vm1")
		fleet.vms["vm0"].Sweep()
	})
}

// BenchmarkHold measures a Hold and its Release at two keepers of 91 over a simulated network, and
// reports the packets and their bytes.
func BenchmarkHold(b *testing.B) {
	f := newFleet(91)
	var sent, packets int
	f.lose = func(string, string) bool { packets++; return false }
	f.count = func(n int) { sent += n }
	var asked uint64
	for b.Loop() {
		asked++
		h := Hold{Key: KeyOf("k") + Key(asked%500), Holder: rand.Uint64(), MaxDuration: 25 * time.Second, Proposal: first}
		if _, ok := f.vms["vm0"].Hold(b.Context(), h); !ok {
			b.Fatal("no keeper answered")
		}
		f.vms["vm0"].Release(Release{Key: h.Key, Holder: h.Holder, Value: first, Retention: 7 * time.Second})
	}
	b.ReportMetric(float64(sent)/float64(asked), "B/request")
	b.ReportMetric(float64(packets)/float64(asked), "packets/request")
}
