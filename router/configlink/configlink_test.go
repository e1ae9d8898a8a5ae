package configlink_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"goldcrestfork/config"
	"goldcrestfork/config/staleness"
	"goldcrestfork/fleet/member"
	"goldcrestfork/fleet/peer"
	"goldcrestfork/platform"
	"goldcrestfork/router/configlink"
	"goldcrestfork/standin/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// vm is one VM's configuration over a real link on loopback.
type vm struct {
	id      string
	link    *peer.Link
	members *member.Service
	cache   *config.Cache
	editor  *config.Editor
	view    *configlink.View
}

// bench starts VMs of one data centre on one platform in memory.
type bench struct {
	t     *testing.T
	store *store.Store
	set   peer.TrialSet
	vms   []*vm
}

func (b *bench) start(id string) *vm {
	credentials, err := b.set.Credentials(id)
	require.NoError(b.t, err)
	link, err := peer.Listen(peer.Options{Listen: "127.0.0.1:0", Credentials: credentials})
	require.NoError(b.t, err)
	var seeds []peer.Target
	for _, other := range b.vms {
		seeds = append(seeds, peer.Target{ID: other.id, Address: other.link.Addr()})
	}
	v := &vm{id: id, link: link}
	v.members = member.NewService(member.Options{Link: link, Store: b.store, Log: zerolog.Nop(), Self: member.Self{
		ID: id, Address: link.Addr(), DataCentre: "norte-a", Incarnation: uint64(time.Now().UnixNano()), Seeds: seeds}})
	fleet := configlink.New(id, "norte-a", v.members, link)
	x := fleet.Exchange()
	v.cache = config.NewCache(config.Options{Store: b.store, Peers: x, Contacts: x, DataCentre: "norte-a", VMs: fleet.Places})
	v.editor = config.NewEditor(b.store, v.cache)
	v.view = &configlink.View{Fleet: fleet, Revision: v.cache.Revision}
	fleet.Serve(v.cache)
	b.vms = append(b.vms, v)
	b.run(v)
	return v
}

func (b *bench) run(v *vm) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { v.members.Run(ctx) })
	running.Go(func() { v.cache.Run(ctx) })
	running.Go(func() {
		v.cache.Subscribe(ctx, func(s *config.Snapshot) { v.members.Update(s.Revision, 0, 0) })
	})
	b.t.Cleanup(func() {
		cancel()
		running.Wait()
		require.NoError(b.t, v.link.Close())
	})
}

// until polls a state; the test's own deadline ends it.
func until(ctx context.Context, t *testing.T, state func() bool) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !state() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			t.Fatal("the state did not come")
		}
	}
}

// Four VMs over real links; two of them watch the platform. A change made on any
// reaches all. Then the platform goes down and a fifth VM starts, which knows
// nothing: it takes the configuration from the others and serves under it.
func TestConfigurationOverRealLinks(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	ids := []string{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}
	set, err := peer.NewTrialSet(time.Now(), ids...)
	require.NoError(t, err)
	b := &bench{t: t, store: store.New(), set: set}
	for _, id := range ids[:4] {
		b.start(id)
	}
	var list []platform.VM
	for _, v := range b.vms {
		list = append(list, platform.VM{ID: v.id, Address: v.link.Addr(), DataCentre: "norte-a"})
	}
	b.store.SetVMs(list)
	until(ctx, t, func() bool {
		return !slices.ContainsFunc(b.vms, func(v *vm) bool { return len(v.view.Revisions()) < 4 })
	})

	dc := &config.DataCentre{Meta: config.Meta{Name: "norte-a"}, Region: "norte", State: config.DataCentreIn}
	last := int64(0)
	for _, v := range b.vms {
		last, _, err = v.editor.Apply(ctx, []config.Change{{Object: dc}})
		require.NoError(t, err)
	}
	until(ctx, t, func() bool {
		f := config.CountInForce(last, b.vms[0].view.VMs(), b.vms[0].view.Revisions())
		return f.Everywhere() && f.Of == 4
	})
	// A VM that saw nobody at its start holds its watch to the end of the rotation.
	until(ctx, t, func() bool {
		watching := 0
		for _, v := range b.vms {
			if v.cache.Dump(time.Now()).Mode == config.ModeWatching {
				watching++
			}
		}
		return watching == 2
	})

	b.store.SetFaults(store.Faults{Down: true})
	joining := b.start("vm-5")
	s, err := joining.cache.WaitRevision(ctx, last)
	require.NoError(t, err)
	require.Contains(t, s.DataCentres, "norte-a")
	until(ctx, t, func() bool { return joining.cache.Staleness(time.Now()).TakesWork() })
	require.NotEqual(t, staleness.Cut, joining.cache.Staleness(time.Now()).Verdict)
}
