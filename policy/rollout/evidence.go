package rollout

import "math"

// The sequential test.
//
// Each bad event (an error, a slow answer, a poor rating) is a draw: it falls on
// the new version or on the old one. If the new version is at most
// allowedRatio times as bad, then at every moment, whatever the rate of bad
// events is just then, the next one falls on the new version with probability at
// most q0 = share·allowed / (share·allowed + 1 − share). So a pool that dies or a
// slow store, which raise both versions' rates, are no evidence at all.
//
// The evidence is the likelihood ratio of worse versions to that bound, averaged
// over ratios. Under the bound it is a non-negative supermartingale that starts at one, so
// by Ville's inequality it ever exceeds 1/alpha with probability at most alpha,
// however often it is looked at (mixture SPRT). It depends on totals alone.
//
// What it gives up: how often things go right isn't used, so versions that both
// fail in more than about a third of requests are told apart slowly.

// allowedRatio is how much worse the new version's rate of bad events may be: not
// at all. What is too little to matter is left out by Settings.MinDifference; an
// allowance delays the verdict on a bad version (docs/design/roll-out.md).
const allowedRatio = 1.0

// worseRatios are the alternatives, evenly weighted: from what takes thousands of
// requests to see to a version that fails nearly everything.
var worseRatios = [...]float64{1.6, 2.5, 5, 12, 40, 200}

// events counts bad events among observed ones on one side.
type events struct{ bad, seen uint64 }

func (e events) rate() float64 {
	if e.seen == 0 {
		return 0
	}
	return float64(e.bad) / float64(e.seen)
}

// evidence returns the logarithm of the evidence that the new version is worse
// than allowed; share is the share of new work it gets.
func evidence(from, to events, share float64) float64 {
	share = comparedShare(from, to, share)
	if share <= 0 || share >= 1 {
		return 0 // nothing to compare with
	}
	logs := make([]float64, 0, len(worseRatios))
	for _, ratio := range worseRatios {
		logs = append(logs, logRatio(from.bad, to.bad, share, ratio, allowedRatio))
	}
	return logMeanExp(logs)
}

// comparedShare is the configured share, or the observed one where it is larger:
// sessions send unlike numbers of requests, and the larger share is the careful side.
func comparedShare(from, to events, share float64) float64 {
	if to.seen == 0 {
		return share
	}
	return max(share, float64(to.seen)/float64(from.seen+to.seen))
}

// logRatio is the log likelihood ratio of "ratio times as bad" to "base times as bad".
func logRatio(from, to uint64, share, ratio, base float64) float64 {
	q1, q0 := drawShare(share, ratio), drawShare(share, base)
	return float64(to)*math.Log(q1/q0) + float64(from)*math.Log((1-q1)/(1-q0))
}

// drawShare is the probability that a bad event falls on the new version when
// its rate is ratio times the old one's.
func drawShare(share, ratio float64) float64 {
	return share * ratio / (share*ratio + 1 - share)
}

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
