package admission

// refusingShare is the part of the demand below which the admitted part counts as refusing callers.
const refusingShare = 0.97

// Refusing reports whether callers are refused for want of room.
func (g *Gate) Refusing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.active && g.state.refusing
}
