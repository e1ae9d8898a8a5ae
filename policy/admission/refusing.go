package admission

import "time"

// refusingMemory is how long after the end of an overload the service still counts as refusing. Larger
// models would take the slots that the end of the overload rests on.
const refusingMemory = 2 * time.Second

// Refusing reports whether callers are refused for want of room, or were a moment ago.
func (g *Gate) Refusing(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.active || !g.state.lastActive.IsZero() && now.Sub(g.state.lastActive) < refusingMemory
}
