package config

import (
	"context"
	"errors"
	"sync/atomic"
	"testing/synctest"
	"time"

	"goldcrestfork/config/staleness"
	"goldcrestfork/durable"
	"goldcrestfork/standin/store"
)

// fleet is a set of VMs on one platform, each with a cache and an editor. Each VM has its own
// connection, so that one can be cut off from the platform alone.
type fleet struct {
	store *store.Store
	vms   []*vm
}

// vm implements Peers and Contacts by direct calls to the other VMs of its fleet.
type vm struct {
	fleet   *fleet
	name    string
	cache   *Cache
	editor  *Editor
	watcher bool
	// isolated cuts the VM off from all other VMs; storeUnreachable cuts it off from the
	// platform.
	isolated, storeUnreachable atomic.Bool
	// stale, if set, is the encoded configuration that the VM returns to others instead of its
	// own.
	stale atomic.Pointer[[]byte]
}

// platformLink is a VM's connection to the platform. Calls fail while the VM is cut off.
type platformLink struct {
	*store.Store
	vm *vm
}

func (l platformLink) List(ctx context.Context, kind string) (durable.Listing, error) {
	if l.vm.storeUnreachable.Load() {
		return durable.Listing{}, durable.ErrUnavailable
	}
	return l.Store.List(ctx, kind)
}

func (l platformLink) Watch(ctx context.Context, kind string, revision int64) (durable.Watch, error) {
	if l.vm.storeUnreachable.Load() {
		return nil, durable.ErrUnavailable
	}
	w, err := l.Store.Watch(ctx, kind, revision)
	return watchLink{w, l.vm}, err
}

// watchLink delivers no events while its VM is cut off, like a dead connection that neither end
// has noticed.
type watchLink struct {
	durable.Watch
	vm *vm
}

func (w watchLink) Next(ctx context.Context) (durable.Event, error) {
	e, err := w.Watch.Next(ctx)
	if w.vm.storeUnreachable.Load() && err == nil {
		<-ctx.Done()
		return durable.Event{}, ctx.Err()
	}
	return e, err
}

// newFleet returns n VMs, two in each data centre, of which the first is a watcher.
func newFleet(s *store.Store, n int) *fleet {
	f := &fleet{store: s}
	for i := range n {
		f.add(string(rune('a'+i)), i%2 == 0)
	}
	return f
}

func (f *fleet) add(name string, watcher bool) *vm {
	v := &vm{fleet: f, name: name, watcher: watcher}
	v.cache = NewCache(Options{Store: platformLink{f.store, v}, Peers: v, Contacts: v, DataCentre: v.dataCentre(), VMs: f.vmsPerDataCentre})
	v.editor = NewEditor(platformLink{f.store, v}, v.cache)
	f.vms = append(f.vms, v)
	return v
}

func (v *vm) dataCentre() string { return string((v.name[0]-'a')/2 + '1') }

func (v *vm) Watcher() bool { return v.watcher }

func (v *vm) canReach(o *vm) bool { return o != v && !v.isolated.Load() && !o.isolated.Load() }

func (v *vm) Revisions() map[string]int64 {
	m := make(map[string]int64)
	for _, other := range v.fleet.vms {
		if v.canReach(other) {
			m[other.name] = other.cache.Revision()
		}
	}
	return m
}

func (v *vm) Fetch(_ context.Context, name string, have int64) ([]byte, error) {
	for _, other := range v.fleet.vms {
		if other.name == name && v.canReach(other) {
			if stale := other.stale.Load(); stale != nil {
				return *stale, nil
			}
			return other.cache.Encoded(have), nil
		}
	}
	return nil, errors.New("VM is unreachable")
}

func (v *vm) Members() []Member {
	var members []Member
	for _, other := range v.fleet.vms {
		if other != v {
			members = append(members, Member{VM: other.name, DataCentre: other.dataCentre(), Watcher: other.watcher})
		}
	}
	return members
}

func (v *vm) Ask(_ context.Context, name string) (staleness.Evidence, error) {
	for _, other := range v.fleet.vms {
		if other.name == name && v.canReach(other) {
			return other.cache.Evidence(time.Now()), nil
		}
	}
	return staleness.Evidence{}, errors.New("VM is unreachable")
}

func (v *vm) Notify(_ context.Context, name string, revision int64) error {
	for _, other := range v.fleet.vms {
		if other.name == name && v.canReach(other) {
			other.cache.Hint(v.name, revision)
			return nil
		}
	}
	return errors.New("VM is unreachable")
}

// vmsPerDataCentre returns the number of VMs in each data centre, as the platform's list does.
func (f *fleet) vmsPerDataCentre() map[string]int {
	m := make(map[string]int)
	for _, v := range f.vms {
		m[v.dataCentre()]++
	}
	return m
}

// run starts the caches and returns a function that stops them.
func (f *fleet) run(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{}, len(f.vms))
	for _, v := range f.vms {
		go func() {
			v.cache.Run(ctx)
			done <- struct{}{}
		}()
	}
	n := len(f.vms)
	return func() {
		cancel()
		for range n {
			<-done
		}
	}
}

// advance lets virtual time pass.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}
