package rollout

import (
	"sync"

	"goldcrestfork/config"
)

// ReasonBraked: the new version was found bad, and the configuration can't say so yet.
const ReasonBraked = "the new version is braked"

// Brakes keeps new versions that were found bad from requests without a session
// while the platform's store is down and the roll-out can't be rolled back.
// Without it a version that turns bad at the start of an outage keeps its share
// until the outage ends.
//
// A brake is for one epoch: whatever an operator or the controller writes ends
// it. Sessions are left alone: with the store down their version is the hash of
// their id, on every VM alike, and a VM that hasn't heard of the brake would
// move them back. Safe for concurrent use; the zero value has no brakes.
type Brakes struct {
	mu     sync.RWMutex
	epochs map[string]int64
}

// Set brakes a roll-out's new version in one epoch; an older epoch changes nothing.
func (b *Brakes) Set(rollOut string, epoch int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.epochs == nil {
		b.epochs = make(map[string]int64)
	}
	b.epochs[rollOut] = max(b.epochs[rollOut], epoch)
}

// On says whether the roll-out's new version is braked.
func (b *Brakes) On(r *config.RollOut) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	epoch, ok := b.epochs[r.Name]
	return ok && epoch == r.Revision && UnderWay(r)
}

// Forget drops the brakes of roll-outs that are not in s.
func (b *Brakes) Forget(s *config.Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.epochs {
		if _, ok := s.RollOuts[name]; !ok {
			delete(b.epochs, name)
		}
	}
}

// Choose is the function Choose for a request without a session: a braked
// version is taken only where the old one isn't usable.
func (b *Brakes) Choose(r *config.RollOut, key string, usable func(version string) bool) (Choice, bool) {
	if b.On(r) && usable(r.From) {
		return Choice{Version: r.From, Reason: ReasonBraked}, true
	}
	return Choose(r, key, usable)
}
