package control

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/config"
	"goldcrestfork/durable"
	"goldcrestfork/standin/store"
)

var errRefused = errors.New("refused by mutate")

// vm is one VM's configuration cache and editor on the shared store.
type vm struct {
	*CachedConfiguration
	cache *config.Cache
	store *store.Store
}

func newVM(s *store.Store) vm {
	cache := config.NewCache(config.Options{Store: s})
	editor := config.NewEditor(s, cache)
	editor.MayAccept = nil // package config decides whether a VM may accept changes
	return vm{NewCachedConfiguration(cache, editor), cache, s}
}

// refresh loads the current configuration into the VM's cache.
func (v vm) refresh(t *testing.T) {
	o, err := v.store.Get(t.Context(), config.RootKey)
	require.NoError(t, err)
	_, err = v.cache.Offer(o.Value)
	require.NoError(t, err)
}

func newSeededVM(t *testing.T, s *store.Store) vm {
	v := newVM(s)
	version := func(name string) config.Change {
		return config.Change{Object: &config.ModelVersion{
			Meta: config.Meta{Name: name}, Model: "m", State: config.VersionServing, Cost: 100, Quality: 0.8,
		}}
	}
	_, _, err := v.editor.Apply(t.Context(), []config.Change{version("v1"), version("v2"), {Object: &config.RollOut{
		Meta: config.Meta{Name: "r"}, Model: "m", From: "v1", To: "v2",
		Steps: []float64{5, 25, 100}, State: config.RollOutRunning,
	}}})
	require.NoError(t, err)
	return v
}

func (v vm) rollOut() *config.RollOut { return v.Snapshot().RollOuts["r"] }

func incrementStep(obj config.Object) error {
	obj.(*config.RollOut).Step++
	return nil
}

// Configuration.Update runs with the real editor on a store with faults. A
// controller's step must take effect at most once, and the error must match the outcome.
func TestUpdate(t *testing.T) {
	for name, c := range map[string]struct {
		faults store.Faults
		other  bool // another VM's change comes first
		mutate func(config.Object) error
		want   error
		step   int
	}{
		"accepted":                      {mutate: incrementStep, step: 1},
		"another VM was first":          {other: true, mutate: incrementStep, want: ErrConflict, step: 1},
		"platform down":                 {faults: store.Faults{Down: true}, mutate: incrementStep, want: durable.ErrUnavailable},
		"reply lost, effect took place": {faults: store.Faults{LoseReplies: 1}, mutate: incrementStep, step: 1},
		"reply lost, without effect":    {faults: store.Faults{RefuseWrites: 1}, mutate: incrementStep, step: 1},
		"replies lost until the end":    {faults: store.Faults{RefuseWrites: 1 << 20}, mutate: incrementStep, want: durable.ErrUnknown},
		"mutate refuses":                {mutate: func(config.Object) error { return errRefused }, want: errRefused},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := store.New()
				v, other := newSeededVM(t, s), newVM(s)
				evaluated := v.rollOut()
				other.refresh(t)
				if c.other {
					_, err := other.Update(t.Context(), config.KindRollOut, "r", incrementStep, evaluated.Revision)
					require.NoError(t, err)
				}
				s.SetFaults(c.faults)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				revision, err := v.Update(ctx, config.KindRollOut, "r", c.mutate, evaluated.Revision)
				require.ErrorIs(t, err, c.want)
				s.SetFaults(store.Faults{})
				v.refresh(t)
				require.Equal(t, c.step, v.rollOut().Step)
				require.Zero(t, evaluated.Step, "a published object isn't modified")
				if err == nil {
					require.Equal(t, revision, v.rollOut().Revision)
				}
				if c.step == 1 {
					_, err = v.Update(t.Context(), config.KindRollOut, "r", incrementStep, evaluated.Revision)
					require.ErrorIs(t, err, ErrConflict, "a repeat on the old revision conflicts")
				}
			})
		})
	}
	_, err := newVM(store.New()).Update(t.Context(), config.KindRollOut, "r", incrementStep, 1)
	require.ErrorIs(t, err, ErrConflict, "unknown object")
}
