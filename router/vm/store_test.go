package vm

import (
	"testing"

	"github.com/stretchr/testify/require"

	"goldcrestfork/durable"
	"goldcrestfork/router/answer/answertest"
)

// Guards against a write that counts as done since the platform reset its connection during it, after a 200 without length.
func TestWriteThatIsResetIsNotDone(t *testing.T) {
	ctx, address := answertest.ResetDuringUpload(t, "HTTP/1.1 200 OK\r\nETag: \"7\"\r\n\r\n")
	s := newStore("http://" + address)
	defer s.CloseIdle()
	for range answertest.Plays {
		_, err := s.Put(ctx, durable.Key{Kind: "k", Name: "n"}, make([]byte, durable.MaxValueBytes), 0)
		require.ErrorIs(t, err, durable.ErrUnknown)
	}
}
