package listen

import "bytes"

const (
	// byteCost and lineCost estimate what a head takes in memory, in bytes, for each of its bytes and lines: as
	// read and as text, and the entry of a field in a map that grows. With 10,000 fields of a few bytes a field
	// takes 96 bytes, and 169 with those that the growing map has left to the garbage collector.
	byteCost = 2
	lineCost = 160
	// usualCost is that of heads that are counted with their connection.
	usualCost = 16 << 10
	// costStep is the least that a head takes from the bound at once.
	costStep = 16 << 10
)

// headScan measures a request's head as its bytes arrive.
type headScan struct {
	cost    int
	started bool // a line with text has begun
	inLine  bool // the line has text so far
}

// add measures the next bytes. It reports whether the head ends in them; those behind its end are not measured.
func (s *headScan) add(b []byte) (ended bool) {
	for len(b) > 0 {
		i := bytes.IndexByte(b, '\n')
		line := b
		if i >= 0 {
			line = b[:i]
		}
		if len(bytes.TrimSuffix(line, []byte("\r"))) > 0 {
			s.started, s.inLine = true, true
		}
		if i < 0 {
			s.cost += byteCost * len(b)
			return false
		}
		s.cost += byteCost*(i+1) + lineCost
		if s.started && !s.inLine {
			return true
		}
		s.inLine = false
		b = b[i+1:]
	}
	return false
}
