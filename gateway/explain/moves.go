package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Move is a request that ran on another version than the previous request of its session. If
// Before and After are the same request, its own attempts ran on different versions.
type Move struct {
	Before, After Line
	From, To      string
	// Gap is the time from the end of the previous request to the start of this one; negative if
	// that one was still in progress.
	Gap time.Duration
}

// Moves returns the requests of all VMs that started less than pause after the end of the
// previous request in their session and ran on another version, and those whose own attempts
// ran on different versions.
func (l *Log) Moves(pause time.Duration) []Move {
	sessions := make(map[string][]Line)
	for _, line := range l.Lines {
		if line.Session != "" && len(strings.Fields(line.Versions)) > 0 {
			sessions[line.Session] = append(sessions[line.Session], line)
		}
	}
	var out []Move
	for _, lines := range sessions {
		slices.SortFunc(lines, func(a, b Line) int { return a.start().Compare(b.start()) })
		for i := range lines {
			out = append(out, movesAt(lines, i, pause)...)
		}
	}
	slices.SortFunc(out, func(a, b Move) int {
		return cmp.Or(a.After.start().Compare(b.After.start()), strings.Compare(a.After.Request, b.After.Request))
	})
	return out
}

// movesAt compares a session's i-th request with the previous one, and its own attempts with
// each other.
func movesAt(lines []Line, i int, pause time.Duration) (out []Move) {
	line := lines[i]
	versions := strings.Fields(line.Versions)
	if i > 0 {
		before := lines[i-1]
		ran := strings.Fields(before.Versions)
		last, gap := ran[len(ran)-1], line.start().Sub(before.Time)
		// The line of a request that was still in progress doesn't say which version it had reached
		// by then.
		differs := last != versions[0]
		if gap < 0 {
			differs = !slices.Contains(ran, versions[0])
		}
		if differs && gap < pause {
			out = append(out, Move{Before: before, After: line, From: last, To: versions[0], Gap: gap})
		}
	}
	for v := 1; v < len(versions); v++ {
		out = append(out, Move{Before: line, After: line, From: versions[v-1], To: versions[v]})
	}
	return out
}

// start returns when the request's head was received.
func (r Line) start() time.Time { return r.Time.Add(-time.Duration(r.Took) * time.Millisecond) }

// timeOfDay is the format of a log line's time without its date.
const timeOfDay = "15:04:05.000"

// WriteMoves writes one line for each move, and the number of moves by reason.
func WriteMoves(w io.Writer, moves []Move) error {
	count := make(map[string]int)
	for _, m := range moves {
		count[m.After.Reason]++
		if _, err := fmt.Fprintf(w, "%s session %s %s to %s (%s), request %s at %s; before: %s at %s, sent %d ms and ended %d ms earlier; roll-out %d ms old, version from keeper %q, which had kept the session for %d ms\n",
			m.After.start().Format(timeOfDay), m.After.Session, m.From, m.To, m.After.Reason, m.After.Request, m.After.VM,
			m.Before.Request, m.Before.VM, m.After.start().Sub(m.Before.start()).Milliseconds(), m.Gap.Milliseconds(),
			m.After.RollOutAge, m.After.Keeper, m.After.SessionAge); err != nil {
			return err
		}
	}
	for _, reason := range slices.Sorted(maps.Keys(count)) {
		if _, err := fmt.Fprintf(w, "%d by reason %q\n", count[reason], reason); err != nil {
			return err
		}
	}
	return nil
}
