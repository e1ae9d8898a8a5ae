package quota

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"goldcrestfork/fleet/sticky"
)

// fleet simulates VMs and a network whose packets arrive at once or are lost. Each VM grants two
// requests for an endpoint in each role.
type fleet struct {
	vms   map[string]*Service
	rings map[string][]string        // the VMs that a VM knows; all by default
	lose  func(from, to string) bool // whether a packet is lost
	apart map[string]bool            // the VMs that aren't in touch with most of the fleet
	left  map[string]int             // grants left, by VM and role
}

const granted = 2

func newFleet(n int) *fleet {
	f := &fleet{vms: make(map[string]*Service), rings: make(map[string][]string), lose: func(string, string) bool { return false }, apart: make(map[string]bool), left: make(map[string]int)}
	var all []string
	for i := range n {
		all = append(all, fmt.Sprint("vm", i))
	}
	for _, name := range all {
		f.rings[name] = all
		f.vms[name] = New(Config{
			Self: name, Log: zerolog.Nop(), Registerer: prometheus.NewRegistry(),
			Ring: func(string) *sticky.Ring { return f.ring(name) }, SeesMajority: func() bool { return !f.apart[name] },
			Timeout: func(string) time.Duration { return 20 * time.Millisecond },
			Decide: func(endpoint string, _ float64, deputy bool) time.Duration {
				k := fmt.Sprint(name, endpoint, deputy)
				if _, ok := f.left[k]; !ok {
					f.left[k] = granted
				}
				if f.left[k] == 0 {
					return time.Minute
				}
				f.left[k]--
				return 0
			},
			Send: func(b []byte, to string) error {
				if !f.lose(name, to) {
					f.vms[to].Receive(b, name)
				}
				return nil
			},
		})
	}
	return f
}

func (f *fleet) ring(vm string) *sticky.Ring {
	var keepers []sticky.Keeper
	for _, name := range f.rings[vm] {
		keepers = append(keepers, sticky.Keeper{Name: name, Address: name})
	}
	return sticky.NewRing(keepers...)
}

// take lets each VM ask for one request and returns how many were granted.
func (f *fleet) take(t *testing.T, endpoint string) (n int) {
	for _, s := range f.vms {
		if s.Take(t.Context(), endpoint, 1).Wait == 0 {
			n++
		}
	}
	return n
}

// Guards against questions that cost more traffic than they were designed for.
func TestQuestionIsSmall(t *testing.T) {
	ask, err := cbor.Marshal(&message{Kind: kindTake, RequestID: 1 << 63, Endpoint: "i-0123456789", Rate: 1.2, Deputy: true})
	require.NoError(t, err)
	answer, err := cbor.Marshal(&message{Kind: kindTaken, RequestID: 1 << 63, WaitMs: 1000})
	require.NoError(t, err)
	t.Log(len(ask), len(answer))
	require.LessOrEqual(t, len(ask)+1, 46)
	require.LessOrEqual(t, len(answer)+1, 20)
}

// Guards against VMs that each use an endpoint's whole limit.
func TestOneVMGrantsForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(91)
		for i := range 20 {
			require.Equal(t, granted, f.take(t, fmt.Sprint("e", i)))
		}
	})
}

// Guards against a limited endpoint that gets no more requests after its keeper is lost, and against a wait for the keeper at each request.
func TestDeputyGrantsForSilentKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7)
		keepers := f.ring("vm0").Keepers(sticky.KeyOf("e"))
		first, deputy := keepers[0].Name, keepers[1].Name
		f.lose = func(_, to string) bool { return to == first }
		delete(f.vms, first)
		f.vms[first] = New(Config{Self: first, Registerer: prometheus.NewRegistry()})
		asking := slices.DeleteFunc(slices.Clone(f.rings["vm0"]), func(n string) bool { return n == first })
		n := 0
		take := func(vm string) (took time.Duration) {
			began := time.Now()
			a := f.vms[vm].Take(t.Context(), "e", 1)
			require.Equal(t, deputy, a.Keeper)
			if a.Wait == 0 {
				n++
			} else {
				require.Equal(t, silentBackoff, a.Wait)
			}
			return time.Since(began)
		}
		for _, vm := range asking {
			require.LessOrEqual(t, take(vm), 20*time.Millisecond)
			require.Zero(t, take(vm), "the second question skips the silent keeper")
		}
		require.Equal(t, granted, n)
	})
}

// Guards against a VM that sends to a limited endpoint while it reaches no keeper.
func TestNoGrantWithoutKeepers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7)
		keepers := f.ring("vm0").Keepers(sticky.KeyOf("e"))
		f.lose = func(string, string) bool { return true }
		for name, s := range f.vms {
			if name == keepers[0].Name || name == keepers[1].Name {
				continue
			}
			require.Equal(t, Answer{Wait: silentBackoff, VMs: 7}, s.Take(t.Context(), "e", 1))
		}
	})
}

// Guards against two VMs that both grant the whole limit, because some VMs don't know the one that ranks first.
func TestKeeperThatRanksSecondDecidesAsDeputy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7)
		keepers := f.ring("vm0").Keepers(sticky.KeyOf("e"))
		for vm := range f.rings {
			if vm != keepers[0].Name && vm != keepers[1].Name {
				f.rings[vm] = slices.DeleteFunc(slices.Clone(f.rings[vm]), func(n string) bool { return n == keepers[0].Name })
			}
		}
		f.take(t, "e")
		require.Contains(t, f.left, keepers[1].Name+"etrue")
		require.NotContains(t, f.left, keepers[1].Name+"efalse")
	})
}

// Guards against VMs that each grant the whole limit while they know no others, as after a start of the whole fleet.
func TestVMApartFromTheFleetDecidesAsDeputy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7)
		for vm := range f.rings {
			f.rings[vm], f.apart[vm] = []string{vm}, true
		}
		f.take(t, "e")
		require.Len(t, f.left, 7)
		for vm := range f.rings {
			require.Contains(t, f.left, vm+"etrue")
		}
	})
}

// Guards against a grant by a packet that isn't valid: any host can send to the port.
func FuzzMessage(f *testing.F) {
	b, err := cbor.Marshal(&message{Kind: kindTake, RequestID: 1, Endpoint: "e", Rate: 1})
	require.NoError(f, err)
	f.Add(b)
	b, err = cbor.Marshal(&message{Kind: kindTaken, RequestID: 1, WaitMs: 7})
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		s := New(Config{
			Self: "a", Ring: func(string) *sticky.Ring { return sticky.NewRing(sticky.Keeper{Name: "a"}) }, SeesMajority: func() bool { return true }, Log: zerolog.Nop(), Registerer: prometheus.NewRegistry(),
			Decide: func(_ string, rate float64, _ bool) time.Duration {
				require.GreaterOrEqual(t, rate, 0.0)
				require.LessOrEqual(t, rate, maxRate)
				return time.Second
			},
			Send: func(b []byte, _ string) error {
				var m message
				require.NoError(t, cbor.Unmarshal(b, &m))
				require.EqualValues(t, 1000, m.WaitMs)
				return nil
			},
		})
		s.Receive(b, "127.0.0.1:1")
	})
}
