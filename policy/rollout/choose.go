package rollout

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"goldcrestfork/config"
)

// Arm is the side of the comparison that a request belongs to.
type Arm int

// The values of Arm.
const (
	// ArmNone marks a request that is not part of the comparison.
	ArmNone Arm = iota
	// ArmFrom is the old version.
	ArmFrom
	// ArmTo is the new version.
	ArmTo
)

// Choice is the version that a new session or request gets.
type Choice struct {
	// Version is the model version's name.
	Version string
	// Arm is the side of the comparison that counts the outcome.
	Arm Arm
	// Reason says why the version was chosen.
	Reason string
}

// The values of Choice.Reason.
const (
	ReasonShare  = "share of the roll-out"
	ReasonUsable = "the other version is withdrawn or not allowed"
)

// ForModel returns the model's roll-out, or nil if it has none. If several roll-outs name
// the model, one that is under way takes precedence over a finished one, then the
// higher revision, then the first name in alphabetical order, so that all VMs at
// one revision agree.
func ForModel(s *config.Snapshot, model string) *config.RollOut {
	var best *config.RollOut
	for _, name := range slices.Sorted(maps.Keys(s.RollOuts)) {
		r := s.RollOuts[name]
		if r.Model == model && (best == nil || takesPrecedence(r, best)) {
			best = r
		}
	}
	return best
}

// takesPrecedence reports whether roll-out a is preferred to roll-out b.
func takesPrecedence(a, b *config.RollOut) bool {
	if UnderWay(a) != UnderWay(b) {
		return UnderWay(a)
	}
	return a.Revision > b.Revision
}

// UnderWay reports whether the roll-out is running or paused, so that its share may
// still change.
func UnderWay(r *config.RollOut) bool {
	return r.State == config.RollOutRunning || r.State == config.RollOutPaused
}

// OldVersionMinShare is the share of new work that the old version keeps until the
// roll-out is done, so that the last step also has a baseline to compare with.
// Without it, a pool that goes down in the last step would look like a bad version.
// The value equals the usual share of the new version in a first step.
const OldVersionMinShare = 0.05

// Share returns the share of new work that the new version gets, from 0 to 1.
func Share(r *config.RollOut) float64 {
	if UnderWay(r) {
		return min(r.Share(), 1-OldVersionMinShare)
	}
	return r.Share()
}

// Choose returns the version for a new session, with the session's id as key, or
// for a request without a session, with the request's id as key. The function
// usable reports whether a version serves and the account allows it. Choose returns
// false if neither version is usable.
//
// A request that only one version may run is excluded from the comparison: its
// account or its time differs from those of the other requests, which would bias
// the test.
func Choose(r *config.RollOut, key string, usable func(version string) bool) (Choice, bool) {
	from, to := usable(r.From), usable(r.To)
	switch {
	case from && to && HashPosition(r, key) < Share(r):
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

// pointBits is the precision of HashPosition in bits, the largest that a float64
// represents exactly.
const pointBits = 53

// HashPosition maps a key to a position in [0,1) for this roll-out. The position
// depends on the model and the new version but not on the step, so a growing share
// only adds keys. It differs from one new version to the next, so that the first
// step does not always select the same sessions.
func HashPosition(r *config.RollOut, key string) float64 {
	var h xxhash.Digest
	h.Reset()
	for _, part := range [...]string{r.Model, "\x00", r.To, "\x00", key} {
		_, _ = h.WriteString(part) // Digest.WriteString always returns a nil error
	}
	return float64(h.Sum64()>>(64-pointBits)) / (1 << pointBits)
}
