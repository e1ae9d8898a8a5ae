package engine

import "strings"

// Stream holds what was passed on of one answer so far, over all attempts. It is used by
// one goroutine at a time.
type Stream struct {
	// Next is the position of the next token.
	Next int
	// Finish is the finish reason once it has arrived.
	Finish string
	// Usage is the engine's token count once it has arrived.
	Usage Usage

	text        strings.Builder
	lastAddress string
	sent        bool // the request may have reached an endpoint
}

// NewResumedStream returns a stream of which the caller already has the tokens before
// next, and which the endpoint at address ran.
func NewResumedStream(next int, address string) *Stream {
	return &Stream{Next: next, lastAddress: address, sent: true}
}

// Text returns the text that this process has passed on.
func (s *Stream) Text() string { return s.text.String() }

// frameVerdict is the decision on a received frame.
type frameVerdict int

const (
	frameNext frameVerdict = iota
	frameCrossed
	frameDoubled
	frameGap
	frameAfterEnd
	frameVerdictCount
)

var verdictNames = [frameVerdictCount]string{"passed", "crossed", "doubled", "gap", "after-end"}

// accept decides on a frame by request id and position. A late frame or another
// request's frame would show the caller the text of another answer. Position and request
// id together identify exactly one place in one answer, so no other frame matches it.
func (s *Stream) accept(requestID string, f Frame) frameVerdict {
	switch {
	case f.ID != requestID:
		return frameCrossed
	case s.Finish != "":
		return frameAfterEnd
	case f.Position < s.Next:
		return frameDoubled
	case f.Position > s.Next:
		return frameGap
	}
	if f.Text != "" {
		s.Next++
		s.text.WriteString(f.Text)
	}
	s.Finish = f.Finish
	if f.Usage != nil {
		s.Usage = *f.Usage
	}
	return frameNext
}
