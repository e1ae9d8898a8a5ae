package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"goldcrestfork/config"
	"goldcrestfork/policy/poison"
)

// allSlots assigns every warm slot to this VM.
type allSlots struct{}

func (allSlots) Share(_ string, slots int) int                          { return slots }
func (allSlots) TakeCold(context.Context, string, int) (ColdSlot, bool) { return nil, false }

// newPool returns a dispatcher with two engines of version v.
func newPool() *Dispatcher {
	d := New(Config{DataCentre: "a", Slots: allSlots{}, Registerer: prometheus.NewRegistry(), Seed: 1})
	s := &config.Snapshot{
		Revision:    1,
		DataCentres: map[string]*config.DataCentre{"a": {State: config.DataCentreIn}},
		Endpoints:   map[string]*config.Endpoint{},
	}
	for _, name := range []string{"e1", "e2"} {
		s.Endpoints[name] = &config.Endpoint{
			Meta: config.Meta{Name: name}, Address: name, DataCentre: "a",
			Versions: []string{"v"}, Slots: 4, ColdSlots: 1, State: config.EndpointServing,
		}
	}
	d.Configure(s)
	return d
}

// Two VMs exchange a crash each second with a delay of 50 ms, so it looks younger on arrival
// than it is. The VMs must reach the same evidence, and the exchange must end: crashes that
// are passed back and forth forever would keep the requests of a repaired engine in
// quarantine.
func TestExchangedBlameConvergesAndExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxAge, limit = 15 * time.Second, 8
		vms := []*Dispatcher{newPool(), newPool()}
		ticket, bad := vms[0].Acquire(t.Context(), &Need{
			Account: &config.ClientAccount{}, Deadline: time.Now().Add(time.Minute), Size: 1, Pool: "v", Fingerprint: 7,
		})
		require.Nil(t, bad)
		ticket.Done(Result{Crashed: true, Running: -1})
		for range 20 {
			for i, vm := range vms {
				crashes := vm.RecentCrashes(maxAge, limit)
				time.Sleep(50 * time.Millisecond)
				vms[1-i].MergeCrashes(crashes)
			}
			time.Sleep(time.Second)
		}
		evidence := func(d *Dispatcher) poison.Crash {
			c := d.RecentCrashes(time.Hour, limit)["v"][0]
			c.AgeMs = 0
			return c
		}
		require.Equal(t, evidence(vms[0]), evidence(vms[1]))
		require.Equal(t, ticket.Endpoint, evidence(vms[1]).Endpoint)
		require.Equal(t, poison.Fingerprint(7), evidence(vms[1]).Requests[0].Fingerprint)
		for _, vm := range vms {
			require.Empty(t, vm.RecentCrashes(maxAge, limit))
		}
		time.Sleep(11 * time.Minute)
		for _, vm := range vms {
			require.Empty(t, vm.RecentCrashes(time.Hour, limit))
		}
	})
}

// Guards against decisions on parts that other VMs read without the answers that were known when they were made.
func TestDecisionsAreReadWithTheirAnswers(t *testing.T) {
	a, b := newPool(), newPool()
	for _, ps := range a.pools {
		ps.tracker.MergeVerdicts(time.Now(), nil, []poison.Verdict{{Fingerprint: 1, AgeMs: 100, Answers: 300}, {Fingerprint: 2, AgeMs: 100}})
	}
	encoded, err := cbor.Marshal(a.PoisonReport(time.Minute, 10))
	require.NoError(t, err)
	var heard PoisonReport
	require.NoError(t, cbor.Unmarshal(encoded, &heard))
	b.MergePoison("a", &heard)
	for name, ps := range b.pools {
		_, parts := ps.tracker.Verdicts(time.Now())
		require.Equal(t, []uint32{300, 0}, poison.KnownAnswers(parts), name)
	}
}
