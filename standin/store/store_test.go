package store

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"goldcrestfork/platform"
)

// A writer loses the reply to a write that took effect. It must be able to read
// the effect back, and a second conditional write on the old version must lose.
func TestLostReplyTookEffect(t *testing.T) {
	ctx := context.Background()
	s := New()
	key := platform.Key{Kind: "k", Name: "n"}
	s.SetFaults(Faults{LoseReplies: 1})
	_, err := s.Put(ctx, key, []byte("a"), 0)
	require.ErrorIs(t, err, platform.ErrUnknown)
	o, err := s.Get(ctx, key)
	require.NoError(t, err)
	require.Equal(t, "a", string(o.Value))
	_, err = s.Put(ctx, key, []byte("b"), 0)
	var conflict *platform.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, o.Version, conflict.Current.Version)
}
