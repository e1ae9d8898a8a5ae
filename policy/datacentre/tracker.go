package datacentre

import (
	"maps"
	"slices"
	"sync"
	"time"

	"goldcrestfork/config"
)

// Settings are the figures of a Tracker.
type Settings struct {
	// RampTime is the time from back in to full weight. Default 60 s, measured in
	// docs/DECISIONS-versions.md: prefix caches refill within it.
	RampTime time.Duration
	// Floor is the weight at the start of a return, above zero so that caches
	// begin to fill and a data centre that is the only one serves at all. Default 0.05.
	Floor float64
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{RampTime: time.Minute, Floor: 0.05}
}

// state is what this VM knows of one data centre.
type state struct {
	in bool
	// ramping says that the data centre came back at backAt.
	ramping bool
	backAt  time.Time
}

// Tracker turns data centre states into weights. Safe for concurrent use.
type Tracker struct {
	settings Settings

	mu     sync.RWMutex
	states map[string]state
}

// NewTracker returns a Tracker that knows no data centre; each has weight zero until observed.
func NewTracker(s Settings) *Tracker {
	return &Tracker{settings: s, states: make(map[string]state)}
}

// Observe takes the states of the configuration in force. now must carry a
// monotonic reading (time.Now does) and be from the same process as Weight's.
func (t *Tracker) Observe(dataCentres map[string]*config.DataCentre, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string]state, len(dataCentres))
	first := len(t.states) == 0
	for name, d := range dataCentres {
		next[name] = t.step(name, d.State == config.DataCentreIn, first, now)
	}
	t.states = next
}

// step gives a data centre's next state. One that appears later than the others
// is new, hence empty, and ramps as one that returns.
func (t *Tracker) step(name string, in, first bool, now time.Time) state {
	old, known := t.states[name]
	switch {
	case !in:
		return state{}
	case known && old.in:
		return old
	case first:
		return state{in: true}
	}
	return state{in: true, ramping: true, backAt: now}
}

// Weight returns the share, 0..1, of its usual new work that a data centre may
// get now. Zero is a prohibition: no new work, whatever the load elsewhere.
// Between zero and one it scales the chance to be picked.
func (t *Tracker) Weight(name string, now time.Time) float64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.settings.weight(t.states[name], now)
}

// Admits says whether a data centre is a candidate for one request; draw is
// uniform in [0,1), one for the request and data centre. A picker that chooses by load needs this
// form: scaling a score would still let the empty data centre win every choice.
// The caller must fall back to those of positive weight if none is admitted.
func (t *Tracker) Admits(name string, now time.Time, draw float64) bool {
	return draw < t.Weight(name, now)
}

func (s Settings) weight(st state, now time.Time) float64 {
	if !st.in {
		return 0
	}
	if !st.ramping || s.RampTime <= 0 {
		return 1
	}
	share := float64(now.Sub(st.backAt)) / float64(s.RampTime)
	return min(1, max(s.Floor, share))
}

// Dump is one data centre's part of the state dump.
type Dump struct {
	Name   string  `json:"name"`
	In     bool    `json:"in"`
	Weight float64 `json:"weight"`
	// Back is the time since this VM saw it in again, while it ramps.
	Back time.Duration `json:"back,omitempty"`
}

// Dump explains the weights, by name.
func (t *Tracker) Dump(now time.Time) []Dump {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []Dump
	for _, name := range slices.Sorted(maps.Keys(t.states)) {
		st := t.states[name]
		d := Dump{Name: name, In: st.in, Weight: t.settings.weight(st, now)}
		if d.Weight > 0 && d.Weight < 1 {
			d.Back = now.Sub(st.backAt)
		}
		out = append(out, d)
	}
	return out
}
