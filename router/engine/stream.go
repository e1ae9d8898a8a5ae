package engine

import "strings"

// Stream is what was passed on of one answer so far, over all attempts. It is
// used by one goroutine at a time.
type Stream struct {
	// Next is the position of the next token.
	Next int
	// Finish is the finish reason, once it came.
	Finish string
	// Usage is the engine's count, once it came.
	Usage Usage

	text        strings.Builder
	lastAddress string
}

// Resumed returns a stream of which the caller already has the tokens before
// next, and which the endpoint at address ran.
func Resumed(next int, address string) *Stream {
	return &Stream{Next: next, lastAddress: address}
}

// Text is what was passed on in this process.
func (s *Stream) Text() string { return s.text.String() }

// verdict is what becomes of a frame.
type verdict int

const (
	frameNext verdict = iota
	frameCrossed
	frameDoubled
	frameGap
	frameAfterEnd
	verdictCount
)

var verdictNames = [verdictCount]string{"passed", "crossed", "doubled", "gap", "after-end"}

// accept decides over one frame by request and position. A late or crossed frame
// shown to the caller would be text of another answer; position and request id
// together name exactly one place in one answer, so that no other frame fits it.
func (s *Stream) accept(requestID string, f Frame) verdict {
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
