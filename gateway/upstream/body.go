package upstream

import (
	"bytes"
	"fmt"
	"time"

	"goldcrestfork/policy/statusline"
)

// errForeignHead is returned by Answer.Read if the body holds the head of another request's answer: its own
// answer has broken off, and the other one goes on in its place.
var errForeignHead = fmt.Errorf("%w: the body holds the head of another request's answer", ErrNoAnswer)

// maxGuardedLine bounds the lines of a head that are looked at.
const maxGuardedLine = 4 << 10

// bodyGuard looks for heads of other requests' answers in a body.
type bodyGuard struct {
	name, id []byte // the header that bears an answer's id, and the request's id; no name for no guard
	held     []byte // the last bytes, which may begin a status line, or a line of a head
	inHead   bool   // a status line was read, and no empty line since
	// inLongLine is set in a line of a head of which more than maxGuardedLine bytes were read, and passed over.
	inLongLine bool
}

// check reports whether the next bytes of a body belong to the answer as far as can be told.
func (g *bodyGuard) check(b []byte) bool {
	if len(g.name) == 0 {
		return true
	}
	rest := b
	if len(g.held) > 0 {
		g.held = append(g.held, b...)
		rest = g.held
	}
	for len(rest) > 0 {
		if !g.inHead {
			rest = rest[statusline.First(rest):]
			if len(rest) < statusline.Length {
				break // none, or the beginning of one
			}
			g.inHead = true
		}
		i := bytes.IndexByte(rest, '\n')
		if i < 0 {
			if g.inLongLine = g.inLongLine || len(rest) > maxGuardedLine; g.inLongLine {
				rest = nil
			}
			break
		}
		line := bytes.TrimRight(rest[:i], "\r")
		rest = rest[i+1:]
		switch {
		case g.inLongLine:
			g.inLongLine = false
		case len(line) == 0:
			g.inHead = false
		case g.bearsOtherID(line):
			return false
		}
	}
	g.held = append(g.held[:0], rest...)
	return true
}

// isOpen reports whether a head may have begun that has not ended.
func (g *bodyGuard) isOpen() bool { return len(g.name) > 0 && (g.inHead || len(g.held) > 0) }

// bearsOtherID reports whether a line of a head names another request.
func (g *bodyGuard) bearsOtherID(line []byte) bool {
	name, value, ok := bytes.Cut(line, []byte(":"))
	return ok && bytes.EqualFold(name, g.name) && !bytes.Equal(bytes.TrimSpace(value), g.id)
}

// guardWait is how long the bytes behind a body are waited for if the body ends in what may be the beginning
// of another answer's head.
const guardWait = 5 * time.Millisecond

// endsInForeignHead reports whether a body with a stated end goes on as the head of another request's answer:
// that answer took the place of the last part of the body.
func (a *Answer) endsInForeignHead() bool {
	if !a.HasFraming || !a.guard.isOpen() {
		return false
	}
	_ = a.conn.SetReadDeadline(time.Now().Add(guardWait)) // fails only on a closed connection
	defer func() { _ = a.conn.SetReadDeadline(time.Time{}) }()
	for range maxGuardedLine {
		if _, err := a.body.Peek(1); err != nil {
			return false
		}
		behind, _ := a.body.Peek(a.body.Buffered()) // can't fail
		a.reusable = false
		if !a.guard.check(behind) {
			return true
		}
		_, _ = a.body.Discard(len(behind)) // can't fail
		if !a.guard.isOpen() {
			return false
		}
	}
	return false
}
