package rollout

import "math"

// This file holds the sequential test.
//
// The test treats each bad event (an error, a slow answer or a poor rating) as a
// draw between the old and the new version. If the new version is at most
// allowedRatio times as bad as the old one, the next bad event is the new version's
// with a probability of at most q0 = share·allowed / (share·allowed + 1 − share),
// whatever the current rate of bad events is. A pool that goes down or a slow store
// raises the rates of both versions and is therefore no evidence.
//
// The evidence is the likelihood ratio of worse versions to that bound, averaged
// over several ratios. Under the bound it is a non-negative supermartingale that
// starts at one, so by Ville's inequality the probability that it ever exceeds
// 1/alpha is at most alpha, however often it is checked (mixture SPRT). The evidence
// depends only on totals.
//
// The test ignores the number of successes. It is therefore slow to distinguish
// versions that both fail in more than about a third of their requests.

// allowedRatio is the highest accepted ratio of the new version's rate of bad
// events to the old version's. At 1.0 the new version may not be worse at all.
// Settings.MinDifference excludes differences that are too small to matter; a
// higher ratio here would delay the verdict on a bad version
// (docs/design/roll-out.md).
const allowedRatio = 1.0

// alternativeRatios are the evenly weighted alternatives of the test. They range
// from a difference that takes thousands of requests to detect to a version that
// fails nearly every request.
var alternativeRatios = [...]float64{1.6, 2.5, 5, 12, 40, 200}

// eventCount holds the bad and the observed events of one version.
type eventCount struct{ bad, seen uint64 }

func (e eventCount) rate() float64 {
	if e.seen == 0 {
		return 0
	}
	return float64(e.bad) / float64(e.seen)
}

// logEvidence returns the logarithm of the evidence that the new version is worse
// than allowed; share is the share of new work that it gets.
func logEvidence(from, to eventCount, share float64) float64 {
	share = conservativeShare(from, to, share)
	if share <= 0 || share >= 1 {
		return 0 // one version has no work, so there is no comparison
	}
	logs := make([]float64, 0, len(alternativeRatios))
	for _, ratio := range alternativeRatios {
		logs = append(logs, logLikelihoodRatio(from.bad, to.bad, share, ratio, allowedRatio))
	}
	return logMeanExp(logs)
}

// conservativeShare returns the larger of the configured and the observed share of
// the new version. Sessions send different numbers of requests, and the larger
// share makes the test more conservative.
func conservativeShare(from, to eventCount, share float64) float64 {
	if to.seen == 0 {
		return share
	}
	return max(share, float64(to.seen)/float64(from.seen+to.seen))
}

// logLikelihoodRatio returns the log likelihood ratio of a version that is ratio
// times as bad as the old one to a version that is base times as bad.
func logLikelihoodRatio(from, to uint64, share, ratio, base float64) float64 {
	q1, q0 := newVersionProbability(share, ratio), newVersionProbability(share, base)
	return float64(to)*math.Log(q1/q0) + float64(from)*math.Log((1-q1)/(1-q0))
}

// newVersionProbability returns the probability that a bad event is the new
// version's if its rate is ratio times the old version's.
func newVersionProbability(share, ratio float64) float64 {
	return share * ratio / (share*ratio + 1 - share)
}

// logMeanExp returns the logarithm of the mean of the exponentials, scaled by the
// largest term to prevent overflow.
func logMeanExp(logs []float64) float64 {
	top := math.Inf(-1)
	for _, l := range logs {
		top = max(top, l)
	}
	sum := 0.0
	for _, l := range logs {
		sum += math.Exp(l - top)
	}
	return top + math.Log(sum/float64(len(logs)))
}
