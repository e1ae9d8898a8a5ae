package datacentre

import (
	"maps"
	"slices"
	"sync"
	"time"

	"goldcrestfork/config"
)

// Settings configures a Tracker.
type Settings struct {
	// RampTime is the time from a return to full weight. The default is 60 s, within
	// which prefix caches refill (docs/DECISIONS-versions.md).
	RampTime time.Duration
	// Floor is the weight at the start of a return. It is above zero so that caches begin
	// to fill and a data centre that is the only one gets work. The default is 0.05.
	Floor float64
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{RampTime: time.Minute, Floor: 0.05}
}

// state is the state of one data centre as seen by this VM.
type state struct {
	in bool
	// ramping means that the data centre returned at returnedAt.
	ramping    bool
	returnedAt time.Time
}

// Tracker derives weights from the states of data centres. It is safe for concurrent use.
type Tracker struct {
	settings Settings

	mu     sync.RWMutex
	states map[string]state
}

// NewTracker returns a Tracker without data centres. A data centre has weight zero until
// it is observed.
func NewTracker(s Settings) *Tracker {
	return &Tracker{settings: s, states: make(map[string]state)}
}

// Observe applies the data centre states of the configuration in force. now must have a
// monotonic reading (as from time.Now) and come from the same process as the times passed
// to Weight.
func (t *Tracker) Observe(dataCentres map[string]*config.DataCentre, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string]state, len(dataCentres))
	first := len(t.states) == 0
	for name, d := range dataCentres {
		next[name] = t.nextState(name, d.State == config.DataCentreIn, first, now)
	}
	t.states = next
}

// nextState returns the next state of a data centre. One that appears after the first
// observation is new and has empty caches, so it ramps like one that returns.
func (t *Tracker) nextState(name string, in, first bool, now time.Time) state {
	old, known := t.states[name]
	switch {
	case !in:
		return state{}
	case known && old.in:
		return old
	case first:
		return state{in: true}
	}
	return state{in: true, ramping: true, returnedAt: now}
}

// Weight returns the share, 0..1, of its usual new work that a data centre may get. Zero
// forbids new work, whatever the load elsewhere. A weight between zero and one scales the
// probability that the data centre is picked.
func (t *Tracker) Weight(name string, now time.Time) float64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.settings.weight(t.states[name], now)
}

// Admits reports whether a data centre is a candidate for one request. draw is a random
// number, uniform in [0,1), drawn for each request and data centre. A picker that chooses
// by load needs this form, since an empty data centre would win every choice even with a
// scaled score. If no data centre is admitted, the caller must use those with a positive
// weight.
func (t *Tracker) Admits(name string, now time.Time, draw float64) bool {
	return draw < t.Weight(name, now)
}

// weight returns the weight of a data centre in the given state.
func (s Settings) weight(st state, now time.Time) float64 {
	if !st.in {
		return 0
	}
	if !st.ramping || s.RampTime <= 0 {
		return 1
	}
	share := float64(now.Sub(st.returnedAt)) / float64(s.RampTime)
	return min(1, max(s.Floor, share))
}

// Dump is the entry of one data centre in the state dump.
type Dump struct {
	Name   string  `json:"name"`
	In     bool    `json:"in"`
	Weight float64 `json:"weight"`
	// Back is the time since this VM observed the return, while the weight ramps up.
	Back time.Duration `json:"back,omitempty"`
}

// Dump returns the weights of all data centres, sorted by name.
func (t *Tracker) Dump(now time.Time) []Dump {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []Dump
	for _, name := range slices.Sorted(maps.Keys(t.states)) {
		st := t.states[name]
		d := Dump{Name: name, In: st.in, Weight: t.settings.weight(st, now)}
		if d.Weight > 0 && d.Weight < 1 {
			d.Back = now.Sub(st.returnedAt)
		}
		out = append(out, d)
	}
	return out
}
