package cascade

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcrestfork/config"
)

const seed = 4101

var errTest = errors.New("test")

func start() time.Time { return time.Unix(0, 0) }

func versions() map[string]*config.ModelVersion {
	labels := map[string]string{"tier": "all"}
	v := func(name, next string, cost int64, quality float64) *config.ModelVersion {
		return &config.ModelVersion{
			Meta: config.Meta{Name: name, Labels: labels}, State: config.VersionServing,
			Cost: cost, Quality: quality, Cascade: next,
		}
	}
	return map[string]*config.ModelVersion{
		"mini": v("mini", "base", 100, 0.6),
		"base": v("base", "best", 400, 0.86),
		"best": v("best", "mini", 1000, 0.9),
	}
}

func account() *config.ClientAccount {
	return &config.ClientAccount{
		Meta:     config.Meta{Name: "cluj"},
		Versions: config.Selector{"tier": {"all"}},
		Quality:  0.75,
	}
}

func exact() Settings {
	s := DefaultSettings()
	s.ExploreShare, s.Margin = 0, 0
	return s
}

func names(p Plan) []string {
	var out []string
	for _, s := range p.Steps {
		out = append(out, s.Version)
	}
	return out
}

func TestChain(t *testing.T) {
	vs, a := versions(), account()
	require.Len(t, Chain(vs, a, "mini"), 3, "the link back to mini ends the chain")
	vs["base"].State = config.VersionWithdrawn
	require.Len(t, Chain(vs, a, "mini"), 2)
	vs["best"].Labels = map[string]string{"tier": "other"}
	require.Len(t, Chain(vs, a, "mini"), 1)
	a.Versions = nil
	require.Empty(t, Chain(vs, a, "mini"))
	_, err := NewLearner(exact()).Plan(a, nil, Request{}, start(), nil)
	require.ErrorIs(t, err, ErrNoVersion)
}

func TestPlan(t *testing.T) {
	whole := []string{"mini", "base", "best"}
	for name, c := range map[string]struct {
		req    Request
		cap    int64
		target float64
		want   []string
		reason Reason
	}{
		"cheap first":                {Request{Repeatable: true}, 0, 0.75, whole, ReasonCheapFirst},
		"may run only once":          {Request{}, 0, 0.75, []string{"base"}, ReasonOnlyStep},
		"session keeps its version":  {Request{Repeatable: true, Pinned: true}, 0, 0.75, []string{"mini"}, ReasonOnlyStep},
		"no target":                  {Request{Repeatable: true}, 0, 0, []string{"mini"}, ReasonOnlyStep},
		"class can't wait":           {Request{Repeatable: true}, 0, 0.75, []string{"base"}, ReasonImmediate},
		"can't wait, none reaches":   {Request{Repeatable: true}, 0, 0.99, []string{"best"}, ReasonImmediate},
		"cap holds mini and best":    {Request{Repeatable: true, MaxTokens: 1000}, 1100, 0.75, []string{"mini", "best"}, ReasonCheapFirst},
		"cap holds best alone":       {Request{Repeatable: true, MaxTokens: 1000}, 1050, 0.75, []string{"best"}, ReasonOnlyStep},
		"cap too small for the best": {Request{Repeatable: true, MaxTokens: 1000}, 500, 0.75, []string{"mini", "base"}, ReasonCheapFirst},
	} {
		t.Run(name, func(t *testing.T) {
			if c.reason != ReasonImmediate {
				c.req.Class = config.ClassDeferrable
			}
			a := account()
			a.SpendCap, a.Quality = c.cap, c.target
			p, err := NewLearner(exact()).Plan(a, Chain(versions(), a, "mini"), c.req, start(), rand.New(rand.NewPCG(seed, 1)))
			require.NoError(t, err)
			require.Equal(t, c.want, names(p))
			require.Equal(t, c.reason, p.Reason)
		})
	}
	a := account()
	a.SpendCap = 50
	_, err := NewLearner(exact()).Plan(a, Chain(versions(), a, "mini"), Request{MaxTokens: 1000}, start(), nil)
	require.ErrorIs(t, err, ErrSpendCap)
}

func TestJudge(t *testing.T) {
	for name, c := range map[string]struct {
		step    int
		outcome Outcome
		want    Decision
	}{
		"good":                      {0, Outcome{Rating: 0.75}, Decision{Accept, ReasonRated}},
		"poor":                      {0, Outcome{Rating: 0.74}, Decision{Escalate, ReasonRatedPoor}},
		"last step, poor":           {2, Outcome{Rating: 0}, Decision{Accept, ReasonLastStep}},
		"poor, cap reached":         {0, Outcome{Rating: 0.1, Spent: 2200}, Decision{Accept, ReasonSpendCap}},
		"poor, no time":             {0, Outcome{Rating: 0.1, NoTime: true}, Decision{Accept, ReasonNoTime}},
		"failed step":               {0, Outcome{Err: errTest}, Decision{Escalate, ReasonStepFailed}},
		"failed last step":          {2, Outcome{Err: errTest}, Decision{Fail, ReasonStepFailed}},
		"failed, no time":           {0, Outcome{Err: errTest, NoTime: true}, Decision{Fail, ReasonStepFailed}},
		"no rating, cheap version":  {0, Outcome{RatingErr: errTest}, Decision{Escalate, ReasonExpectedPoor}},
		"no rating, better version": {1, Outcome{RatingErr: errTest}, Decision{Accept, ReasonExpectedGood}},
	} {
		t.Run(name, func(t *testing.T) {
			a := account()
			a.SpendCap = 2500
			l := NewLearner(exact())
			p, err := l.Plan(a, Chain(versions(), a, "mini"), Request{Repeatable: true, Class: config.ClassDeferrable, MaxTokens: 1000}, start(), rand.New(rand.NewPCG(seed, 2)))
			require.NoError(t, err)
			require.Equal(t, c.want, l.Evaluate(p, c.step, c.outcome, start()))
		})
	}
}

// While the rating service is down, a caller must not pay for a cheap answer that
// can't be rated and then for the best one. After three missing ratings, plans have
// one streamed step, and one request in each RatingRetry interval probes the
// service.
func TestRatingDown(t *testing.T) {
	l, a := NewLearner(exact()), account()
	plan := func(now time.Time) Plan {
		p, err := l.Plan(a, Chain(versions(), a, "mini"), Request{Repeatable: true, Class: config.ClassDeferrable}, now, rand.New(rand.NewPCG(seed, 3)))
		require.NoError(t, err)
		return p
	}
	now := start()
	for range l.settings.RatingFailures {
		p := plan(now)
		require.Len(t, p.Steps, 3)
		l.Evaluate(p, 0, Outcome{RatingErr: errTest}, now)
	}
	down := plan(now)
	require.Equal(t, []string{"base"}, names(down))
	require.False(t, down.Steps[0].Buffered)
	require.True(t, l.Dump().RatingDown)

	now = now.Add(l.settings.RatingRetry)
	probe := plan(now)
	require.Len(t, probe.Steps, 3)
	require.Len(t, plan(now).Steps, 1, "only one request probes")
	l.Evaluate(probe, 0, Outcome{Rating: 0.9}, now)
	require.Len(t, plan(now).Steps, 3)
}

// For any ratings, failures and caps, the steps of a request never cost more than
// its cap, only the last step is streamed, and a request has at most one accepted
// answer.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, a, vs := NewLearner(DefaultSettings()), account(), versions()
		a.SpendCap = rapid.Int64Range(0, 2000).Draw(t, "cap")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for range rapid.IntRange(1, 50).Draw(t, "requests") {
			req := Request{Repeatable: rng.IntN(4) > 0, Class: config.Class(rng.IntN(3)), MaxTokens: rng.IntN(2000)}
			p, err := l.Plan(a, Chain(vs, a, "mini"), req, start(), rng)
			if err != nil {
				require.ErrorIs(t, err, ErrSpendCap)
				continue
			}
			answers, spent := 0, int64(0)
			for i, s := range p.Steps {
				require.Equal(t, i < len(p.Steps)-1, s.Buffered)
				spent += s.maxSpend(req.MaxTokens)
				o := Outcome{Rating: rng.Float64(), Spent: spent}
				if rng.IntN(5) == 0 {
					o.Err = errTest
				}
				d := l.Evaluate(p, i, o, start())
				if d.Action == Accept {
					answers++
				}
				if d.Action != Escalate {
					break
				}
				require.Less(t, i, len(p.Steps)-1, "the last step must not escalate")
			}
			require.LessOrEqual(t, answers, 1)
			if a.SpendCap > 0 {
				require.LessOrEqual(t, spent, a.SpendCap)
			}
		}
	})
}

func BenchmarkPlan(b *testing.B) {
	l, a := NewLearner(DefaultSettings()), account()
	chain := Chain(versions(), a, "mini")
	rng := rand.New(rand.NewPCG(seed, 4))
	req := Request{Label: "tag", Repeatable: true, Class: config.ClassDeferrable}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := l.Plan(a, chain, req, start(), rng); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkMemory measures what a Learner allocates for a number of kinds of
// request.
func BenchmarkMemory(b *testing.B) {
	for _, kinds := range []int{512, 2048, 8192} {
		b.Run(fmt.Sprint("kinds=", kinds), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				l := NewLearner(DefaultSettings())
				for i := range kinds {
					for _, version := range []string{"mini", "base"} {
						l.learn(requestKind{account: "cluj", label: fmt.Sprint(i)}, version, true)
					}
				}
			}
		})
	}
}
