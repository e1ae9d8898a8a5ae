package forward

import (
	"context"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"goldcrestfork/fleet/quota"
	"goldcrestfork/gateway/upstream"
	"goldcrestfork/policy/placement"
	"goldcrestfork/policy/ratelimit"
)

const (
	// maxLimitQueries bounds the endpoints whose request limits are asked for in one choice while
	// others may be free; each takes a round trip to another VM.
	maxLimitQueries = 4
	// maxNeededQueries applies instead if all other endpoints are out of the question.
	maxNeededQueries = 16
	// maxLimitQueryTime is the time after which a choice makes no further query, as when keepers
	// are silent.
	maxLimitQueryTime = 100 * time.Millisecond
)

// limitSteps are the endpoints that a choice considers one after the other, and how often it picks
// one of them.
var limitSteps = []struct {
	use   placement.LimitedUse
	picks int
}{
	{placement.LimitedPaced, maxLimitQueries},
	{placement.LimitedNone, 1},
	{placement.LimitedNeeded, maxNeededQueries},
}

// pickWithinLimits picks an endpoint whose request limit, if it has one, allows the request. If the
// limits that were asked for are used up it picks an endpoint without a limit, and if there is none
// it asks for further limits.
func (c *call) pickWithinLimits(ctx context.Context, r *placement.Request) (ch placement.Choice, miss placement.NoChoiceReason) {
	began := time.Now()
	for _, step := range limitSteps {
		r.Limited = step.use
		for range step.picks {
			if step.use != placement.LimitedNone && time.Since(began) > maxLimitQueryTime {
				break
			}
			ch, miss = c.h.cfg.Table.Pick(time.Now(), newRand(), r)
			if miss == placement.AllLimited {
				break
			}
			if miss != placement.Picked || c.withinLimit(ctx, ch) {
				return ch, miss
			}
			if ctx.Err() != nil {
				return placement.Choice{}, placement.AllLimited
			}
		}
	}
	return placement.Choice{}, placement.AllLimited
}

// withinLimit reports whether the request limit of a chosen endpoint, if it has one, allows the
// request. Otherwise it takes the choice back.
func (c *call) withinLimit(ctx context.Context, ch placement.Choice) bool {
	if !ch.Limited {
		return true
	}
	a := c.h.cfg.Limits.Take(ctx, ch.ID, ch.Limit)
	c.limitNotes = append(c.limitNotes, limitNote{endpoint: ch.ID, Answer: a})
	if a.Wait == 0 {
		return true
	}
	now := time.Now()
	c.h.cfg.Table.Done(now, ch, placement.NoSignal)
	if ctx.Err() == nil { // otherwise the wait is not the keeper's
		c.h.cfg.Table.DenyLimited(now, ch.ID, a.Wait, ratelimit.AskInterval(a.VMs, ch.Limit))
	}
	return false
}

// recordLimit records the request limit that an answer states or doesn't state.
func (c *call) recordLimit(now time.Time, ch placement.Choice, a *upstream.Answer) {
	n := &c.h.cfg.Names
	stated := a.Header.Get(n.RateLimit)
	if rate, ok := parseRate(stated); ok {
		if c.h.cfg.Table.SetLimit(now, ch.ID, rate) {
			c.statementLine(ch).Float64("per_s", rate).Msg("endpoint states a request limit")
		}
		return
	}
	if stated != "" {
		c.statementLine(ch).Str("value", stated).Msg("request limit can't be read, passed over")
		return
	}
	// An endpoint may answer a request that it doesn't run without its usual headers, and an
	// answer without a signature may not be its own.
	if a.Status < 300 && a.Header.Get(n.Signature) != "" && c.h.cfg.Table.EndLimit(now, ch.ID, c.sentAt) {
		c.statementLine(ch).Msg("endpoint states no request limit any more")
	}
}

// parseRate parses a rate in requests a second, a decimal number; ok is false if it is
// malformed or negative.
func parseRate(s string) (rate float64, ok bool) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	return rate, err == nil && rate >= 0 && !math.IsInf(rate, 0)
}

// limitNote is, for the log, a decision on the request within an endpoint's request limit.
type limitNote struct {
	endpoint string
	quota.Answer
}

// formatLimitNotes formats decisions as "endpoint=wait@keeper", separated by spaces. The wait is
// 0ms if the request was allowed, and the keeper is missing if none answered.
func formatLimitNotes(notes []limitNote) string {
	out := make([]string, len(notes))
	for i, a := range notes {
		out[i] = fmt.Sprintf("%s=%dms@%s", a.endpoint, a.Wait.Milliseconds(), a.Keeper)
	}
	return strings.Join(out, " ")
}
