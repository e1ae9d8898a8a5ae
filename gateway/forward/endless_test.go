package forward

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an endpoint whose answer's body never ends, and that fills the VM's memory, makes an answer look complete, or goes on after its caller has got an error.
func TestEndlessBodyEnds(t *testing.T) {
	const most = 1 << 30 // ends the answers that nobody stops
	line := strings.Repeat("a", 64<<10)
	for name, c := range map[string]struct {
		path, part, length string
		flush              bool // after each part
		begins             bool // the caller gets a part of the answer
	}{
		"booking":                   {path: "/once/a", part: line},
		"booking with a length":     {path: "/once/a", part: line, length: "1000000000"},
		"lookup":                    {path: "/safe/a", part: line},
		"stream without an event":   {path: "/stream/a", part: line, begins: true},
		"stream of comments":        {path: "/stream/a", part: ": a\n\n", flush: true, begins: true},
		"stream of events":          {path: "/stream/a", part: "data: a\n\n", flush: true, begins: true},
		"stream with a long length": {path: "/stream/a", part: line, length: "1000000000", begins: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t, 1)
			closed := make(chan bool, 10)
			w.setHandlers(func(rw http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				rw.Header().Set(testNames.Signature, "sig")
				if c.length != "" {
					rw.Header().Set("Content-Length", c.length)
				}
				ended := false
				for n := 0; n < most && !ended; n += len(c.part) {
					_, err := io.WriteString(rw, c.part)
					if err == nil && c.flush {
						err = http.NewResponseController(rw).Flush()
					}
					ended = err != nil
				}
				closed <- ended
				panic(http.ErrAbortHandler)
			})
			r := w.send(http.MethodPost, c.path, "x", testNames.Deadline, "500")
			if c.begins {
				require.Error(t, r.err, "the answer doesn't look complete")
			} else {
				require.GreaterOrEqual(t, r.status, 500)
			}
			require.True(t, <-closed, "the endpoint's connection is closed")
		})
	}
}
