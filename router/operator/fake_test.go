package operator_test

import (
	"context"

	"goldcrestfork/config"
	"goldcrestfork/objectstore"
	"goldcrestfork/standin/store"
)

// downAfterWrite goes down with its first write.
type downAfterWrite struct{ *store.Store }

func (d downAfterWrite) Put(ctx context.Context, key objectstore.Key, value []byte, ifVersion int64) (objectstore.Object, error) {
	o, err := d.Store.Put(ctx, key, value, ifVersion)
	d.SetFaults(store.Faults{Down: true})
	return o, err
}

// impatient gives a change as long as the platform stays up.
type impatient struct{ *config.Editor }

func (e impatient) ApplyOnce(ctx context.Context, id string, since int64, changes []config.Change) (int64, *config.Snapshot, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	inner := *e.Editor
	inner.Store = cancelOnDown{inner.Store, cancel}
	return inner.ApplyOnce(ctx, id, since, changes)
}

// cancelOnDown ends the change's budget at the first call that the platform refuses.
type cancelOnDown struct {
	objectstore.Store
	cancel context.CancelFunc
}

func (c cancelOnDown) Get(ctx context.Context, key objectstore.Key) (objectstore.Object, error) {
	o, err := c.Store.Get(ctx, key)
	if err == objectstore.ErrUnavailable {
		c.cancel()
	}
	return o, err
}
