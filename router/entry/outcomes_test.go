package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/config"
	"goldcrestfork/policy/rollout"
	"goldcrestfork/router/engine"
)

// Guards against a version that isn't slow to anybody although its tokens come several times as slowly as allowed, or its callers leave before the end.
func TestSlowTokensCountAgainstAVersion(t *testing.T) {
	second := time.Second
	for name, c := range map[string]struct {
		out            engine.Outcome
		requests, slow uint64
	}{
		"usual":                       {out: engine.Outcome{Result: engine.Complete, FirstToken: second / 2, Tokens: 101, TokenSpan: 4 * second}, requests: 1},
		"late first token":            {out: engine.Outcome{Result: engine.Complete, FirstToken: 2 * second, Tokens: 101, TokenSpan: 4 * second}, requests: 1, slow: 1},
		"slow tokens":                 {out: engine.Outcome{Result: engine.Complete, FirstToken: second / 2, Tokens: 101, TokenSpan: 20 * second}, requests: 1, slow: 1},
		"few tokens":                  {out: engine.Outcome{Result: engine.Complete, FirstToken: second / 2, Tokens: 3, TokenSpan: second}, requests: 1},
		"caller left":                 {out: engine.Outcome{Result: engine.CallerGone, FirstToken: second / 2, Tokens: 101, TokenSpan: 4 * second}},
		"caller left slow tokens":     {out: engine.Outcome{Result: engine.CallerGone, FirstToken: second / 2, Tokens: 20, TokenSpan: 8 * second}, requests: 1, slow: 1},
		"caller left without a token": {out: engine.Outcome{Result: engine.CallerGone, Took: 2 * second}, requests: 1, slow: 1},
		"caller left at once":         {out: engine.Outcome{Result: engine.CallerGone, Took: second / 2}},
	} {
		t.Run(name, func(t *testing.T) {
			r := &config.RollOut{
				Meta: config.Meta{Name: "r", Revision: 7}, Model: "m", From: "v1", To: "v2", State: config.RollOutRunning, Steps: []float64{50, 100},
			}
			o := outcomes{recorder: rollout.NewRecorder("vm")}
			o.recordAttempt(&chatRequest{Caller: &Caller{RequestID: "id"}, rollOut: r, arm: rollout.ArmTo}, c.out)
			counts := o.recorder.Counts(&config.Snapshot{RollOuts: map[string]*config.RollOut{"r": r}})
			var to rollout.Tally
			if len(counts) > 0 {
				to = counts[0].To
			}
			require.Equal(t, rollout.Tally{Requests: c.requests, Slow: c.slow}, to)
		})
	}
}
