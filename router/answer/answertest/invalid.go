package answertest

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// Sound returns a whole answer with the fields, lines that end in CR LF, and the body.
func Sound(fields, body string) string { return text("200 OK", fields, body) }

func text(status, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}

// Invalid returns answers whose heads aren't valid, by what is wrong with them. They are those of Sound otherwise, or
// without framing.
func Invalid(fields, body string) map[string]string {
	out := make(map[string]string)
	for _, status := range []string{"000 None", "099 Low", "101 Switching Protocols", "600 High", "999 High"} {
		out["status "+status] = text(status, fields, body)
	}
	for _, line := range []string{"X More: 1", "X-More : 1", "X-More\t: 1", "X-\x00More: 1", "X-More\x7f: 1", "X-\rMore: 1", "X-Möre: 1", ": 1", "X-More"} {
		out[fmt.Sprintf("field %q", line)] = text("200 OK", fields+line+"\r\n", body)
	}
	out["length behind a blank"] = fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length : %d\r\n\r\n%s", fields, len(body)+4, body)
	out["chunks behind a blank"] = fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", fields, len(body), body)
	return out
}

// ServeText answers each request with the text, after its end.
func ServeText(t testing.TB, text string) (address string) {
	t.Helper()
	address, _ = Serve(t, func(c *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, text)
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
	return address
}
