package config

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"goldcrestfork/config/staleness"
	"goldcrestfork/standin/store"
)

// A change that is accepted on one VM must be readable on a VM without a watch: WaitRevision
// with the change's revision returns once the change is in force there.
func TestReadYourWritesOnAnotherVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(store.New(), 7)
		defer f.run(t.Context())()
		advance(time.Second)
		revision, _, err := f.vms[0].editor.Apply(t.Context(), []Change{centre("norte-a")})
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		for _, v := range f.vms {
			s, err := v.cache.WaitRevision(ctx, revision)
			require.NoError(t, err)
			require.Contains(t, s.DataCentres, "norte-a")
		}
		_, err = f.vms[0].cache.WaitRevision(ctx, revision+1)
		require.ErrorIs(t, err, context.DeadlineExceeded)
	})
}

// A peer that lags, a late watch event and a restored backup each offer the configuration from
// before a change. None of them may replace the later one, or a withdrawn version would serve
// again.
func TestConfigurationNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(store.New(), 4)
		defer f.run(t.Context())()
		advance(time.Second)
		first, err := f.vms[0].cache.WaitRevision(t.Context(), 0)
		require.NoError(t, err)
		old, err := Encode(first)
		require.NoError(t, err)
		_, _, err = f.vms[0].editor.Apply(t.Context(), []Change{centre("norte-a")})
		require.NoError(t, err)
		advance(5 * time.Second)

		for _, v := range f.vms {
			ok, err := v.cache.Offer(old)
			require.NoError(t, err)
			require.False(t, ok)
			require.EqualValues(t, 1, v.cache.Revision())
		}
		o, err := f.store.Get(t.Context(), RootKey)
		require.NoError(t, err)
		_, err = f.store.Put(t.Context(), RootKey, old, o.Version)
		require.NoError(t, err)
		advance(20 * time.Second)
		for _, v := range f.vms {
			require.EqualValues(t, 1, v.cache.Revision())
		}
		_, _, err = f.vms[1].editor.Apply(t.Context(), []Change{centre("norte-b")})
		require.ErrorIs(t, err, ErrReverted)

		// Restore repairs the platform, although the reply to its write is lost.
		f.store.SetFaults(store.Faults{LoseReplies: 1})
		revision, _, err := f.vms[1].editor.Restore(t.Context(), "restore-1")
		require.NoError(t, err)
		require.EqualValues(t, 2, revision)
		advance(20 * time.Second)
		for _, v := range f.vms {
			require.EqualValues(t, 2, v.cache.Revision())
			require.Contains(t, v.cache.Snapshot().DataCentres, "norte-a")
			require.Equal(t, staleness.Fresh, v.cache.Staleness(time.Now()).Verdict)
		}
		again, _, err := f.vms[1].editor.Restore(t.Context(), "restore-1")
		require.NoError(t, err, "a repeat with the same id must return the first result")
		require.EqualValues(t, 2, again)
		_, _, err = f.vms[0].editor.Restore(t.Context(), "")
		require.ErrorIs(t, err, ErrNothingToRestore)
		_, _, err = f.vms[1].editor.Apply(t.Context(), []Change{centre("norte-b")})
		require.NoError(t, err)
	})
}

// The platform holds an older configuration, and the VM that the operator asks to restore lags
// behind another VM. Its configuration must not replace the later one.
func TestRestoreRefusesALaggingVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(store.New(), 4)
		later, err := Encode(&Snapshot{Revision: 7})
		require.NoError(t, err)
		earlier, err := Encode(&Snapshot{Revision: 6})
		require.NoError(t, err)
		for i, v := range f.vms {
			_, err := v.cache.Offer([][]byte{earlier, later}[i%2])
			require.NoError(t, err)
		}
		_, _, err = f.vms[0].editor.Restore(t.Context(), "")
		require.ErrorIs(t, err, ErrAhead)
		revision, _, err := f.vms[1].editor.Restore(t.Context(), "")
		require.NoError(t, err)
		require.EqualValues(t, 8, revision)
	})
}

// A watch's connection dies unnoticed while a change is accepted, and the platform no longer
// has that event when a new watch is opened. The cache must list again, else the VM would serve
// under the old configuration for good.
func TestWatchGapsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		f := newFleet(s, 1)
		defer f.run(t.Context())()
		advance(time.Second)
		v, other := f.vms[0], Editor{Store: s}
		v.storeUnreachable.Store(true)
		revision, _, err := other.Apply(t.Context(), []Change{centre("norte-a")})
		require.NoError(t, err)
		advance(10 * time.Millisecond)
		require.Zero(t, v.cache.Revision())
		v.storeUnreachable.Store(false)
		s.SetFaults(store.Faults{HistoryLost: true})
		advance(2 * WatchRotation)
		require.Equal(t, revision, v.cache.Revision())
	})
}

// The platform is down for ten minutes: VMs go on taking work, a starting VM gets the
// configuration from its peers, and one without peers is not ready. A VM that is cut off from
// its peers and the platform while the platform works must stop taking work within
// staleness.MaxConfirmationAge.
func TestPlatformOutageAndIsolatedVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		f := newFleet(s, 6)
		stop := f.run(t.Context())
		advance(time.Second)
		_, _, err := f.vms[0].editor.Apply(t.Context(), []Change{centre("norte-a")})
		require.NoError(t, err)
		advance(5 * time.Second)
		s.SetFaults(store.Faults{Down: true})
		advance(10 * time.Minute)
		for _, v := range f.vms {
			d := v.cache.Staleness(time.Now())
			require.Equal(t, staleness.StoreDown, d.Verdict, "%s: %s", v.name, d.Reason)
		}
		stop()

		joining := f.add("b", false)
		alone := f.add("f", false)
		alone.isolated.Store(true)
		defer f.run(t.Context())()
		advance(5 * time.Second)
		require.EqualValues(t, 1, joining.cache.Revision())
		require.True(t, joining.cache.Staleness(time.Now()).TakesWork())
		require.Equal(t, staleness.Starting, alone.cache.Staleness(time.Now()).Verdict)

		s.SetFaults(store.Faults{})
		advance(15 * time.Second)
		require.Equal(t, staleness.Fresh, alone.cache.Staleness(time.Now()).Verdict, "a VM without peers must read the platform itself")
		cutOff := f.vms[0]
		cutOff.isolated.Store(true)
		cutOff.storeUnreachable.Store(true)
		advance(staleness.MaxConfirmationAge + WatchRotation)
		require.Equal(t, staleness.Cut, cutOff.cache.Staleness(time.Now()).Verdict)
		require.EqualValues(t, 1, testutil.ToFloat64(cutOff.cache.opts.Metrics.Verdicts.WithLabelValues("cut")), "the change of the verdict must be counted")
		_, _, err = cutOff.editor.Apply(t.Context(), []Change{centre("norte-b")})
		require.ErrorIs(t, err, staleness.ErrMinority)
		require.Equal(t, staleness.Fresh, f.vms[1].cache.Staleness(time.Now()).Verdict)
	})
}
