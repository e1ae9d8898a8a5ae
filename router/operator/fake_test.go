package operator_test

import (
	"context"

	"goldcrestfork/config"
	"goldcrestfork/durable"
	"goldcrestfork/standin/store"
)

// downAfterWrite makes the store unavailable after its first write.
type downAfterWrite struct{ *store.Store }

func (d downAfterWrite) Put(ctx context.Context, key durable.Key, value []byte, ifVersion int64) (durable.Object, error) {
	o, err := d.Store.Put(ctx, key, value, ifVersion)
	d.SetFaults(store.Faults{Down: true})
	return o, err
}

// cancelledOnOutage cancels a change when the platform becomes unavailable.
type cancelledOnOutage struct{ *config.Editor }

func (e cancelledOnOutage) ApplyOnce(ctx context.Context, id string, since int64, changes []config.Change) (int64, *config.Snapshot, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	inner := *e.Editor
	inner.Store = cancelOnDown{inner.Store, cancel}
	return inner.ApplyOnce(ctx, id, since, changes)
}

// cancelOnDown cancels the change at the first read that fails with ErrUnavailable.
type cancelOnDown struct {
	durable.Store
	cancel context.CancelFunc
}

func (c cancelOnDown) Get(ctx context.Context, key durable.Key) (durable.Object, error) {
	o, err := c.Store.Get(ctx, key)
	if err == durable.ErrUnavailable {
		c.cancel()
	}
	return o, err
}
