package link

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// ends are both ends of one connection through a link.
type ends struct{ near, far *net.TCPConn }

func connect(t *testing.T, o Options) (*Link, func() ends) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	k, err := Listen(l.Addr().String(), o)
	require.NoError(t, err)
	t.Cleanup(k.Close)
	return k, func() ends {
		near, err := net.Dial("tcp4", k.Address())
		require.NoError(t, err)
		far, err := l.Accept()
		require.NoError(t, err)
		t.Cleanup(func() { near.Close(); far.Close() })
		return ends{near.(*net.TCPConn), far.(*net.TCPConn)}
	}
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

func requireRead(t *testing.T, c net.Conn, want string) {
	t.Helper()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
	b := make([]byte, len(want))
	_, err := io.ReadFull(c, b)
	require.NoError(t, err)
	require.Equal(t, want, string(b))
}

// requireEnd requires that the next read ends with an error.
func requireEnd(t *testing.T, c net.Conn, want error) {
	t.Helper()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, want)
}

// Guards against a link that shows one end's close of its sending side as the end of the connection, or its reset as a close.
func TestLinkCarriesHowAConnectionEnds(t *testing.T) {
	k, open := connect(t, Options{})
	e := open()
	write(t, e.near, "question")
	requireRead(t, e.far, "question")
	require.NoError(t, e.near.CloseWrite())
	requireEnd(t, e.far, io.EOF)
	write(t, e.far, "answer")
	requireRead(t, e.near, "answer")
	e = open()
	reset(e.near)
	requireEnd(t, e.far, syscall.ECONNRESET)
	k.Disturb("", Condition{ClosesResets: true})
	e = open()
	reset(e.near)
	requireEnd(t, e.far, io.EOF)
}

// Guards against a silent link that lets data, a reset or the data before a reset through, or that stays silent.
func TestSilentLinkHoldsDataBackAndLosesResets(t *testing.T) {
	k, open := connect(t, Options{Sender: func(net.Conn) string { return "a" }})
	held, discarded, other := open(), open(), open()
	end := k.Disturb("a", Condition{SilentOut: true})
	write(t, held.near, "late")
	write(t, discarded.near, "discarded")
	require.NoError(t, discarded.near.SetLinger(0))
	require.NoError(t, discarded.near.Close())
	write(t, other.far, "back")
	requireRead(t, other.near, "back")
	require.NoError(t, held.far.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err := held.far.Read(make([]byte, 1))
	require.Error(t, err)
	end()
	requireRead(t, held.far, "late")
	// The sender of the lost reset answers the next data with another one.
	write(t, discarded.far, "x")
	requireEnd(t, discarded.far, syscall.ECONNRESET)
}

// Guards against a disturbance that concerns other senders, or that ends with another one.
func TestDisturbancesAreSeparate(t *testing.T) {
	k, open := connect(t, Options{Sender: func(net.Conn) string { return "a" }})
	k.Disturb("b", Condition{Refused: true})
	first, second := k.Disturb("a", Condition{Refused: true}), k.Disturb("", Condition{Refused: true})
	refused := func() {
		c, err := net.Dial("tcp4", k.Address())
		if err != nil {
			require.ErrorIs(t, err, syscall.ECONNRESET)
			return
		}
		defer c.Close()
		requireEnd(t, c, syscall.ECONNRESET)
	}
	refused()
	first()
	refused()
	second()
	e := open()
	write(t, e.near, "x")
	requireRead(t, e.far, "x")
}

// Guards against a link that accepts connections while it is down or dark, or refuses them afterwards.
func TestLinkIsDownOrDark(t *testing.T) {
	k, open := connect(t, Options{})
	require.NoError(t, k.SetDown(true))
	_, err := net.Dial("tcp4", k.Address())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.NoError(t, k.SetDown(false))
	e := open()
	require.NoError(t, k.SetDark(true))
	_, err = net.DialTimeout("tcp4", k.Address(), 100*time.Millisecond)
	var ne net.Error
	require.ErrorAs(t, err, &ne)
	require.True(t, ne.Timeout())
	write(t, e.near, "late")
	require.NoError(t, k.SetDark(false))
	requireRead(t, e.far, "late")
	k.Reset("", 1.1)
	requireEnd(t, e.near, syscall.ECONNRESET)
}
