package config

import (
	"fmt"
	"maps"
	"slices"
)

func (v *validator) rollOut(r *RollOut) {
	oneOf(v, "state", r.State, RollOutRunning, RollOutPaused, RollOutRolledBack, RollOutDone)
	v.rollOutVersion("from", r.From, r.Model)
	v.rollOutVersion("to", r.To, r.Model)
	if r.From == r.To {
		v.refuse("to", fmt.Sprintf("%q", r.To), "another version than from")
	}
	v.steps(r)
	if !r.live() {
		return
	}
	for name, other := range v.snapshot.RollOuts {
		if name < r.Name && other.live() && other.Model == r.Model {
			v.refuse("model", fmt.Sprintf("%q", r.Model), "one roll-out under way for a model; "+name+" is")
		}
	}
}

// live reports that the roll-out still divides new work.
func (r *RollOut) live() bool { return r.State == RollOutRunning || r.State == RollOutPaused }

func (v *validator) rollOutVersion(field, name, model string) {
	version := v.snapshot.Versions[name]
	switch {
	case version == nil:
		v.missing(field, name, KindVersion)
	case version.Model != model:
		v.refuse(field, fmt.Sprintf("%q of model %q", name, version.Model), fmt.Sprintf("a version of model %q", model))
	}
}

func (v *validator) steps(r *RollOut) {
	if len(r.Steps) == 0 {
		v.refuse("steps", "none", "shares in percent, ascending to 100")
		return
	}
	last := 0.0
	for i, step := range r.Steps {
		if !(step > last && step <= 100) {
			v.refuse(fmt.Sprintf("steps[%d]", i), step, fmt.Sprintf("a share above %v and at most 100", last))
		}
		last = step
	}
	if last != 100 {
		v.refuse("steps", last, "100 as the last share")
	}
	if r.Step < 0 || r.Step >= len(r.Steps) {
		v.refuse("step", r.Step, fmt.Sprintf("0 to %d", len(r.Steps)-1))
	}
}

// cascades refuses a circle of versions that escalate to each other: a request would never end.
func (v *validator) cascades() {
	for _, name := range slices.Sorted(maps.Keys(v.snapshot.Versions)) {
		next := v.snapshot.Versions[name].Cascade
		for range len(v.snapshot.Versions) {
			if next == "" || next == name || v.snapshot.Versions[next] == nil {
				break
			}
			next = v.snapshot.Versions[next].Cascade
		}
		if next == name {
			v.kind, v.name = KindVersion, name
			v.refuse("cascade", "a circle", "versions that end at one without cascade")
		}
	}
}

// Warnings lists what an operator should know about an accepted configuration
// although it isn't refused, since a withdrawal in an emergency must go through.
func Warnings(s *Snapshot) []Problem {
	v := validator{snapshot: s}
	for _, name := range slices.Sorted(maps.Keys(s.Accounts)) {
		v.kind, v.name = KindAccount, name
		a := s.Accounts[name]
		if len(a.Versions) > 0 && !slices.ContainsFunc(s.List(KindVersion, a.Versions), serving) {
			v.refuse("versions", "only withdrawn versions", "a serving version that the selector matches")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.RollOuts)) {
		v.kind, v.name = KindRollOut, name
		r := s.RollOuts[name]
		if to := s.Versions[r.To]; r.live() && to != nil && !serving(to) {
			v.refuse("to", "a withdrawn version", "the roll-out rolled back")
		}
	}
	return v.problems
}

func serving(o Object) bool {
	version, ok := o.(*ModelVersion)
	return ok && version.State == VersionServing
}
