// Package sse splits a stream of server-sent events into whole events and reads
// their ids, without changing a byte of them. An endpoint may stop in the middle of
// an event; what it has sent of it must not reach the caller, who would join it with
// the next one's beginning.
package sse

import (
	"bytes"
	"strconv"
)

// maxEvent bounds one event in bytes; an endpoint that sends more without an end is broken.
const maxEvent = 1 << 20

// Splitter collects bytes and gives whole events.
type Splitter struct {
	buf []byte
	at  int // start of what was not given yet
}

// Add takes bytes from the endpoint. It returns false when an event grows too large.
func (s *Splitter) Add(b []byte) bool {
	if s.at > 0 {
		s.buf = append(s.buf[:0], s.buf[s.at:]...)
		s.at = 0
	}
	s.buf = append(s.buf, b...)
	return len(s.buf) <= maxEvent
}

// Next returns the next whole event with its closing empty line, or nil. The slice is
// valid until the next Add.
func (s *Splitter) Next() []byte {
	rest := s.buf[s.at:]
	end := eventEnd(rest)
	if end < 0 {
		return nil
	}
	s.at += end
	return rest[:end]
}

// Rest returns the bytes after the last whole event.
func (s *Splitter) Rest() []byte { return s.buf[s.at:] }

// Reset forgets what is left of a broken stream.
func (s *Splitter) Reset() { s.buf, s.at = s.buf[:0], 0 }

// eventEnd returns the length of the first event up to its empty line, -1 for none.
func eventEnd(b []byte) int {
	start := 0
	for {
		i := bytes.IndexByte(b[start:], '\n')
		if i < 0 {
			return -1
		}
		line := bytes.TrimSuffix(b[start:start+i], []byte("\r"))
		start += i + 1
		if len(line) == 0 {
			return start
		}
	}
}

// ID returns the number in an event's id field.
func ID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		v, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64)
		return n, err == nil
	}
	return 0, false
}
