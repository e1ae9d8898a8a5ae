package datagram

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A packet arrives with the address to answer to, and the end of the context ends both
// sides without a goroutine left.
func TestThereAndBack(t *testing.T) {
	a, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	b, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{}, 2)
	got := make(chan string, 1)
	failed := func(err error) { t.Error(err) }
	go func() {
		a.Run(ctx, func(p []byte, _ string) { got <- string(p) }, failed)
		done <- struct{}{}
	}()
	go func() {
		b.Run(ctx, func(p []byte, from string) {
			if err := b.Send(append([]byte("re: "), p...), from); err != nil {
				t.Error(err)
			}
		}, failed)
		done <- struct{}{}
	}()
	require.NoError(t, a.Send([]byte("x"), b.Addr()))
	require.Equal(t, "re: x", <-got)
	require.Error(t, a.Send(nil, "no address"))
	cancel()
	<-done
	<-done
}
