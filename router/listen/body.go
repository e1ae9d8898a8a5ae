package listen

import (
	"errors"
	"io"
)

// Errors of ReadBody.
var (
	// ErrBodyTooLong says that a body is over its limit.
	ErrBodyTooLong = errors.New("the body is over the limit")
	// ErrNoRoom says that there is no room for a body.
	ErrNoRoom = errors.New("no room for the body")
)

// firstBodyBuffer is the size of the first buffer for a body of unknown length.
const firstBodyBuffer = 4 << 10

// ReadBody reads a whole body of at most limit bytes. A body of a stated length must have been counted before; for
// one of unknown length, stated is negative, and each buffer is counted by take, which reports whether there is
// room for it, and release. It returns ErrBodyTooLong, ErrNoRoom or the error of r.
func ReadBody(r io.Reader, stated, limit int64, take func(n int64) bool, release func(n int64)) ([]byte, error) {
	if stated > limit {
		return nil, ErrBodyTooLong
	}
	if stated >= 0 {
		body := make([]byte, stated)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			size := min(max(2*int64(cap(body)), firstBodyBuffer), limit+1)
			if !take(size) {
				return nil, ErrNoRoom
			}
			// Both buffers are counted until the first is left to the garbage collector.
			grown := make([]byte, len(body), size)
			copy(grown, body)
			release(int64(cap(body)))
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, ErrBodyTooLong
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}
