package rollout

import (
	"fmt"
	"math"
	"time"

	"goldcrestfork/config"
)

// Settings holds the parameters of a comparison.
type Settings struct {
	// Alpha bounds the probability that a roll-out of an equally good version is
	// paused or rolled back, over all its steps and signals. Default 0.05. A false
	// alarm costs an operator an investigation and a repeated roll-out, whereas a
	// bad version gives callers wrong answers. The actual rate of false alarms is
	// far below the bound (docs/DECISIONS-versions.md).
	Alpha float64
	// MinDifference is the difference in rates below which a version is never
	// called worse, however strong the evidence is. Default 0.005.
	MinDifference float64
	// MinRequests is the number of requests that each version needs before a step.
	// Default 400: a version that fails 1 in 100 requests shows no failure in 400
	// requests with a probability of 1 in 55.
	MinRequests uint64
	// MinRated is the number of rated answers that each version needs before a
	// step. It is 0 where no rating service rates the model. Default 100.
	MinRated uint64
	// MinTime is the minimum time in a step. Default 5 min, by which an engine's
	// cold start is over.
	MinTime time.Duration
	// SettleTime is how long a roll-out that was paused for slow answers may
	// recover before it is rolled back. Default 10 min, twice MinTime, so that a
	// cold start alone can't cause a roll-back.
	SettleTime time.Duration
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		Alpha:         0.05,
		MinDifference: 0.005,
		MinRequests:   400,
		MinRated:      100,
		MinTime:       5 * time.Minute,
		SettleTime:    10 * time.Minute,
	}
}

// Action is the change that a verdict requests for a roll-out.
type Action int

// The values of Action.
const (
	// Hold leaves the roll-out unchanged.
	Hold Action = iota
	// Advance takes the roll-out's next step.
	Advance
	// Finish ends the roll-out with all work on the new version.
	Finish
	// Pause stops the roll-out from taking steps; the share stays.
	Pause
	// RollBack gives all new work to the old version.
	RollBack
)

// String returns the action as a metric label.
func (a Action) String() string {
	return [...]string{"hold", "advance", "finish", "pause", "roll-back"}[a]
}

// Signal is a kind of bad event on which the versions are compared.
type Signal string

// The values of Signal.
const (
	SignalErrors  Signal = "errors"
	SignalSlow    Signal = "slow"
	SignalRatings Signal = "ratings"
)

// signalCount is the number of signals that Alpha is divided over.
const signalCount = 3

// Finding is the result of the comparison on one signal.
type Finding struct {
	Signal Signal `json:"signal"`
	// From and To are the rates of bad events of the old and the new version, from
	// 0 to 1.
	From float64 `json:"from"`
	To   float64 `json:"to"`
	// Evidence is the log evidence that the new version is worse. From Limit on,
	// the evidence suffices.
	Evidence float64 `json:"evidence"`
	Limit    float64 `json:"limit"`
	// Worse says that the evidence reaches Limit and the difference in rates
	// reaches MinDifference.
	Worse bool `json:"worse"`
	// LikelyWorse says that the counts fit a version that is twice as bad better
	// than an equal one.
	LikelyWorse bool `json:"leaning"`
}

// Verdict is the action for a roll-out, with its reason and the findings behind it.
type Verdict struct {
	Action   Action    `json:"action"`
	Reason   string    `json:"reason"`
	Findings []Finding `json:"findings,omitempty"`
}

// evaluate compares the versions. The first comparison covers the whole epoch. The
// time elapsed in this epoch comes from the caller's monotonic clock. The argument
// complete says that the counts of all VMs are included. Incomplete counts may stop
// a roll-out, since the bad events they show did happen, but can't advance it,
// since the missing counts might hold the bad events.
func evaluate(s Settings, r *config.RollOut, comparisons []comparison, elapsed time.Duration, complete bool) Verdict {
	if !UnderWay(r) {
		return Verdict{Hold, "roll-out is " + string(r.State), nil}
	}
	findings := s.compare(r, comparisons)
	for _, f := range findings {
		settled := r.State == config.RollOutPaused && elapsed >= s.SettleTime
		if f.Worse && (f.Signal != SignalSlow || settled) {
			return Verdict{RollBack, f.describe(), findings}
		}
	}
	if r.State == config.RollOutPaused {
		return Verdict{Hold, "paused", findings}
	}
	for _, f := range findings {
		if f.Worse {
			return Verdict{Pause, f.describe(), findings}
		}
	}
	if reason := s.unmetMinimum(comparisons[0], elapsed, complete); reason != "" {
		return Verdict{Hold, reason, findings}
	}
	for _, f := range findings {
		if f.LikelyWorse {
			return Verdict{Hold, "undecided: " + f.describe(), findings}
		}
	}
	if r.Step >= len(r.Steps)-1 {
		return Verdict{Finish, "last step held", findings}
	}
	return Verdict{Advance, "no worse so far", findings}
}

// compare returns the finding of each signal.
func (s Settings) compare(r *config.RollOut, comparisons []comparison) []Finding {
	var findings []Finding
	for _, signal := range [...]Signal{SignalErrors, SignalRatings, SignalSlow} {
		findings = append(findings, strongestFinding(comparisons, func(v comparison) Finding { return s.compareSignal(r, v, signal) }))
	}
	return findings
}

// strongestFinding returns the finding that is nearest to its limit or furthest
// above it; one with Worse set takes precedence. LikelyWorse is taken from the whole
// epoch, because in a short window it is often set by chance.
func strongestFinding(comparisons []comparison, compare func(comparison) Finding) Finding {
	best := compare(comparisons[0])
	likelyWorse := best.LikelyWorse
	for _, v := range comparisons[1:] {
		f := compare(v)
		if f.Worse && !best.Worse || f.Worse == best.Worse && f.Evidence-f.Limit > best.Evidence-best.Limit {
			best = f
		}
	}
	best.LikelyWorse = likelyWorse
	return best
}

// compareSignal compares the versions on one signal.
func (s Settings) compareSignal(r *config.RollOut, v comparison, signal Signal) Finding {
	from, to := v.from.events(signal), v.to.events(signal)
	f := Finding{
		Signal: signal, From: from.rate(), To: to.rate(),
		Evidence: logEvidence(from, to, Share(r)), Limit: v.limit,
	}
	f.Worse = f.Evidence >= f.Limit && f.To-f.From >= s.MinDifference
	share := conservativeShare(from, to, Share(r))
	f.LikelyWorse = share > 0 && share < 1 && logLikelihoodRatio(from.bad, to.bad, share, 2, 1) > 0
	return f
}

// events returns the bad and the observed events of a signal.
func (t Tally) events(signal Signal) eventCount {
	switch signal {
	case SignalErrors:
		return eventCount{t.Errors, t.Requests}
	case SignalRatings:
		return eventCount{t.Poor, t.Rated}
	}
	return eventCount{t.Slow, t.Requests}
}

// epochLimit returns the log evidence that suffices over a whole epoch. Alpha is
// divided over the signals, the steps, and the two halves for the epoch and the
// windows.
func (s Settings) epochLimit(r *config.RollOut) float64 {
	return math.Log(2 * float64(signalCount*max(len(r.Steps), 1)) / s.Alpha)
}

// unmetMinimum returns the first condition that a step doesn't meet yet, or an
// empty string.
func (s Settings) unmetMinimum(v comparison, elapsed time.Duration, complete bool) string {
	switch {
	case elapsed < s.MinTime:
		return "minimum time in the step"
	case min(v.from.Requests, v.to.Requests) < s.MinRequests:
		return "minimum number of requests"
	case min(v.from.Rated, v.to.Rated) < s.MinRated:
		return "minimum number of ratings"
	case !complete:
		return "counts of some VMs are missing"
	}
	return ""
}

func (f Finding) describe() string {
	return fmt.Sprintf("%s %.2f%% against %.2f%%, evidence %.1f of %.1f",
		f.Signal, 100*f.To, 100*f.From, f.Evidence, f.Limit)
}
