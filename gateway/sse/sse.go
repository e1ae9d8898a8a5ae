// Package sse splits a stream of server-sent events into whole events and reads their ids,
// without a change to any byte. An endpoint may stop in the middle of an event; the partial
// event must not reach the caller, which would join it to the start of the next one.
package sse

import (
	"bytes"
	"strconv"
)

// maxEventBytes bounds the size of one event; an endpoint that exceeds it is broken.
const maxEventBytes = 1 << 20

// Splitter collects the bytes of a stream and returns whole events. It looks at each byte once.
type Splitter struct {
	buf       []byte
	start     int // offset in buf of the first byte that Next has not returned
	lineStart int // offset in buf of the line that is being read
	seen      int // offset in buf up to which line ends were looked for
}

// Add appends bytes from the endpoint. It returns false when the buffered bytes exceed the
// largest event size.
func (s *Splitter) Add(b []byte) bool {
	if s.start > 0 {
		s.buf = append(s.buf[:0], s.buf[s.start:]...)
		s.lineStart -= s.start
		s.seen -= s.start
		s.start = 0
	}
	s.buf = append(s.buf, b...)
	return len(s.buf) <= maxEventBytes
}

// Next returns the next whole event, including the empty line that ends it, or nil. The slice
// is valid until the next call of Add.
func (s *Splitter) Next() []byte {
	for {
		i := bytes.IndexByte(s.buf[s.seen:], '\n')
		if i < 0 {
			s.seen = len(s.buf)
			return nil
		}
		line := bytes.TrimSuffix(s.buf[s.lineStart:s.seen+i], []byte("\r"))
		s.seen += i + 1
		s.lineStart = s.seen
		if len(line) == 0 {
			event := s.buf[s.start:s.seen]
			s.start = s.seen
			return event
		}
	}
}

// Size returns the bytes of memory that the splitter holds.
func (s *Splitter) Size() int { return cap(s.buf) }

// Rest returns the bytes after the last whole event.
func (s *Splitter) Rest() []byte { return s.buf[s.start:] }

// Reset discards the rest of a broken stream.
func (s *Splitter) Reset() { s.buf, s.start, s.lineStart, s.seen = s.buf[:0], 0, 0, 0 }

// ID returns the number in an event's id field. The second result is false if there is none.
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
