// Package storetest tests the contract of durable.Store in one table of tests, which the
// stand-in and each client of the platform must pass.
package storetest

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/durable"
)

// Faults injects faults into the store under test.
type Faults interface {
	// SetOutage starts an outage if down is true, and otherwise ends it.
	SetOutage(down bool)
	// LoseReply loses the reply to the next write, with or without its effect.
	LoseReply(effect bool)
	// HoldWrite loses the next write's reply and delays its effect until Release.
	HoldWrite()
	// Release delivers a held write to the store, which then checks its condition.
	Release()
	// LoseHistory drops the history, so that the next watch fails with ErrGone.
	LoseHistory()
	// SetDelay delays each call.
	SetDelay(d time.Duration)
	// SetVMs replaces the list of VMs.
	SetVMs(vms []durable.VM)
}

// Fixture is one empty store with its fault injection.
type Fixture struct {
	Store  durable.Store
	Faults Faults
}

const kind = "claims"

var key = durable.Key{Kind: kind, Name: "a/b+c d"}

// Run runs the tests of the contract, each on a new store from newStore.
func Run(t *testing.T, newStore func(*testing.T) Fixture) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.run(t, newStore(t)) })
	}
}

var cases = []struct {
	name string
	run  func(*testing.T, Fixture)
}{
	{"get of a missing object", getMissing},
	{"versions grow over all objects", versionsGrow},
	{"a conflict returns the current object", conflicts},
	{"delete", deleteObject},
	{"value too large", tooLarge},
	{"list is consistent with a watch", listThenWatch},
	{"outage", outage},
	{"outage breaks a watch", outageBreaksWatch},
	{"reply lost after the effect", replyLost},
	{"reply lost without effect", writeLost},
	{"write takes effect late", lateWrite},
	{"late write is fenced by a later one", lateWriteFenced},
	{"history lost", historyLost},
	{"closed watch", closedWatch},
	{"slow", slow},
	{"list of VMs", vms},
}

func getMissing(t *testing.T, f Fixture) {
	_, err := f.Store.Get(t.Context(), key)
	require.ErrorIs(t, err, durable.ErrNotFound)
}

func versionsGrow(t *testing.T, f Fixture) {
	a := put(t, f, key, "1", 0)
	other := put(t, f, durable.Key{Kind: "other", Name: "x"}, "2", 0)
	b := put(t, f, key, "3", a.Version)
	require.Less(t, a.Version, other.Version)
	require.Less(t, other.Version, b.Version)
	got, err := f.Store.Get(t.Context(), key)
	require.NoError(t, err)
	require.Equal(t, b, got)
}

func conflicts(t *testing.T, f Fixture) {
	_, err := f.Store.Put(t.Context(), key, []byte("x"), 7)
	requireConflict(t, err, 0, "")
	first := put(t, f, key, "1", 0)
	_, err = f.Store.Put(t.Context(), key, []byte("x"), 0)
	requireConflict(t, err, first.Version, "1")
	second := put(t, f, key, "2", first.Version)
	_, err = f.Store.Put(t.Context(), key, []byte("x"), first.Version)
	requireConflict(t, err, second.Version, "2")
	requireConflict(t, f.Store.Delete(t.Context(), key, first.Version), second.Version, "2")
}

func deleteObject(t *testing.T, f Fixture) {
	require.ErrorIs(t, f.Store.Delete(t.Context(), key, 3), durable.ErrNotFound)
	o := put(t, f, key, "1", 0)
	require.NoError(t, f.Store.Delete(t.Context(), key, o.Version))
	_, err := f.Store.Get(t.Context(), key)
	require.ErrorIs(t, err, durable.ErrNotFound)
	again := put(t, f, key, "2", 0)
	require.Greater(t, again.Version, o.Version+1, "a deletion is a revision too")
}

func tooLarge(t *testing.T, f Fixture) {
	_, err := f.Store.Put(t.Context(), key, make([]byte, durable.MaxValueBytes+1), 0)
	require.ErrorIs(t, err, durable.ErrTooLarge)
	o, err := f.Store.Put(t.Context(), key, make([]byte, durable.MaxValueBytes), 0)
	require.NoError(t, err)
	got, err := f.Store.Get(t.Context(), key)
	require.NoError(t, err)
	require.Len(t, got.Value, durable.MaxValueBytes)
	require.Equal(t, o.Version, got.Version)
}

func listThenWatch(t *testing.T, f Fixture) {
	a := put(t, f, key, "1", 0)
	listing, err := f.Store.List(t.Context(), kind)
	require.NoError(t, err)
	require.Equal(t, []durable.Object{a}, listing.Objects)
	put(t, f, durable.Key{Kind: "other", Name: "x"}, "2", 0)
	b := put(t, f, key, "3", a.Version)
	w, err := f.Store.Watch(t.Context(), kind, listing.Revision)
	require.NoError(t, err)
	defer w.Close()
	requireEvent(t, w, durable.Event{Object: b})
	require.NoError(t, f.Store.Delete(t.Context(), key, b.Version))
	gone := durable.Event{Object: durable.Object{Key: key, Version: b.Version + 1}, Deleted: true}
	requireEvent(t, w, gone)
}

func outage(t *testing.T, f Fixture) {
	o := put(t, f, key, "1", 0)
	f.Faults.SetOutage(true)
	ctx := t.Context()
	_, err := f.Store.Put(ctx, key, []byte("2"), o.Version)
	require.ErrorIs(t, err, durable.ErrUnavailable)
	require.ErrorIs(t, f.Store.Delete(ctx, key, o.Version), durable.ErrUnavailable)
	_, err = f.Store.Get(ctx, key)
	require.ErrorIs(t, err, durable.ErrUnavailable)
	_, err = f.Store.List(ctx, kind)
	require.ErrorIs(t, err, durable.ErrUnavailable)
	_, err = f.Store.VMs(ctx)
	require.ErrorIs(t, err, durable.ErrUnavailable)
	_, err = f.Store.Watch(ctx, kind, 0)
	require.ErrorIs(t, err, durable.ErrUnavailable)
	f.Faults.SetOutage(false)
	got, err := f.Store.Get(ctx, key)
	require.NoError(t, err)
	require.Equal(t, o, got, "a call refused as unavailable had no effect")
}

func outageBreaksWatch(t *testing.T, f Fixture) {
	w, err := f.Store.Watch(t.Context(), kind, 0)
	require.NoError(t, err)
	defer w.Close()
	f.Faults.SetOutage(true)
	_, err = w.Next(t.Context())
	require.ErrorIs(t, err, durable.ErrUnavailable)
	f.Faults.SetOutage(false)
	o := put(t, f, key, "1", 0)
	again, err := f.Store.Watch(t.Context(), kind, 0)
	require.NoError(t, err)
	defer again.Close()
	requireEvent(t, again, durable.Event{Object: o})
}

func replyLost(t *testing.T, f Fixture) {
	f.Faults.LoseReply(true)
	_, err := f.Store.Put(t.Context(), key, []byte("1"), 0)
	require.ErrorIs(t, err, durable.ErrUnknown)
	require.NotErrorIs(t, err, durable.ErrUnavailable)
	got, err := f.Store.Get(t.Context(), key)
	require.NoError(t, err)
	require.Equal(t, "1", string(got.Value))
	f.Faults.LoseReply(true)
	require.ErrorIs(t, f.Store.Delete(t.Context(), key, got.Version), durable.ErrUnknown)
	_, err = f.Store.Get(t.Context(), key)
	require.ErrorIs(t, err, durable.ErrNotFound)
}

func writeLost(t *testing.T, f Fixture) {
	f.Faults.LoseReply(false)
	_, err := f.Store.Put(t.Context(), key, []byte("1"), 0)
	require.ErrorIs(t, err, durable.ErrUnknown)
	_, err = f.Store.Get(t.Context(), key)
	require.ErrorIs(t, err, durable.ErrNotFound)
}

func lateWrite(t *testing.T, f Fixture) {
	f.Faults.HoldWrite()
	_, err := f.Store.Put(t.Context(), key, []byte("late"), 0)
	require.ErrorIs(t, err, durable.ErrUnknown)
	_, err = f.Store.Get(t.Context(), key)
	require.ErrorIs(t, err, durable.ErrNotFound)
	f.Faults.Release()
	got, err := f.Store.Get(t.Context(), key)
	require.NoError(t, err)
	require.Equal(t, "late", string(got.Value))
}

func lateWriteFenced(t *testing.T, f Fixture) {
	f.Faults.HoldWrite()
	_, err := f.Store.Put(t.Context(), key, []byte("late"), 0)
	require.ErrorIs(t, err, durable.ErrUnknown)
	second := put(t, f, key, "second", 0)
	f.Faults.Release()
	got, err := f.Store.Get(t.Context(), key)
	require.NoError(t, err)
	require.Equal(t, second, got)
}

func historyLost(t *testing.T, f Fixture) {
	f.Faults.LoseHistory()
	w, err := f.Store.Watch(t.Context(), kind, 0)
	if err == nil {
		defer w.Close()
		_, err = w.Next(t.Context())
	}
	require.ErrorIs(t, err, durable.ErrGone)
}

func closedWatch(t *testing.T, f Fixture) {
	w, err := f.Store.Watch(t.Context(), kind, 0)
	require.NoError(t, err)
	waiting := make(chan error)
	go func() {
		_, err := w.Next(context.WithoutCancel(t.Context()))
		waiting <- err
	}()
	w.Close()
	require.ErrorIs(t, <-waiting, durable.ErrUnavailable)
	w.Close()
}

func slow(t *testing.T, f Fixture) {
	f.Faults.SetDelay(time.Minute)
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	_, err := f.Store.Get(ctx, key)
	require.ErrorIs(t, err, durable.ErrUnavailable)
	_, err = f.Store.Put(ctx, key, []byte("1"), 0)
	require.Error(t, err)
	f.Faults.SetDelay(0)
}

func vms(t *testing.T, f Fixture) {
	want := []durable.VM{{ID: "vm-1", Address: "192.0.2.1:1", DataCentre: "norte-a", Leaving: true}}
	f.Faults.SetVMs(want)
	got, err := f.Store.VMs(t.Context())
	require.NoError(t, err)
	require.Equal(t, want, got)
}

func put(t *testing.T, f Fixture, k durable.Key, value string, ifVersion int64) durable.Object {
	t.Helper()
	o, err := f.Store.Put(t.Context(), k, []byte(value), ifVersion)
	require.NoError(t, err)
	require.Equal(t, k, o.Key)
	require.Equal(t, value, string(o.Value))
	return o
}

func requireConflict(t *testing.T, err error, version int64, value string) {
	t.Helper()
	require.ErrorIs(t, err, durable.ErrConflict)
	var conflict *durable.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, key, conflict.Current.Key)
	require.Equal(t, version, conflict.Current.Version)
	require.Equal(t, value, string(conflict.Current.Value))
}

func requireEvent(t *testing.T, w durable.Watch, want durable.Event) {
	t.Helper()
	got, err := w.Next(t.Context())
	require.NoError(t, err)
	require.Equal(t, want.Key, got.Key)
	require.Equal(t, want.Version, got.Version)
	require.Equal(t, string(want.Value), string(got.Value))
	require.Equal(t, want.Deleted, got.Deleted)
}
