package dispatch

import (
	"context"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"goldcrestfork/config"
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

// Two VMs exchange the blame for a crash each second with a delay of 50 ms, so a count
// looks younger on arrival than it is. The VMs must reach the same counts, and the
// exchange must end: counts that are passed back and forth forever would keep the
// requests of a repaired engine in quarantine.
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
				counts := vm.RecentPoisonCounts(maxAge, limit)
				time.Sleep(50 * time.Millisecond)
				vms[1-i].MergePoisonCounts(counts)
			}
			time.Sleep(time.Second)
		}
		endpoints := func(d *Dispatcher) []string {
			return slices.Sorted(maps.Keys(d.RecentPoisonCounts(time.Hour, limit)["v"][0].Crashes))
		}
		require.Equal(t, []string{ticket.Endpoint}, endpoints(vms[0]))
		require.Equal(t, []string{ticket.Endpoint}, endpoints(vms[1]))
		for _, vm := range vms {
			require.Empty(t, vm.RecentPoisonCounts(maxAge, limit))
		}
		time.Sleep(11 * time.Minute)
		for _, vm := range vms {
			require.Empty(t, vm.RecentPoisonCounts(time.Hour, limit))
		}
	})
}
