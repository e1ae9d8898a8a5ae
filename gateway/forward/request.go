package forward

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"goldcrestfork/gateway/catalog"
	"goldcrestfork/policy/poison"
)

// promptPart is one part of a prompt. Requests share a part if all parts before it are the same
// as well.
type promptPart struct {
	id     string
	tokens int
}

// prompt describes a request's prompt, as its headers state it.
type prompt struct {
	sharedPrefix string // id of the longest prefix that other requests may share; empty for none
	sharedTokens int    // tokens of the parts in that prefix
	totalTokens  int    // tokens of all parts
	wildcard     bool   // the system chooses the model
	// sharedParts are the fingerprints of the parts that other requests may hold too, in order,
	// without repetition and maxSharedParts at most.
	sharedParts []poison.Fingerprint
}

// maxSharedParts bounds the parts of one prompt that are examined after a crash.
const maxSharedParts = 32

// anyModel is the model name with which a caller lets the system choose the model.
const anyModel = "*"

func parsePrompt(h http.Header, n *HeaderNames, r *catalog.Route) prompt {
	var parts []promptPart
	for f := range strings.SplitSeq(h.Get(n.PromptParts), ",") {
		if id, tokens, ok := strings.Cut(strings.TrimSpace(f), ":"); ok {
			parts = append(parts, promptPart{id: id, tokens: min(parseCount(tokens), maxTokens)})
		}
	}
	p := prompt{wildcard: len(r.Models) > 0 && h.Get(n.Model) == anyModel}
	for _, s := range parts {
		p.totalTokens += s.tokens
	}
	// The last part belongs to this request or its session alone. The part before it ends the
	// longest prefix that other requests may share.
	if n := len(parts); n >= 2 {
		p.sharedPrefix = parts[n-2].id
		for _, s := range parts[:n-1] {
			p.sharedTokens += s.tokens
			if f := poison.NewPart(s.id); len(p.sharedParts) < maxSharedParts && !slices.Contains(p.sharedParts, f) {
				p.sharedParts = append(p.sharedParts, f)
			}
		}
	}
	return p
}

// endpointLoad is an endpoint's load in requests, as reported with its answer.
type endpointLoad struct {
	running, waiting, slots int
	slowdown                int // time that work takes on its machine, in percent of the usual; 0 if not stated
}

// parseLoad parses a load header. A malformed header counts as no load.
func parseLoad(h string) endpointLoad {
	l, _ := parseLoadHeader(h)
	return l
}

// parseLoadHeader parses a load header with three or four figures; ok is false if it is malformed.
func parseLoadHeader(h string) (l endpointLoad, ok bool) {
	f := strings.Split(h, ",")
	if len(f) != 3 && len(f) != 4 {
		return endpointLoad{}, false
	}
	figures := make([]int, 4)
	for i, s := range f {
		n, err := strconv.Atoi(strings.TrimSpace(s))
		if err != nil || n < 0 || i == 3 && n == 0 {
			return endpointLoad{}, false
		}
		figures[i] = n
	}
	return endpointLoad{running: figures[0], waiting: figures[1], slots: figures[2], slowdown: figures[3]}, true
}

// inFlight returns the number of requests that run or wait at the endpoint.
func (l endpointLoad) inFlight() int { return l.running + l.waiting }

// parseCount parses a count. A malformed or negative one counts as 0, which only makes
// estimates less accurate.
func parseCount(s string) int {
	n, err := strconv.Atoi(strings.TrimSpace(s))
	if err != nil {
		return 0
	}
	return max(n, 0)
}

// callerTimeout returns how long the caller waits for the answer; ok is false if the request
// states no time.
func callerTimeout(h http.Header, n *HeaderNames) (time.Duration, bool) {
	ms, err := strconv.ParseInt(strings.TrimSpace(h.Get(n.Deadline)), 10, 64)
	if err != nil || ms <= 0 {
		return 0, false
	}
	return min(time.Duration(ms)*time.Millisecond, maxCallerTimeout), true
}

// maxCallerTimeout bounds the time that a caller states, so that arithmetic on durations can't
// overflow.
const maxCallerTimeout = time.Hour

// pathOf returns the path that routes are matched against, as the caller wrote it.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
