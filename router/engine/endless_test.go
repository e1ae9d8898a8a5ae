package engine

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"goldcrestfork/standin/backend"
)

// Guards against an endpoint that sends a head or an event without an end, which fills the router's memory or holds the call.
func TestEndlessAnswerEnds(t *testing.T) {
	const most = 64 << 20 // ends the answers that nobody stops
	line := strings.Repeat("a", 64<<10)
	head := "HTTP/1.1 200 OK\r\nX-Model-Version: " + callVersion + "\r\nContent-Type: text/event-stream\r\n\r\n"
	for name, row := range map[string]struct {
		method, begin, part string
	}{
		"state, header line":   {http.MethodGet, "HTTP/1.1 200 OK\r\nX: ", line},
		"state, header lines":  {http.MethodGet, "HTTP/1.1 200 OK\r\n", strings.Repeat("X: a\r\n", 10000)},
		"state, body":          {http.MethodGet, "HTTP/1.1 200 OK\r\n\r\n", line},
		"stream, header line":  {http.MethodPost, "HTTP/1.1 200 OK\r\nX: ", line},
		"stream, header lines": {http.MethodPost, "HTTP/1.1 200 OK\r\n", strings.Repeat("X: a\r\n", 10000)},
		"stream, event":        {http.MethodPost, head + "data: ", line},
	} {
		t.Run(name, func(t *testing.T) {
			state := backend.NewEngine(callVersion).Handler()
			closed := make(chan bool, 10)
			address := engineServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method != row.method {
					state.ServeHTTP(w, r)
					return
				}
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer c.Close()
				_, err = io.WriteString(c, row.begin)
				for n := 0; n < most && err == nil; n += len(row.part) {
					_, err = io.WriteString(c, row.part)
				}
				closed <- err != nil
			}))
			c := NewClient(NewMetrics(prometheus.NewRegistry()))
			defer c.Close()
			if row.method == http.MethodGet {
				_, err := c.State(t.Context(), address)
				require.Error(t, err)
			} else {
				o := c.Stream(t.Context(), Call{RequestID: requestID, Address: address, Version: callVersion, Body: chat(t, 2)}, &Stream{}, func(Frame) error { return nil })
				require.Error(t, o.Err)
				require.NotEqual(t, Complete, o.Result)
			}
			require.True(t, <-closed, "the endpoint's connection is closed")
		})
	}
}
