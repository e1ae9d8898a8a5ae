package answerhead

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a status that no answer has and that is believed, and against sound ones that are refused.
func TestStatuses(t *testing.T) {
	for status := range 1000 {
		err := Check(status, nil)
		if status >= 100 && status < 600 && status != 101 {
			require.NoError(t, err, status)
		} else {
			var e *Error
			require.ErrorAs(t, err, &e, status)
			require.Equal(t, "status", e.Part)
		}
	}
	require.EqualError(t, Check(0, nil), `the head of the answer has the invalid status "000"`)
}

// Guards against a name that no field has and that is believed, and against sound ones that are refused.
func TestNames(t *testing.T) {
	const special = "!#$%&'*+-.^_`|~"
	for c := range 256 {
		sound := c >= '0' && c <= '9' || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z' || strings.IndexByte(special, byte(c)) >= 0
		for _, name := range []string{string([]byte{byte(c)}), "X" + string([]byte{byte(c)}), string([]byte{byte(c)}) + "X", "X" + string([]byte{byte(c)}) + "X"} {
			err := Check(200, map[string][]string{"Sound": {"b"}, name: {"a"}})
			require.Equal(t, sound, err == nil, "%q", name)
		}
	}
	require.Error(t, Check(200, map[string][]string{"": nil}))
	require.EqualError(t, Check(200, map[string][]string{"Content-Length ": {"9"}}), `the head of the answer has the invalid field name "Content-Length "`)
}

// Guards against a byte in a name, or behind it, that neither net/http nor the check refuses, and against folded lines that are refused.
func TestHeadsThatAreReadHaveSoundNames(t *testing.T) {
	check := func(line string) error {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nX-First: a\r\n"+line+"\r\nContent-Length: 0\r\n\r\n")), nil)
		if err != nil {
			return err
		}
		return Check(resp.StatusCode, resp.Header)
	}
	for c := range 256 {
		for _, form := range []string{"X%sY: 1", "X%s: 1", "Content-Length%s: 9"} {
			line := fmt.Sprintf(form, string([]byte{byte(c)}))
			sound := isToken(strings.TrimSuffix(strings.TrimSuffix(line, ": 1"), ": 9")) || c == ':' && form != "Content-Length%s: 9"
			if c == '\n' {
				continue // two lines
			}
			require.Equal(t, sound, check(line) == nil, "%q", line)
		}
	}
	require.Error(t, check(": 1"))
	require.Error(t, check("X-More"))
	require.NoError(t, check("X-Folded: a\r\n b: c\r\n\td e: f"))
	require.NoError(t, check("X-Empty:"))
}

// Guards against chunks of an answer that is older than they are, and against sound framing that is refused.
func TestFramingOfOldAnswers(t *testing.T) {
	const chunks, length = "x-a: b\r\ntransfer-encoding : chunked\r\n\r\n", "Content-Length: 5\r\n\r\n"
	require.EqualError(t, CheckBytes([]byte("HTTP/1.0 200 OK\r\n"+chunks)), `the head of the answer has the invalid transfer encoding of HTTP/1.0 "chunked"`)
	for _, head := range []string{"HTTP/1.1 200 OK\r\n" + chunks, "HTTP/1.1 200 OK\r\n" + length, "HTTP/1.0 200 OK\r\n" + length, "HTTP/1.0 200 OK\r\n\r\n"} {
		require.NoError(t, CheckBytes([]byte(head)), "%q", head)
	}
}

// Guards against the id of a request that isn't found in a head that isn't valid.
func TestValuesOfInvalidHeads(t *testing.T) {
	head := []byte("HTTP/1.1 200 OK\r\nX-Id: a\r\nX-\x00: 1\r\nno colon\r\n: 1\nx-id : b \n\r\n")
	require.Equal(t, []string{"a", "b"}, Values(head, "X-Id"))
	require.Empty(t, Values(head, "X"))
}
