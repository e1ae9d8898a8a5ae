package pin

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Share is a version's part of a roll-out.
type Share struct {
	Version string
	// Weight is relative to the others'; zero takes no session.
	Weight float64
}

// Choose gives the version that a new session takes, and false when none has a
// weight. It depends on its arguments alone, so that VMs at one configuration
// revision agree without a word. It is weighted rendezvous hashing: when a
// weight changes, only as many sessions change their version as the weights ask.
//
// Load pattern: many new sessions while the store is down. Without it each VM
// would choose for itself, and a session would meet another version at each VM.
func Choose(s Session, shares []Share) (string, bool) {
	best, found := "", false
	lead := math.Inf(-1)
	for _, share := range shares {
		if share.Weight <= 0 {
			continue
		}
		score := share.Weight / -math.Log(uniform(s, share.Version))
		if score > lead || score == lead && share.Version < best {
			best, lead, found = share.Version, score, true
		}
	}
	return best, found
}

// uniform hashes a session and a version into (0, 1).
func uniform(s Session, version string) float64 {
	h := xxhash.New()
	for _, part := range []string{s.Account, s.ID, version} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	const bits = 53 // what a float64 holds exactly
	return (float64(h.Sum64()>>(64-bits)) + 0.5) / (1 << bits)
}
