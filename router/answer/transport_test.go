package answer

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/policy/answerhead"
	"goldcrestfork/router/answer/answertest"
)

// Guards against a head that isn't valid and whose answer is returned, or whose connection carries another request.
func TestInvalidHeadsAreNoAnswers(t *testing.T) {
	for _, body := range []string{"", "whole"} {
		for name, text := range answertest.Invalid("X-A: b\r\n", body) {
			t.Run(name+"/"+body, func(t *testing.T) {
				ended := make(chan struct{})
				address, _ := answertest.Serve(t, func(c *net.TCPConn, _ *http.Request) {
					_, _ = io.WriteString(c, text)
					_, _ = io.Copy(io.Discard, c)
					close(ended)
				})
				r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address, nil)
				require.NoError(t, err)
				_, err = NewTransport(new(http.Transport)).RoundTrip(r)
				var e *answerhead.Error
				require.ErrorAs(t, err, &e)
				select {
				case <-ended:
				case <-time.After(20 * time.Second):
					t.Error("the connection is kept")
				}
			})
		}
	}
}
