package exchange_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/config"
	"goldcrestfork/config/exchange"
	"goldcrestfork/config/staleness"
	"goldcrestfork/standin/store"
)

// network connects caches in memory. Calls pass the encoded messages.
type network struct {
	vms     []exchange.VM
	caches  map[string]*config.Cache
	damaged func(method string, body []byte) []byte
}

// view is one VM's side of the network. It implements exchange.Fleet and exchange.Link.
type view struct {
	*network
	self string
}

func (v view) Others() []exchange.VM {
	var others []exchange.VM
	for _, vm := range v.vms {
		if vm.ID != v.self {
			vm.Revision = v.caches[vm.ID].Revision()
			others = append(others, vm)
		}
	}
	return others
}

func (v view) Call(ctx context.Context, vm, method string, body []byte) ([]byte, error) {
	handler, ok := exchange.Handlers(v.caches[vm])[method]
	if !ok {
		return nil, errors.New("no such method")
	}
	answer, err := handler(ctx, v.self, body)
	if v.damaged != nil {
		answer = v.damaged(method, answer)
	}
	return answer, err
}

// backwards ranks ids in descending order.
func backwards(_ string, ids []string) []string {
	slices.Sort(ids)
	slices.Reverse(ids)
	return ids
}

func newNetwork(s *store.Store, n int) (*network, map[string]*exchange.Exchange) {
	net := &network{caches: make(map[string]*config.Cache)}
	exchanges := make(map[string]*exchange.Exchange)
	for i := range n {
		id := fmt.Sprintf("vm-%d", i)
		net.vms = append(net.vms, exchange.VM{ID: id, DataCentre: "norte-a"})
		v := view{net, id}
		x := exchange.New(exchange.Options{Self: id, DataCentre: "norte-a", Fleet: v, Link: v, Rank: backwards})
		exchanges[id] = x
		net.caches[id] = config.NewCache(config.Options{Store: s, Peers: x, Contacts: x, DataCentre: "norte-a",
			VMs: func() map[string]int { return map[string]int{"norte-a": n} }})
	}
	return net, exchanges
}

// A change that is accepted on a VM without a watch must reach all others over the messages of
// this package. Exactly two of the four VMs must be watchers.
func TestExchangeCarriesAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		net, exchanges := newNetwork(s, 4)
		ctx, cancel := context.WithCancel(t.Context())
		for _, c := range net.caches {
			go c.Run(ctx)
		}
		time.Sleep(5 * time.Second)
		editor := config.NewEditor(s, net.caches["vm-0"])
		dc := &config.DataCentre{Meta: config.Meta{Name: "norte-a"}, Region: "norte", State: config.DataCentreIn}
		for range 3 {
			revision, _, err := editor.Apply(ctx, []config.Change{{Object: dc}})
			require.NoError(t, err)
			for _, c := range net.caches {
				_, err := c.WaitRevision(ctx, revision)
				require.NoError(t, err)
			}
		}
		for id, x := range exchanges {
			require.Equal(t, id == "vm-2" || id == "vm-3", x.Watcher(), id)
			require.Equal(t, staleness.Fresh, net.caches[id].Staleness(time.Now()).Verdict)
		}
		cancel()
		synctest.Wait()
	})
}

// A peer's damaged answer must return an error, so that it neither confirms a configuration nor
// replaces one.
func TestExchangeRefusesDamagedAnswers(t *testing.T) {
	net, exchanges := newNetwork(store.New(), 2)
	x := exchanges["vm-0"]
	rows := map[string][]byte{
		"empty":                      nil,
		"no CBOR":                    {0xff},
		"another type":               {0x60},
		"an empty map":               {0xa0},
		"age left out":               {0x81, 0x01},
		"confirmation in the future": {0x83, 0x01, 0x39, 0x03, 0xe7, 0xf4},
		"negative revision":          {0x83, 0x20, 0x00, 0xf4},
	}
	for name, answer := range rows {
		net.damaged = func(string, []byte) []byte { return answer }
		_, err := x.Ask(t.Context(), "vm-1")
		require.Error(t, err, name)
	}
	handlers := exchange.Handlers(net.caches["vm-0"])
	for _, body := range [][]byte{nil, {0xff}, {0xa1, 0x01, 0x20}} {
		_, err := handlers[exchange.MethodFetch](t.Context(), "vm-1", body)
		require.ErrorIs(t, err, exchange.ErrMalformed)
	}
}
