package ledger

import (
	"sync"
	"time"
)

// Waits after the platform refused a batch. Grounds: 400 VMs that probe every
// two seconds cost a platform that comes back 200 calls a second, a tenth of its reads.
const (
	firstPause = 250 * time.Millisecond
	lastPause  = 2 * time.Second
)

// gate refuses callers at once while the platform is known to be down. Without
// it each request of an outage waits for its own tries, and all of them
// together meet the platform when it returns.
type gate struct {
	mu    sync.Mutex
	until time.Time // monotonic
	pause time.Duration
}

// wait gives how long callers are refused from now; zero lets them pass.
func (g *gate) wait() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pause == 0 {
		return 0
	}
	return max(0, time.Until(g.until))
}

// tries gives how often a batch is tried: once while the platform is suspect.
func (g *gate) tries(usual int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pause > 0 {
		return 1
	}
	return usual
}

// failed closes the gate, for longer each time.
func (g *gate) failed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pause = min(max(2*g.pause, firstPause), lastPause)
	g.until = time.Now().Add(g.pause)
}

// opened ends the outage.
func (g *gate) opened() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pause = 0
}
