package answer

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/router/answer/answertest"
)

// Guards against a call that waits until its deadline for a process that has ended its answer and reads no more of the request.
func TestStalledUploadAfterAnAnswerEnds(t *testing.T) {
	ended := make(chan struct{})
	defer close(ended)
	address, _ := answertest.Serve(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = c.CloseWrite()
		<-ended
	})
	client := &http.Client{Transport: NewTransport(new(http.Transport))}
	resp, err := client.Post("http://"+address, "", bytes.NewReader(make([]byte, answertest.UploadBytes)))
	require.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against a read that doesn't end when its connection is closed during a write.
func TestCloseEndsARead(t *testing.T) {
	address, _ := answertest.Serve(t, func(c *net.TCPConn, _ *http.Request) { _ = c.CloseWrite() })
	nc, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	c := newConn(nc)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	c.beginWrite() // a request that is never written
	failed := make(chan error)
	go func() {
		_, err := c.Read(make([]byte, 1))
		failed <- err
	}()
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.ended
	}, 10*time.Second, time.Millisecond)
	require.NoError(t, c.Close())
	require.ErrorIs(t, <-failed, net.ErrClosed)
}
