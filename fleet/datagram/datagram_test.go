package datagram

import (
	"context"
	"strconv"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A packet must arrive with the address for an answer, and the end of the context must end both
// sides without a leaked goroutine.
func TestPacketIsAnswered(t *testing.T) {
	traffic := NewTraffic(prometheus.NewRegistry())
	a, err := Listen("127.0.0.1:0", "a", traffic)
	require.NoError(t, err)
	b, err := Listen("127.0.0.1:0", "b", traffic)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{}, 2)
	got := make(chan string, 1)
	onError := func(err error) { t.Error(err) }
	go func() {
		a.Run(ctx, func(p []byte, _ string) { got <- string(p) }, onError)
		done <- struct{}{}
	}()
	go func() {
		b.Run(ctx, func(p []byte, from string) {
			if err := b.Send(append([]byte("re: "), p...), from); err != nil {
				t.Error(err)
			}
		}, onError)
		done <- struct{}{}
	}()
	require.NoError(t, a.Send([]byte("x"), b.Addr()))
	require.Equal(t, "re: x", <-got)
	require.Error(t, a.Send(nil, "no address"))
	cancel()
	<-done
	<-done
}

// Guards against packets that reach the handler of another channel of the socket.
func TestChannelsShareASocket(t *testing.T) {
	traffic := NewTraffic(prometheus.NewRegistry())
	a, err := Listen("127.0.0.1:0", "main", traffic)
	require.NoError(t, err)
	got := make(chan string, 3)
	channel := a.Channel(1, "side", func(p []byte, from string) {
		got <- "channel " + string(p) + " from itself: " + strconv.FormatBool(from == a.Addr())
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		a.Run(ctx, func(p []byte, _ string) { got <- "main " + string(p) }, func(err error) { t.Error(err) })
		close(done)
	}()
	require.NoError(t, channel.Send([]byte("x"), a.Addr()))
	require.Equal(t, "channel x from itself: true", <-got)
	require.NoError(t, a.Send([]byte("y"), a.Addr()))
	require.Equal(t, "main y", <-got)
	require.NoError(t, a.Send(nil, a.Addr()))
	require.Equal(t, "main ", <-got)
	for _, direction := range []string{"sent", "received"} {
		require.Equal(t, 2.0, testutil.ToFloat64(traffic.bytes.WithLabelValues("side", direction)), "the tag counts")
		require.Equal(t, 1.0, testutil.ToFloat64(traffic.bytes.WithLabelValues("main", direction)))
		require.Equal(t, 2.0, testutil.ToFloat64(traffic.packets.WithLabelValues("main", direction)))
	}
	cancel()
	<-done
}
