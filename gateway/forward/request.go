package forward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"goldcrestfork/gateway/catalog"
)

// part is one part of a prompt, shared by requests that have the same parts before it.
type part struct {
	id     string
	tokens int
}

// prompt is what a request says of its prompt.
type prompt struct {
	affinity string // the longest part that other requests share; empty for none
	shared   int    // tokens of the parts that other requests share
	whole    int    // tokens of all parts
	wildcard bool   // the system chooses the model
}

// anyModel is what a caller names when the system is to choose the model.
const anyModel = "*"

func readPrompt(h http.Header, n *Names, r *catalog.Route) prompt {
	var parts []part
	for f := range strings.SplitSeq(h.Get(n.Parts), ",") {
		if id, tokens, ok := strings.Cut(strings.TrimSpace(f), ":"); ok {
			parts = append(parts, part{id: id, tokens: number(tokens)})
		}
	}
	p := prompt{wildcard: len(r.Models) > 0 && h.Get(n.Model) == anyModel}
	for _, s := range parts {
		p.whole += s.tokens
	}
	// The last part is the request's or its session's own. The one before is the
	// longest that others share.
	if n := len(parts); n >= 2 {
		p.affinity = parts[n-2].id
		for _, s := range parts[:n-1] {
			p.shared += s.tokens
		}
	}
	return p
}

// load is an endpoint's own word on its load, as of its answer.
type load struct{ running, waiting, slots int }

// readLoad reads it; what can't be read counts as no load.
func readLoad(h string) load {
	f := strings.Split(h, ",")
	if len(f) != 3 {
		return load{}
	}
	return load{running: number(f[0]), waiting: number(f[1]), slots: number(f[2])}
}

// under is how many requests the endpoint has.
func (l load) under() int { return l.running + l.waiting }

// number reads a count; what can't be read counts as 0, which only makes estimates worse.
func number(s string) int {
	n, err := strconv.Atoi(strings.TrimSpace(s))
	if err != nil {
		return 0
	}
	return max(n, 0)
}

// callerTime reads the caller's patience; ok is false where it gave none.
func callerTime(h http.Header, n *Names) (time.Duration, bool) {
	ms, err := strconv.ParseInt(strings.TrimSpace(h.Get(n.Deadline)), 10, 64)
	if err != nil || ms <= 0 {
		return 0, false
	}
	return min(time.Duration(ms)*time.Millisecond, longest), true
}

// longest bounds a caller's patience, which is arithmetic on durations after all.
const longest = time.Hour

// pathOf is the path that routes match, as the caller wrote it.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
