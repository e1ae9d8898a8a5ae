package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// pair returns links a and b, which trust each other, and credentials that neither
// trusts.
func pair(t *testing.T) (a, b *Link, foreign Credentials) {
	set, err := NewTrialSet(time.Now(), "a", "b")
	require.NoError(t, err)
	other, err := NewTrialSet(time.Now(), "a")
	require.NoError(t, err)
	foreign, err = other.Credentials("a")
	require.NoError(t, err)
	return open(t, set, "a"), open(t, set, "b"), foreign
}

func open(t *testing.T, set TrialSet, id string) *Link {
	c, err := set.Credentials(id)
	require.NoError(t, err)
	l, err := Listen(Options{Listen: "127.0.0.1:0", Credentials: c, Registerer: prometheus.NewRegistry()})
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func target(l *Link) Target { return Target{ID: l.ID(), Address: l.Addr()} }

// A caller decides by the error alone whether it may ask another VM. Each row is one
// way in which a call ends; reporting a call that was sent as "not sent" would run an
// action twice.
func TestCallErrorTellsWhetherItRan(t *testing.T) {
	a, b, _ := pair(t)
	unreachable := Target{ID: "b", Address: freeAddress(t)}
	entered := make(chan struct{})
	a.Register("echo", func(context.Context, string, []byte) ([]byte, error) {
		t.Error("a call to b ran on the VM that took over its address")
		return nil, nil
	})
	b.Register("echo", func(_ context.Context, from string, body []byte) ([]byte, error) {
		return append([]byte(from+":"), body...), nil
	})
	b.Register("fail", func(context.Context, string, []byte) ([]byte, error) { return nil, errors.New("no slot") })
	b.Register("large", func(context.Context, string, []byte) ([]byte, error) { return make([]byte, MaxBody+1), nil })
	b.Register("hang", func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
		close(entered)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	var remote *RemoteError
	for _, c := range []struct {
		name   string
		target Target
		method string
		body   []byte
		check  func(t *testing.T, answer []byte, err error)
	}{
		{"answered", target(b), "echo", []byte("x"), func(t *testing.T, answer []byte, err error) {
			require.NoError(t, err)
			require.Equal(t, "a:x", string(answer))
		}},
		{"largest body", target(b), "echo", make([]byte, MaxBody-8), func(t *testing.T, answer []byte, err error) {
			require.NoError(t, err)
			require.Len(t, answer, MaxBody-6)
		}},
		{"body too large", target(b), "echo", make([]byte, MaxBody+1), requireIs(ErrNotSent)},
		{"reply too large", target(b), "large", nil, func(t *testing.T, _ []byte, err error) { require.ErrorAs(t, err, &remote) }},
		{"handler's error", target(b), "fail", nil, func(t *testing.T, _ []byte, err error) {
			require.ErrorAs(t, err, &remote)
			require.Equal(t, "no slot", remote.Message)
		}},
		{"no such method", target(b), "none", nil, requireIs(ErrNotSent)},
		{"no listener at the address", unreachable, "echo", nil, requireIs(ErrNotSent)},
		{"another VM at the address", Target{ID: "b", Address: a.Addr()}, "echo", nil, requireIs(ErrNotSent)},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer, err := a.Call(context.Background(), c.target, c.method, c.body)
			c.check(t, answer, err)
		})
	}
	t.Run("caller cancels", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-entered
			cancel()
		}()
		_, err := a.Call(ctx, target(b), "hang", nil)
		require.ErrorIs(t, err, ErrOutcomeUnknown)
	})
}

func requireIs(want error) func(*testing.T, []byte, error) {
	return func(t *testing.T, _ []byte, err error) { require.ErrorIs(t, err, want) }
}

func freeAddress(t *testing.T) string {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

// A process without a certificate of the fleet's CA connects to the peer port. It must
// not run a method, the refusal must be counted, and the caller's error must be
// ErrNotSent.
func TestPeerWithoutCertificateIsRefused(t *testing.T) {
	_, b, foreign := pair(t)
	b.Register("echo", func(context.Context, string, []byte) ([]byte, error) {
		t.Error("a call without a valid certificate ran")
		return nil, nil
	})
	none := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{protocol}}
	wrong := foreign.clientTLS("")
	wrong.VerifyConnection = nil
	for i, conf := range []*tls.Config{none, wrong} {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		q, err := quic.DialAddr(ctx, b.Addr(), conf, quicConfig())
		if err == nil {
			<-q.Context().Done()
			err = context.Cause(q.Context())
		}
		require.ErrorIs(t, classify(err), ErrNotSent)
		require.Equal(t, float64(i+1), testutil.ToFloat64(b.metrics.refused))
		cancel()
	}
}

// A VM's process restarts with the same id and address. Peers hold a connection to the
// old process; calls must reach the new one without waiting for the idle timeout.
func TestRestartedPeerIsReached(t *testing.T) {
	set, err := NewTrialSet(time.Now(), "a", "b")
	require.NoError(t, err)
	a, b := open(t, set, "a"), open(t, set, "b")
	pong := func(context.Context, string, []byte) ([]byte, error) { return nil, nil }
	b.Register("ping", pong)
	to := target(b)
	_, err = a.Call(context.Background(), to, "ping", nil)
	require.NoError(t, err)
	require.NoError(t, b.udp.Close(), "the process must end without closing its connections")
	_ = b.Close()
	creds, err := set.Credentials("b")
	require.NoError(t, err)
	restarted, err := Listen(Options{Listen: to.Address, Credentials: creds})
	require.NoError(t, err)
	t.Cleanup(func() { _ = restarted.Close() })
	restarted.Register("ping", pong)
	_, err = a.Call(context.Background(), to, "ping", nil)
	var reset *quic.StatelessResetError
	require.ErrorAs(t, err, &reset, "the old connection must end at the first packet")
	_, err = a.Call(context.Background(), to, "ping", nil)
	require.NoError(t, err)
}

// A datagram sent before there is a connection arrives after the dial, and its answer
// comes back over the same connection.
func TestDatagramAndAnswer(t *testing.T) {
	a, b, _ := pair(t)
	got := make(chan string, 1)
	b.OnDatagram(func(from string, payload []byte, reply func([]byte)) { reply(append([]byte(from), payload...)) })
	a.OnDatagram(func(from string, payload []byte, _ func([]byte)) { got <- from + string(payload) })
	a.Send(target(b), []byte("1"))
	require.Equal(t, "ba1", <-got)
	a.Send(target(b), make([]byte, MaxDatagram+1))
	require.Equal(t, 1.0, testutil.ToFloat64(a.metrics.datagrams.WithLabelValues("dropped")))
}

func FuzzDecode(f *testing.F) {
	for _, v := range []any{
		request{Method: "echo", Budget: time.Second, Body: []byte("x")},
		reply{Status: statusNotRun, Error: "too many calls"},
		reply{Body: []byte(strings.Repeat("y", 64))},
	} {
		data, err := cbor.Marshal(v)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := decodeRequest(data); err == nil {
			require.True(t, r.Method != "" && r.Budget > 0 && len(r.Body) <= MaxBody)
		}
		if r, err := decodeReply(data); err == nil {
			require.LessOrEqual(t, r.Status, statusNotRun)
		}
	})
}

// BenchmarkHeartbeat measures a ping and its answer of 500 bytes each over loopback,
// with both sides in this process.
func BenchmarkHeartbeat(b *testing.B) {
	set, err := NewTrialSet(time.Now(), "a", "b")
	require.NoError(b, err)
	links := map[string]*Link{}
	for _, id := range []string{"a", "b"} {
		c, err := set.Credentials(id)
		require.NoError(b, err)
		links[id], err = Listen(Options{Listen: "127.0.0.1:0", Credentials: c})
		require.NoError(b, err)
		defer func() { _ = links[id].Close() }()
	}
	got := make(chan struct{}, 1)
	payload := make([]byte, 500)
	links["b"].OnDatagram(func(_ string, payload []byte, reply func([]byte)) { reply(payload) })
	links["a"].OnDatagram(func(string, []byte, func([]byte)) { got <- struct{}{} })
	b.ReportAllocs()
	for b.Loop() {
		links["a"].Send(target(links["b"]), payload)
		<-got
	}
	stats := links["a"].conns[target(links["b"])].current.ConnectionStats()
	b.ReportMetric(float64(stats.BytesSent)/float64(b.N), "quic-B-out/op")
	b.ReportMetric(float64(stats.BytesReceived)/float64(b.N), "quic-B-in/op")
	b.ReportMetric(float64(stats.PacketsSent)/float64(b.N), "packets-out/op")
}

// Datagrams go to many new targets at a time: each new target removes ended connections
// while others start their dials. If the two take the link's locks in opposite order,
// the link deadlocks and callers get no answer.
func TestManyNewTargetsAtOnce(t *testing.T) {
	a, _, _ := pair(t)
	address := freeAddress(t)
	var senders sync.WaitGroup
	for i := range 8 {
		senders.Go(func() {
			for j := range 200 {
				a.Send(Target{ID: fmt.Sprintf("vm-%d-%d", i, j), Address: address}, []byte("x"))
			}
		})
	}
	senders.Wait()
	require.Positive(t, len(a.conns))
}

// BenchmarkFirstCall measures a call over a new connection, both sides in this process.
func BenchmarkFirstCall(b *testing.B) {
	set, err := NewTrialSet(time.Now(), "a", "b")
	require.NoError(b, err)
	credentials := func(id string) Credentials {
		c, err := set.Credentials(id)
		require.NoError(b, err)
		return c
	}
	server, err := Listen(Options{Listen: "127.0.0.1:0", Credentials: credentials("b")})
	require.NoError(b, err)
	defer func() { _ = server.Close() }()
	server.Register("echo", func(_ context.Context, _ string, body []byte) ([]byte, error) { return body, nil })
	client, err := Listen(Options{Listen: "127.0.0.1:0", Credentials: credentials("a")})
	require.NoError(b, err)
	defer func() { _ = client.Close() }()
	var out, in uint64
	for b.Loop() {
		_, err := client.Call(context.Background(), target(server), "echo", []byte("x"))
		require.NoError(b, err)
		q := client.conns[target(server)].current
		out += q.ConnectionStats().BytesSent
		in += q.ConnectionStats().BytesReceived
		_ = q.CloseWithError(0, "")
	}
	b.ReportMetric(float64(out)/float64(b.N), "quic-B-out/op")
	b.ReportMetric(float64(in)/float64(b.N), "quic-B-in/op")
}
