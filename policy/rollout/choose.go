package rollout

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"goldcrestfork/config"
)

// Arm is a side of the comparison.
type Arm int

// The arms.
const (
	// ArmNone: the request isn't part of the comparison.
	ArmNone Arm = iota
	// ArmFrom is the old version.
	ArmFrom
	// ArmTo is the new version.
	ArmTo
)

// Choice is the version for a new session or request.
type Choice struct {
	// Version is the model version's name.
	Version string
	// Arm is the side the outcome counts for.
	Arm Arm
	// Reason tells why this version.
	Reason string
}

// The reasons of a choice.
const (
	ReasonShare  = "share of the roll-out"
	ReasonUsable = "the other version is withdrawn or not allowed"
)

// Of returns the model's roll-out, or nil. Where an operator left several, one
// that is under way goes before a finished one, then the higher revision, then
// the name, so that all VMs at one revision agree.
func Of(s *config.Snapshot, model string) *config.RollOut {
	var best *config.RollOut
	for _, name := range slices.Sorted(maps.Keys(s.RollOuts)) {
		r := s.RollOuts[name]
		if r.Model == model && (best == nil || before(r, best)) {
			best = r
		}
	}
	return best
}

func before(a, b *config.RollOut) bool {
	if UnderWay(a) != UnderWay(b) {
		return UnderWay(a)
	}
	return a.Revision > b.Revision
}

// UnderWay says that the roll-out may still change its share.
func UnderWay(r *config.RollOut) bool {
	return r.State == config.RollOutRunning || r.State == config.RollOutPaused
}

// HoldBack is the share of new work that the old version keeps until the roll-out
// is done, so that the last step too has something to compare with. Without it
// a pool that dies in the last step looks like a bad version. 5%: as the new
// version's share in a usual first step.
const HoldBack = 0.05

// Share is the share of new work that the new version gets, 0..1.
func Share(r *config.RollOut) float64 {
	if UnderWay(r) {
		return min(r.Share(), 1-HoldBack)
	}
	return r.Share()
}

// Choose returns the version for a new session (key is the session's id) or a
// request without one (key is the request's). usable says whether a version
// serves and the account allows it. False means that neither version is usable.
//
// A request that only one version may run is left out of the comparison: its
// account or its moment differs from the others', which would bias the test.
func Choose(r *config.RollOut, key string, usable func(version string) bool) (Choice, bool) {
	from, to := usable(r.From), usable(r.To)
	switch {
	case from && to && Point(r, key) < Share(r):
		return Choice{Version: r.To, Arm: ArmTo, Reason: ReasonShare}, true
	case from && to:
		return Choice{Version: r.From, Arm: ArmFrom, Reason: ReasonShare}, true
	case from:
		return Choice{Version: r.From, Reason: ReasonUsable}, true
	case to && r.State != config.RollOutRolledBack:
		return Choice{Version: r.To, Reason: ReasonUsable}, true
	}
	return Choice{}, false
}

// pointBits is the precision of Point: what a float64 holds exactly.
const pointBits = 53

// Point places a key in [0,1) for this roll-out. It depends on the versions but
// not on the step, so that a growing share only adds keys; and it differs from
// one new version to the next, so that the same sessions aren't always the first.
func Point(r *config.RollOut, key string) float64 {
	var h xxhash.Digest
	h.Reset()
	for _, part := range [...]string{r.Model, "\x00", r.To, "\x00", key} {
		_, _ = h.WriteString(part) // never fails
	}
	return float64(h.Sum64()>>(64-pointBits)) / (1 << pointBits)
}
