package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"goldcrestfork/config"
	"goldcrestfork/policy/poison"
)

// all gives this VM every slot.
type all struct{}

func (all) Share(_ string, slots int) int                          { return slots }
func (all) TakeCold(context.Context, string, int) (ColdSlot, bool) { return nil, false }

// newPool returns a dispatcher before two engines of version v.
func newPool() *Dispatcher {
	d := New(Config{DataCentre: "a", Slots: all{}, Registerer: prometheus.NewRegistry(), Seed: 1})
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

// An endpoint crashes under a request. Both VMs pass what they know on each second,
// with 50 ms on the way, by which it looks younger on arrival than it is. They must
// come to the same, and the word must die out: a record that each passes back to the
// other for ever would hold a mended engine's requests in quarantine.
func TestBlameIsPassedOnAndDiesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const news, most = 15 * time.Second, 8
		vms := []*Dispatcher{newPool(), newPool()}
		ticket, bad := vms[0].Acquire(t.Context(), &Need{
			Account: &config.ClientAccount{}, Deadline: time.Now().Add(time.Minute), Size: 1, Pool: "v", Fingerprint: 7,
		})
		require.Nil(t, bad)
		ticket.Done(Result{Crashed: true, Running: -1})
		for range 20 {
			for i, vm := range vms {
				word := vm.PoisonNews(news, most)
				time.Sleep(50 * time.Millisecond)
				vms[1-i].MergePoison(word)
			}
			time.Sleep(time.Second)
		}
		blame := func(d *Dispatcher) poison.Count { return d.PoisonNews(time.Hour, most)["v"][0] }
		require.Equal(t, blame(vms[0]).Blame, blame(vms[1]).Blame)
		require.Contains(t, blame(vms[1]).Blame, ticket.Endpoint)
		for _, vm := range vms {
			require.Empty(t, vm.PoisonNews(news, most))
		}
		time.Sleep(11 * time.Minute)
		for _, vm := range vms {
			require.Empty(t, vm.PoisonNews(time.Hour, most))
		}
	})
}
