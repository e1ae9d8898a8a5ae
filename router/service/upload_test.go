package service

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"goldcrestfork/router/answer/answertest"
)

func uploadCall(address string, idempotent bool) Call {
	return Call{Address: address, Method: http.MethodPost, Path: "/", Body: make([]byte, answertest.UploadBytes), Idempotent: idempotent}
}

// Guards against the part of an answer without framing that counts as a whole one, since the service ended its connection during the upload.
func TestAnswerBeforeTheEndOfAnUpload(t *testing.T) {
	resets := func(c *net.TCPConn, _ *http.Request) { _ = c.SetLinger(0) }
	closes := func(c *net.TCPConn, _ *http.Request) { _ = c.CloseWrite() }
	readsOn := func(c *net.TCPConn, r *http.Request) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, r.Body)
	}
	for name, row := range map[string]struct {
		answer string
		end    func(*net.TCPConn, *http.Request)
		want   string // the body that is answered; "-" for none
	}{
		"no framing, reset":            {"HTTP/1.1 200 OK\r\n\r\npart", resets, "-"},
		"no framing, closed":           {"HTTP/1.1 200 OK\r\n\r\npart", closes, "-"},
		"no framing, no body, reset":   {"HTTP/1.1 200 OK\r\n\r\n", resets, "-"},
		"no framing, no body, closed":  {"HTTP/1.1 200 OK\r\n\r\n", closes, "-"},
		"no framing, reads the rest":   {"HTTP/1.1 200 OK\r\n\r\nwhole", readsOn, "whole"},
		"length, part of it, reset":    {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", resets, "-"},
		"length, reads the rest":       {"HTTP/1.1 413 Content Too Large\r\nContent-Length: 5\r\n\r\nwhole", readsOn, "whole"},
		"length, Connection: close":    {"HTTP/1.1 413 Content Too Large\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole", readsOn, "whole"},
		"chunks, reads the rest":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", readsOn, "whole"},
		"chunks, part of them, closed": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", closes, "-"},
		"no framing, after all of it": {"", func(c *net.TCPConn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
		}, "whole"},
		"no framing, no body, after it": {"", func(c *net.TCPConn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		}, ""},
	} {
		for _, idempotent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, idempotent %v", name, idempotent), func(t *testing.T) {
				arrived := make(chan struct{}, answertest.Plays) // the client has got the beginning of the answer
				ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotFirstResponseByte: func() { arrived <- struct{}{} }})
				address, runs := answertest.Serve(t, func(c *net.TCPConn, r *http.Request) {
					if row.answer != "" {
						_, _ = io.WriteString(c, row.answer)
						<-arrived
					}
					row.end(c, r)
				})
				answered := 0
				for range answertest.Plays {
					c := NewClient(prometheus.NewRegistry()) // without a connection that the service has closed
					answer, result, err := c.Do(ctx, uploadCall(address, idempotent))
					if result == Answered {
						require.NoError(t, err)
						if row.want != "-" {
							require.Equal(t, row.want, string(answer.Body))
						}
						answered++
					}
				}
				if row.want == "-" {
					require.Zero(t, answered, "of %d plays", answertest.Plays)
				} else {
					require.Equal(t, answertest.Plays, answered)
				}
				require.EqualValues(t, answertest.Plays, runs.Load())
			})
		}
	}
}
