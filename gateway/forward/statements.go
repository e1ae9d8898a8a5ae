package forward

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"goldcrestfork/gateway/upstream"
	"goldcrestfork/policy/placement"
)

// recordStatements records what an endpoint states about itself in the head of an answer.
func (c *call) recordStatements(now time.Time, ch placement.Choice, a *upstream.Answer) {
	n := &c.h.cfg.Names
	if ms := parseCount(a.Header.Get(n.ColdRemaining)); ms > 0 {
		c.h.cfg.Table.MarkCold(now, ch.ID, time.Duration(ms)*time.Millisecond)
	}
	c.h.unknown.note(a.Header, func(name string) {
		c.statementLine(ch).Str("header", name).Msg("answer has an unknown header, passed on")
	})
	if a.Status == http.StatusMisdirectedRequest {
		return // another incarnation
	}
	c.recordLimit(now, ch, a)
	c.recordRest(now, ch, a)
	c.recordBrittle(now, ch, a)
	c.recordLoad(now, ch, a)
	if a.Header.Get(n.Leaving) != "" && c.h.cfg.Table.MarkLeaving(ch.ID) {
		c.statementLine(ch).Msg("endpoint says that it leaves")
	}
}

// statementLine starts a log line about what an endpoint stated in the answer to this request.
func (c *call) statementLine(ch placement.Choice) *zerolog.Event {
	return c.h.cfg.Log.Info().Str("endpoint", ch.ID).Str("by_request", c.id)
}

// recordRest records that an endpoint wants nothing from this VM for a time.
func (c *call) recordRest(now time.Time, ch placement.Choice, a *upstream.Answer) {
	stated := a.Header.Get(c.h.cfg.Names.Rest)
	if a.Status != http.StatusServiceUnavailable || stated == "" {
		return
	}
	rest, ok := parseSeconds(stated)
	if !ok {
		c.statementLine(ch).Str("value", stated).Msg("time of rest can't be read, passed over")
		return
	}
	if c.h.cfg.Table.AskRest(now, ch.ID, rest) {
		c.statementLine(ch).Dur("for_ms", rest).Msg("endpoint asks for rest")
	}
}

// recordBrittle records how many requests an endpoint can turn away.
func (c *call) recordBrittle(now time.Time, ch placement.Choice, a *upstream.Answer) {
	n := &c.h.cfg.Names
	t := c.h.cfg.Table
	switch stated := a.Header.Get(n.Brittle); {
	case stated == "":
		// An endpoint may refuse a request without its usual headers.
		if a.Status < 300 && t.EndBrittle(ch.ID, c.sentAt) {
			c.statementLine(ch).Msg("endpoint is brittle no more")
		}
	default:
		bound, err := strconv.Atoi(strings.TrimSpace(stated))
		if err != nil || bound < 0 {
			c.statementLine(ch).Str("value", stated).Msg("number of requests that it can turn away can't be read, passed over")
			return
		}
		if t.SetBrittle(now, ch.ID, bound, c.h.cfg.VMs()) {
			c.statementLine(ch).Int("per_s", bound).Msg("endpoint is brittle")
		}
	}
}

// recordLoad records an endpoint's load and how slow its machine is.
func (c *call) recordLoad(now time.Time, ch placement.Choice, a *upstream.Answer) {
	stated := a.Header.Get(c.h.cfg.Names.Load)
	if stated == "" {
		return
	}
	load, ok := parseLoadHeader(stated)
	if !ok {
		c.h.cfg.Metrics.malformedLoad.Inc()
		return
	}
	c.statedLoad = load
	if load.slots > 0 {
		c.h.cfg.Table.ReportLoad(now, ch.ID, load.inFlight())
	}
	if load.slowdown > 0 {
		c.h.cfg.Table.ReportSlowdown(now, ch.ID, load.slowdown)
	}
}

// maxRest bounds the time that an endpoint may ask for.
const maxRest = time.Hour

// parseSeconds parses a time in seconds, a decimal number; ok is false if it is malformed or
// negative.
func parseSeconds(s string) (d time.Duration, ok bool) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	if err != nil || !(seconds >= 0) || math.IsInf(seconds, 0) {
		return 0, false
	}
	return time.Duration(min(seconds, maxRest.Seconds()) * float64(time.Second)), true
}

// maxUnknownHeaders bounds the unknown headers that are remembered.
const maxUnknownHeaders = 64

// unknownHeaders remembers the headers of answers whose meaning isn't known. An endpoint may state
// a need in one.
type unknownHeaders struct {
	known map[string]bool

	mu   sync.Mutex
	seen map[string]bool
}

func newUnknownHeaders(n *HeaderNames) *unknownHeaders {
	u := &unknownHeaders{known: make(map[string]bool), seen: make(map[string]bool)}
	for _, name := range append(n.OtherAnswer, n.RequestID, n.Load, n.RateLimit, n.Rest, n.Leaving, n.Brittle, n.NotRun, n.Signature, n.Confidence, n.ColdRemaining) {
		u.known[name] = true
	}
	return u
}

// note calls report for each header that is seen for the first time.
func (u *unknownHeaders) note(h http.Header, report func(name string)) {
	for name := range h {
		if !u.known[name] && u.add(name) {
			report(name)
		}
	}
}

func (u *unknownHeaders) add(name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.seen[name] || len(u.seen) >= maxUnknownHeaders {
		return false
	}
	u.seen[name] = true
	return true
}
