package rollout

import (
	"sync"

	"goldcrestfork/config"
)

// ReasonBraked is the reason for the old version while the new one is known to be
// bad and the configuration can't be changed yet.
const ReasonBraked = "the new version is braked"

// Brakes holds local blocks, called brakes, of new versions that were found bad
// while the platform's store is down and the roll-out can't be rolled back.
// Requests without a session then avoid these versions. Without Brakes, a version
// that degrades at the start of an outage would keep its share until the outage
// ends.
//
// A brake applies to one epoch, so any change of the roll-out by an operator or the
// controller ends it. Sessions are not affected: while the store is down every VM
// derives a session's version from the hash of its id, and a VM that has not yet
// received the brake would move the session back.
//
// Brakes is safe for concurrent use. The zero value has no brakes.
type Brakes struct {
	mu     sync.RWMutex
	epochs map[string]int64
}

// Set brakes a roll-out's new version in one epoch. An epoch older than the
// recorded one changes nothing.
func (b *Brakes) Set(rollOut string, epoch int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.epochs == nil {
		b.epochs = make(map[string]int64)
	}
	b.epochs[rollOut] = max(b.epochs[rollOut], epoch)
}

// IsBraked reports whether the roll-out's new version is braked.
func (b *Brakes) IsBraked(r *config.RollOut) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	epoch, ok := b.epochs[r.Name]
	return ok && epoch == r.Revision && UnderWay(r)
}

// Prune removes the brakes of roll-outs that are not in s.
func (b *Brakes) Prune(s *config.Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.epochs {
		if _, ok := s.RollOuts[name]; !ok {
			delete(b.epochs, name)
		}
	}
}

// Choose works like the function Choose for a request without a session, but
// returns a braked version only if the old version isn't usable.
func (b *Brakes) Choose(r *config.RollOut, key string, usable func(version string) bool) (Choice, bool) {
	if b.IsBraked(r) && usable(r.From) {
		return Choice{Version: r.From, Reason: ReasonBraked}, true
	}
	return Choose(r, key, usable)
}
