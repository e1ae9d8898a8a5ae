package room

// lastPriority is the least urgent priority that endpoints know.
const lastPriority = 9

// Priority returns the priority of a request towards an endpoint, 0 for the first, from the rank that
// also decides its admission. again says that the request was sent to an endpoint before: it has waited
// already and goes one step before its rank.
func Priority(rank int, again bool) int {
	p := min(max(rank, 0), lastPriority)
	if again {
		p = max(p-1, 0)
	}
	return p
}
