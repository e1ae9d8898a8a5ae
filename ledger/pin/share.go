package pin

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// VersionWeight is a version's weight in a roll-out.
type VersionWeight struct {
	Version string
	// Weight is relative to the weights of the other versions; a version with zero gets no new
	// session.
	Weight float64
}

// ChooseVersion returns the version for a new session, and false if no version has a weight. The
// result depends only on the arguments, so that VMs with the same configuration revision agree
// without communication. The method is weighted rendezvous hashing: after a change of weights
// only as many sessions change their version as the weights require.
//
// Load pattern: many new sessions while the store is down. Without it each VM would choose by
// itself, and a session would get another version on each VM.
func ChooseVersion(s Session, weights []VersionWeight) (string, bool) {
	best, found := "", false
	bestScore := math.Inf(-1)
	for _, v := range weights {
		if v.Weight <= 0 {
			continue
		}
		score := v.Weight / -math.Log(uniform(s, v.Version))
		if score > bestScore || score == bestScore && v.Version < best {
			best, bestScore, found = v.Version, score, true
		}
	}
	return best, found
}

// uniform returns a hash of a session and a version in (0, 1).
func uniform(s Session, version string) float64 {
	h := xxhash.New()
	for _, part := range []string{s.Account, s.ID, version} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	const bits = 53 // the precision of a float64
	return (float64(h.Sum64()>>(64-bits)) + 0.5) / (1 << bits)
}
