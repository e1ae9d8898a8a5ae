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

// vm is one VM's configuration over the shared platform.
type vm struct {
	*Edited
	cache *config.Cache
	store *store.Store
}

func newVM(s *store.Store) vm {
	cache := config.NewCache(config.Options{Store: s})
	editor := config.NewEditor(s, cache)
	editor.Gate = nil // whether a VM may accept changes is config's matter
	return vm{NewEdited(cache, editor), cache, s}
}

// read brings the VM up to date.
func (v vm) read(t *testing.T) {
	o, err := v.store.Get(t.Context(), config.RootKey)
	require.NoError(t, err)
	_, err = v.cache.Offer(o.Value)
	require.NoError(t, err)
}

func seeded(t *testing.T, s *store.Store) vm {
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

func step(obj config.Object) error {
	obj.(*config.RollOut).Step++
	return nil
}

// The contract of Configuration.Update, over the real editor and a platform with
// faults: a controller's step takes effect once and its error says truly whether.
func TestUpdate(t *testing.T) {
	for name, c := range map[string]struct {
		faults store.Faults
		other  bool // another VM's change comes first
		mutate func(config.Object) error
		want   error
		step   int
	}{
		"accepted":                      {mutate: step, step: 1},
		"another VM was first":          {other: true, mutate: step, want: ErrConflict, step: 1},
		"platform down":                 {faults: store.Faults{Down: true}, mutate: step, want: durable.ErrUnavailable},
		"reply lost, effect took place": {faults: store.Faults{LoseReplies: 1}, mutate: step, step: 1},
		"reply lost, without effect":    {faults: store.Faults{RefuseWrites: 1}, mutate: step, step: 1},
		"replies lost until the end":    {faults: store.Faults{RefuseWrites: 1 << 20}, mutate: step, want: durable.ErrUnknown},
		"mutate refuses":                {mutate: func(config.Object) error { return errRefused }, want: errRefused},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := store.New()
				v, other := seeded(t, s), newVM(s)
				judged := v.rollOut()
				other.read(t)
				if c.other {
					_, err := other.Update(t.Context(), config.KindRollOut, "r", step, judged.Revision)
					require.NoError(t, err)
				}
				s.SetFaults(c.faults)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				revision, err := v.Update(ctx, config.KindRollOut, "r", c.mutate, judged.Revision)
				require.ErrorIs(t, err, c.want)
				s.SetFaults(store.Faults{})
				v.read(t)
				require.Equal(t, c.step, v.rollOut().Step)
				require.Zero(t, judged.Step, "a published object never changes")
				if err == nil {
					require.Equal(t, revision, v.rollOut().Revision)
				}
				if c.step == 1 {
					_, err = v.Update(t.Context(), config.KindRollOut, "r", step, judged.Revision)
					require.ErrorIs(t, err, ErrConflict, "a repeat on the judged revision loses")
				}
			})
		})
	}
	_, err := newVM(store.New()).Update(t.Context(), config.KindRollOut, "r", step, 1)
	require.ErrorIs(t, err, ErrConflict, "unknown object")
}
