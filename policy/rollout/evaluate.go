package rollout

import (
	"fmt"
	"math"
	"time"

	"goldcrestfork/config"
)

// Settings are the figures of a comparison.
type Settings struct {
	// Alpha bounds the chance that a roll-out of an equally good version is paused
	// or rolled back wrongly, over all its steps and signals. Default 0.05: a false
	// alarm costs an operator a look and a repeat, a bad version misdirects people;
	// what comes about is far below the bound (docs/DECISIONS-versions.md).
	Alpha float64
	// MinDifference is the rate difference below which a version is never called
	// worse, however sure the test is. Default 0.005.
	MinDifference float64
	// MinRequests of each version are needed before a step. Default 400: a version
	// that fails 1 in 100 shows no failure in 400 requests once in 55 times.
	MinRequests uint64
	// MinRated of each version's answers must be rated before a step; 0 where no
	// rating service rates the model. Default 100.
	MinRated uint64
	// MinTime is the least time in a step. Default 5 min: an engine's cold start is over by then.
	MinTime time.Duration
	// SettleTime is how long a roll-out paused for slow answers may settle before
	// it is rolled back. Default 10 min: twice MinTime, so that a cold start can't
	// alone cause it.
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

// Action is what a roll-out should do now.
type Action int

// The actions.
const (
	// Hold leaves it as it is.
	Hold Action = iota
	// Advance takes the next step.
	Advance
	// Finish ends the roll-out: all work is on the new version.
	Finish
	// Pause stops taking steps; the share stays.
	Pause
	// RollBack gives all new work to the old version.
	RollBack
)

// String gives the action as a metric label.
func (a Action) String() string {
	return [...]string{"hold", "advance", "finish", "pause", "roll-back"}[a]
}

// Signal is what the versions are compared on.
type Signal string

// The signals.
const (
	SignalErrors  Signal = "errors"
	SignalSlow    Signal = "slow"
	SignalRatings Signal = "ratings"
)

// signalCount splits Alpha.
const signalCount = 3

// Finding is one signal's comparison.
type Finding struct {
	Signal Signal `json:"signal"`
	// From and To are the rates of bad events.
	From float64 `json:"from"`
	To   float64 `json:"to"`
	// Evidence is the log evidence that To is worse; from Limit on it counts as worse.
	Evidence float64 `json:"evidence"`
	Limit    float64 `json:"limit"`
	// Worse is the finding.
	Worse bool `json:"worse"`
	// Leaning says that the counts fit a version twice as bad better than an equal one.
	Leaning bool `json:"leaning"`
}

// Verdict is the action and why.
type Verdict struct {
	Action   Action    `json:"action"`
	Reason   string    `json:"reason"`
	Findings []Finding `json:"findings,omitempty"`
}

// evaluate compares the versions; the first view is the whole epoch. elapsed is
// the time in this epoch by the caller's own monotonic clock. complete says that
// all VMs' counts are in: an incomplete sum may stop a roll-out, since what it
// shows did happen, but can't let it advance, since what it lacks might be the
// bad part.
func evaluate(s Settings, r *config.RollOut, views []view, elapsed time.Duration, complete bool) Verdict {
	if !UnderWay(r) {
		return Verdict{Hold, "roll-out is " + string(r.State), nil}
	}
	findings := s.compare(r, views)
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
	if reason := s.wants(views[0], elapsed, complete); reason != "" {
		return Verdict{Hold, reason, findings}
	}
	for _, f := range findings {
		if f.Leaning {
			return Verdict{Hold, "undecided: " + f.describe(), findings}
		}
	}
	if r.Step >= len(r.Steps)-1 {
		return Verdict{Finish, "last step held", findings}
	}
	return Verdict{Advance, "no worse so far", findings}
}

// compare returns a finding for each signal.
func (s Settings) compare(r *config.RollOut, views []view) []Finding {
	var findings []Finding
	for _, signal := range [...]Signal{SignalErrors, SignalRatings, SignalSlow} {
		findings = append(findings, strongest(views, func(v view) Finding { return s.find(r, v, signal) }))
	}
	return findings
}

// strongest returns the finding of the view that comes nearest to its limit.
// Leaning is taken from the whole epoch: in a short window chance leans often.
func strongest(views []view, find func(view) Finding) Finding {
	best := find(views[0])
	leaning := best.Leaning
	for _, v := range views[1:] {
		f := find(v)
		if f.Worse && !best.Worse || f.Worse == best.Worse && f.Evidence-f.Limit > best.Evidence-best.Limit {
			best = f
		}
	}
	best.Leaning = leaning
	return best
}

func (s Settings) find(r *config.RollOut, v view, signal Signal) Finding {
	from, to := v.from.events(signal), v.to.events(signal)
	f := Finding{
		Signal: signal, From: from.rate(), To: to.rate(),
		Evidence: evidence(from, to, Share(r)), Limit: v.limit,
	}
	f.Worse = f.Evidence >= f.Limit && f.To-f.From >= s.MinDifference
	share := comparedShare(from, to, Share(r))
	f.Leaning = share > 0 && share < 1 && logRatio(from.bad, to.bad, share, 2, 1) > 0
	return f
}

func (t Tally) events(signal Signal) events {
	switch signal {
	case SignalErrors:
		return events{t.Errors, t.Requests}
	case SignalRatings:
		return events{t.Poor, t.Rated}
	}
	return events{t.Slow, t.Requests}
}

// limit is the log evidence that counts over a whole epoch: Alpha split over
// signals, steps, and the halves for epoch and windows.
func (s Settings) limit(r *config.RollOut) float64 {
	return math.Log(2 * float64(signalCount*max(len(r.Steps), 1)) / s.Alpha)
}

// wants says what a step still lacks; empty for nothing.
func (s Settings) wants(v view, elapsed time.Duration, complete bool) string {
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
