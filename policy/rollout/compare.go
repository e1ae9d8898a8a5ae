package rollout

// LogEvidence returns the log evidence that the new version is worse than the old one in
// errors or in slow answers, whichever is larger (see evidence.go). The share is
// the part of new work that the new version gets. The result depends only on
// totals, so it may be computed at any time.
func LogEvidence(from, to Tally, share float64) float64 {
	return max(
		logEvidence(from.events(SignalErrors), to.events(SignalErrors), share),
		logEvidence(from.events(SignalSlow), to.events(SignalSlow), share),
	)
}
