// Package answertest is a stand-in for processes whose answers are written byte by byte.
package answertest

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	// receiveBuffer is the size of the receive buffers of connections, in bytes.
	receiveBuffer = 4 << 10
	// UploadBytes is a length of bodies that the buffers of a connection don't hold.
	UploadBytes = 6 << 20
)

// Serve calls serve with the first request of each connection, of which it has read the head, and closes the
// connection after it. What serve doesn't read of a long body stays unsent. It returns the address and the number
// of requests.
func Serve(t testing.TB, serve func(c *net.TCPConn, r *http.Request)) (address string, requests *atomic.Int64) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	l, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	requests = new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				requests.Add(1)
				serve(c.(*net.TCPConn), r)
			}()
		}
	}()
	return l.Addr().String(), requests
}

// Plays is the number of plays in which a fault shows that depends on whether the write of a request or the read
// of its answer gets the error of a reset.
const Plays = 20

// ResetDuringUpload answers each request with the text without reading its body, and resets the connection when
// the client has got the beginning of the answer to a request that it sent with the context.
func ResetDuringUpload(t testing.TB, text string) (ctx context.Context, address string) {
	t.Helper()
	arrived := make(chan struct{}, Plays)
	ctx = httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotFirstResponseByte: func() { arrived <- struct{}{} }})
	address, _ = Serve(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, text)
		select {
		case <-arrived:
		case <-t.Context().Done():
		}
		_ = c.SetLinger(0)
	})
	return ctx, address
}
