package rollout

// Worse compares two versions by their bad events so far and returns the log evidence
// that the new one is worse (see evidence.go); share is the part of new work that it
// gets. It depends on totals alone, so that it may be asked at any moment.
func Worse(from, to Tally, share float64) float64 {
	return max(
		evidence(from.events(SignalErrors), to.events(SignalErrors), share),
		evidence(from.events(SignalSlow), to.events(SignalSlow), share),
	)
}
