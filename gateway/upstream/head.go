package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"goldcrestfork/policy/answerhead"
	"goldcrestfork/policy/statusline"
)

const (
	// maxHeadBytes bounds the head of an answer, which a VM holds in memory.
	maxHeadBytes = 256 << 10
	// usualHeadBytes is the length beyond which a head counts as long; see Pool.LimitLongHeads.
	usualHeadBytes = 16 << 10
	// maxBytesAhead bounds the bytes ahead of an answer's head that belong to no request, and
	// maxHeadsAhead the heads with those of interim answers.
	maxBytesAhead = 1 << 20
	maxHeadsAhead = 32
	// bodyBufferSize is in bytes; longer reads of a body don't use the buffer.
	bodyBufferSize = 2 << 10
)

const (
	// foreignGrace is how long the answer to a request that may be sent elsewhere is waited for after bytes
	// that bear no request's id. They may be all that a faulty endpoint sends.
	foreignGrace = 500 * time.Millisecond
	// lastGrace is the same for a request that must not be sent elsewhere.
	lastGrace = 5 * time.Second
)

// ErrForeignAnswer is the cause of an Error if the connection carries no answer that bears the request's
// id, although other bytes arrived.
var ErrForeignAnswer = errors.New("the answers on the connection don't bear the request's id")

// ErrInvalidHead is the cause of an Error if the head of the answer to the request isn't valid.
var ErrInvalidHead = errors.New("invalid answer")

// errHeadTooLong is returned when an endpoint sends too much before the end of an answer's head.
var errHeadTooLong = errors.New("the head of the answer is too long")

// headScanner finds the heads of answers among the bytes of a connection. An endpoint may send bytes that
// belong to no request, such as another answer that breaks off anywhere, and its next answer then goes on
// in the same line. A status line therefore begins a head wherever it stands, and what came before is
// dropped. The framing of foreign bytes means nothing: their bodies are searched like any bytes.
type headScanner struct {
	r           *bufio.Reader
	ahead       int               // bytes dropped so far
	dropped     func()            // called when bytes are dropped
	checkLength func(n int) error // called with the length of the head so far
}

// next returns the next head, from its status line to the empty line.
func (s *headScanner) next() ([]byte, error) {
	if err := s.findStatusLine(); err != nil {
		return nil, err
	}
	var head []byte
	for lineStart := 0; ; {
		piece, err := s.r.ReadSlice('\n') // at most the reader's buffer
		from := max(len(head)-statusline.Length+1, lineStart, 1)
		head = append(head, piece...)
		if i := statusline.Last(head[min(from, len(head)):]); i >= 0 {
			s.drop(from + i)
			head, lineStart = append(head[:0], head[from+i:]...), 0
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case err != nil:
			s.drop(len(head))
			return nil, err
		case len(bytes.TrimSuffix(head[lineStart:], []byte("\r\n"))) == 0 || head[lineStart] == '\n':
			return head, nil
		default:
			lineStart = len(head)
		}
		if s.ahead > maxBytesAhead {
			return nil, ErrForeignAnswer
		}
		if err := s.checkLength(len(head)); err != nil {
			return nil, err
		}
	}
}

// findStatusLine drops the bytes before the next status line.
func (s *headScanner) findStatusLine() error {
	for want := 1; ; {
		if _, err := s.r.Peek(want); err != nil {
			s.drop(s.r.Buffered())
			return err
		}
		b, _ := s.r.Peek(s.r.Buffered()) // can't fail
		i := statusline.First(b)
		if i > 0 {
			s.drop(i)
			_, _ = s.r.Discard(i) // can't fail
		}
		if len(b)-i >= statusline.Length {
			return nil
		}
		if s.ahead > maxBytesAhead {
			return ErrForeignAnswer
		}
		want = len(b) - i + 1
	}
}

// drop counts n bytes as dropped.
func (s *headScanner) drop(n int) {
	if n > 0 {
		s.ahead += n
		s.dropped()
	}
}

// readHead reads the head of the answer that bears the request's id. Other heads and bytes are skipped.
func (a *Answer) readHead(r *Request) error {
	c := a.conn
	grace, named := foreignGrace, false
	if r.AtMostOnce {
		grace = lastGrace
	}
	s := &headScanner{r: c.r, checkLength: c.checkHeadLength}
	s.dropped = func() {
		if a.Foreign == 0 && !named {
			_ = c.SetReadDeadline(time.Now().Add(grace)) // fails only on a closed connection
		}
		a.Foreign = s.ahead
	}
	defer func() {
		if a.Foreign > 0 {
			_ = c.SetReadDeadline(time.Time{})
		}
	}()
	for range maxHeadsAhead {
		head, err := s.next()
		if err != nil {
			return a.headError(err)
		}
		body := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(head), c.r), bodyBufferSize)
		resp, err := http.ReadResponse(body, &http.Request{Method: r.Method})
		if err == nil {
			err = errors.Join(answerhead.Check(resp.StatusCode, resp.Header), answerhead.CheckBytes(head))
		}
		var ids []string
		if err == nil {
			ids = resp.Header.Values(r.IDHeader)
		} else {
			ids = answerhead.Values(head, r.IDHeader)
		}
		switch {
		case err == nil && resp.StatusCode < http.StatusOK:
			continue
		case err != nil && r.isAnsweredBy(ids):
			return fmt.Errorf("%w: %w", ErrInvalidHead, err)
		case r.isAnsweredBy(ids):
			a.resp, a.body, a.Status, a.Header, a.Length = resp, body, resp.StatusCode, resp.Header, resp.ContentLength
			a.bodyStart = c.received - int64(c.r.Buffered())
			a.HasFraming = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
			return nil
		case len(ids) > 0 && ids[0] != "":
			// The endpoint has sent an answer to another request, late. It may still work on this one.
			named = true
			_ = c.SetReadDeadline(time.Time{})
		}
		s.drop(len(head))
	}
	return ErrForeignAnswer
}

// headError returns the error of a connection that carried no answer to the request.
func (a *Answer) headError(err error) error {
	if a.Foreign == 0 || errors.Is(err, ErrForeignAnswer) {
		return err
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return ErrForeignAnswer // the wait was shortened; the path is sound
	}
	return fmt.Errorf("%w: %w", ErrForeignAnswer, err)
}

// isAnsweredBy reports whether an answer with these ids bears the id of the request, if it has one, and no
// other.
func (r *Request) isAnsweredBy(ids []string) bool {
	return r.IDHeader == "" || len(ids) == 1 && ids[0] == r.ID
}
