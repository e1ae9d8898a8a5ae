package config

import (
	"fmt"
	"maps"
	"slices"
)

func (v *validator) checkRollOut(r *RollOut) {
	checkOneOf(v, "state", r.State, RollOutRunning, RollOutPaused, RollOutRolledBack, RollOutDone)
	v.checkRollOutVersion("from", r.From, r.Model)
	v.checkRollOutVersion("to", r.To, r.Model)
	if r.From == r.To {
		v.addProblem("to", fmt.Sprintf("%q", r.To), "another version than from")
	}
	v.checkSteps(r)
	if !r.active() {
		return
	}
	for name, other := range v.snapshot.RollOuts {
		if name < r.Name && other.active() && other.Model == r.Model {
			v.addProblem("model", fmt.Sprintf("%q", r.Model), "one roll-out under way for a model; "+name+" is")
		}
	}
}

// active reports whether the roll-out still divides new work.
func (r *RollOut) active() bool { return r.State == RollOutRunning || r.State == RollOutPaused }

func (v *validator) checkRollOutVersion(field, name, model string) {
	version := v.snapshot.Versions[name]
	switch {
	case version == nil:
		v.addMissing(field, name, KindVersion)
	case version.Model != model:
		v.addProblem(field, fmt.Sprintf("%q of model %q", name, version.Model), fmt.Sprintf("a version of model %q", model))
	}
}

func (v *validator) checkSteps(r *RollOut) {
	if len(r.Steps) == 0 {
		v.addProblem("steps", "none", "shares in percent, ascending to 100")
		return
	}
	last := 0.0
	for i, step := range r.Steps {
		if !(step > last && step <= 100) {
			v.addProblem(fmt.Sprintf("steps[%d]", i), step, fmt.Sprintf("a share above %v and at most 100", last))
		}
		last = step
	}
	if last != 100 {
		v.addProblem("steps", last, "100 as the last share")
	}
	if r.Step < 0 || r.Step >= len(r.Steps) {
		v.addProblem("step", r.Step, fmt.Sprintf("0 to %d", len(r.Steps)-1))
	}
}

// checkCascades refuses cycles of versions that escalate to each other, in which a request
// would never end.
func (v *validator) checkCascades() {
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
			v.addProblem("cascade", "a circle", "versions that end at one without cascade")
		}
	}
}

// Warnings returns what an operator should know about an accepted configuration. These problems
// are no reason to refuse it, since a withdrawal in an emergency must go through.
func Warnings(s *Snapshot) []Problem {
	v := validator{snapshot: s}
	for _, name := range slices.Sorted(maps.Keys(s.Accounts)) {
		v.kind, v.name = KindAccount, name
		a := s.Accounts[name]
		if len(a.Versions) > 0 && !slices.ContainsFunc(s.List(KindVersion, a.Versions), serving) {
			v.addProblem("versions", "only withdrawn versions", "a serving version that the selector matches")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.RollOuts)) {
		v.kind, v.name = KindRollOut, name
		r := s.RollOuts[name]
		if to := s.Versions[r.To]; r.active() && to != nil && !serving(to) {
			v.addProblem("to", "a withdrawn version", "the roll-out rolled back")
		}
	}
	return v.problems
}

func serving(o Object) bool {
	version, ok := o.(*ModelVersion)
	return ok && version.State == VersionServing
}
