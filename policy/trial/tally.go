package trial

import (
	"fmt"

	"goldcrestfork/policy/pace"
)

// Result is how one answer turned out.
type Result struct {
	// Failed says that the endpoint failed the request.
	Failed bool
	// Broke says that it did so by breaking the connection.
	Broke bool
	// Finding is how slow an answer was that didn't fail.
	Finding pace.Finding
}

// Tally counts the answers of one version.
type Tally struct {
	Requests uint64 `cbor:"1,keyasint"`
	Errors   uint64 `cbor:"2,keyasint"`
	// Broken counts the errors that were broken connections.
	Broken uint64 `cbor:"8,keyasint,omitempty"`
	// Heads and Paces compare the heads of streams, and the pauses between their events or the
	// times of other answers.
	Heads Levels `cbor:"6,keyasint"`
	Paces Levels `cbor:"7,keyasint"`
}

// Levels counts the answers that were compared, and those of them that were slow at least, and
// very slow.
type Levels struct {
	_        struct{} `cbor:",toarray"`
	Compared uint64
	Slow     uint64
	VerySlow uint64
}

func (l *Levels) count(level pace.Level) {
	if level == pace.Unknown {
		return
	}
	l.Compared++
	if level >= pace.Slow {
		l.Slow++
	}
	if level == pace.VerySlow {
		l.VerySlow++
	}
}

func (l *Levels) add(o Levels) {
	l.Compared += o.Compared
	l.Slow += o.Slow
	l.VerySlow += o.VerySlow
}

func (t *Tally) count(r Result) {
	t.Requests++
	if r.Failed {
		t.Errors++
		if r.Broke {
			t.Broken++
		}
		return
	}
	t.Heads.count(r.Finding.Head)
	t.Paces.count(r.Finding.Pace)
}

func (t *Tally) add(o Tally) {
	t.Requests += o.Requests
	t.Errors += o.Errors
	t.Broken += o.Broken
	t.Heads.add(o.Heads)
	t.Paces.add(o.Paces)
}

// since returns the counts since an earlier state.
func (t Tally) since(o Tally) Tally {
	return Tally{
		Requests: t.Requests - o.Requests, Errors: t.Errors - o.Errors, Broken: t.Broken - o.Broken,
		Heads: t.Heads.since(o.Heads), Paces: t.Paces.since(o.Paces),
	}
}

// String formats the counts for log lines.
func (t Tally) String() string {
	return fmt.Sprintf("%d answers, %d failed, %d broken, heads %v, paces %v", t.Requests, t.Errors, t.Broken, t.Heads, t.Paces)
}

func (l Levels) since(o Levels) Levels {
	return Levels{Compared: l.Compared - o.Compared, Slow: l.Slow - o.Slow, VerySlow: l.VerySlow - o.VerySlow}
}

// String formats the counts for log lines.
func (l Levels) String() string { return fmt.Sprintf("%d/%d/%d", l.Compared, l.Slow, l.VerySlow) }

// bad is the number of answers that count as bad to operators; one that is very slow both in its head
// and in its events counts twice.
func (t Tally) bad() uint64 { return t.Errors + t.Heads.VerySlow + t.Paces.VerySlow }
