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

// fleet is a few VMs with a cache and an editor each on one platform. Each VM has
// its own connection, so that one can be cut from the platform alone.
type fleet struct {
	store *store.Store
	vms   []*vm
}

// vm is a VM and its view of the others, without a network.
type vm struct {
	fleet   *fleet
	name    string
	cache   *Cache
	editor  *Editor
	watcher bool
	// cut keeps it from all peers; storeCut keeps it from the platform.
	cut, storeCut atomic.Bool
	// stale, when set, is what it gives to peers instead of its configuration.
	stale atomic.Pointer[[]byte]
}

// link is a VM's connection to the platform; calls fail while the VM is cut from it.
type link struct {
	*store.Store
	vm *vm
}

func (l link) List(ctx context.Context, kind string) (durable.Listing, error) {
	if l.vm.storeCut.Load() {
		return durable.Listing{}, durable.ErrUnavailable
	}
	return l.Store.List(ctx, kind)
}

func (l link) Watch(ctx context.Context, kind string, revision int64) (durable.Watch, error) {
	if l.vm.storeCut.Load() {
		return nil, durable.ErrUnavailable
	}
	w, err := l.Store.Watch(ctx, kind, revision)
	return watchLink{w, l.vm}, err
}

// watchLink delivers nothing while its VM is cut, like a connection that died unseen.
type watchLink struct {
	durable.Watch
	vm *vm
}

func (w watchLink) Next(ctx context.Context) (durable.Event, error) {
	e, err := w.Watch.Next(ctx)
	if w.vm.storeCut.Load() && err == nil {
		<-ctx.Done()
		return durable.Event{}, ctx.Err()
	}
	return e, err
}

// newFleet makes VMs, two to a data centre; one of each two is a watcher.
func newFleet(s *store.Store, n int) *fleet {
	f := &fleet{store: s}
	for i := range n {
		f.add(string(rune('a'+i)), i%2 == 0)
	}
	return f
}

func (f *fleet) add(name string, watcher bool) *vm {
	v := &vm{fleet: f, name: name, watcher: watcher}
	v.cache = NewCache(Options{Store: link{f.store, v}, Peers: v, Contacts: v, DataCentre: v.dataCentre(), VMs: f.places})
	v.editor = NewEditor(link{f.store, v}, v.cache)
	f.vms = append(f.vms, v)
	return v
}

func (v *vm) dataCentre() string { return string((v.name[0]-'a')/2 + '1') }

func (v *vm) Watcher() bool { return v.watcher }

func (v *vm) heard(other *vm) bool { return other != v && !v.cut.Load() && !other.cut.Load() }

func (v *vm) Revisions() map[string]int64 {
	m := make(map[string]int64)
	for _, other := range v.fleet.vms {
		if v.heard(other) {
			m[other.name] = other.cache.Revision()
		}
	}
	return m
}

func (v *vm) Fetch(_ context.Context, name string, have int64) ([]byte, error) {
	for _, other := range v.fleet.vms {
		if other.name == name && v.heard(other) {
			if stale := other.stale.Load(); stale != nil {
				return *stale, nil
			}
			return other.cache.Encoded(have), nil
		}
	}
	return nil, errors.New("cut")
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
		if other.name == name && v.heard(other) {
			return other.cache.Evidence(time.Now()), nil
		}
	}
	return staleness.Evidence{}, errors.New("cut")
}

func (v *vm) Tell(_ context.Context, name string, revision int64) error {
	for _, other := range v.fleet.vms {
		if other.name == name && v.heard(other) {
			other.cache.Hint(v.name, revision)
			return nil
		}
	}
	return errors.New("cut")
}

// places is the platform's list of VMs, counted.
func (f *fleet) places() map[string]int {
	m := make(map[string]int)
	for _, v := range f.vms {
		m[v.dataCentre()]++
	}
	return m
}

// run starts the caches; the returned function stops them.
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

// settle lets virtual time pass.
func settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}
