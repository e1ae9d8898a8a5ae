package trial

import (
	"math"

	"goldcrestfork/policy/rollout"
)

const (
	// toleratedErrors is how far the new version's rate of errors may exceed the old one's; bad
	// versions fail or slow a third or more. Evidence alone is not enough: while a general fault
	// fails 15% of all requests, 40 answers of a version that fails 40% give none.
	toleratedErrors = 0.05
	// toleratedBroken is the same for connections that broke. Faults of networks and machines reach
	// the endpoints of one version more than those of the other.
	toleratedBroken = 0.1
	// clearlyBroken is the difference of the rates of errors and broken connections together from
	// which evidence takes the new version back at once.
	clearlyBroken = 0.1
	// toleratedSlow is the same for answers that are slow. A few slow endpoints among the new
	// version's make some of a good version's answers slow.
	toleratedSlow = 0.1
	// clearlySlower and clearlyVerySlower are the differences of rates of slow and very slow answers
	// from which evidence takes the new version back at once. Its endpoints have fewer requests than
	// the old version's, so that no rush of callers makes such a difference.
	clearlySlower     = 0.2
	clearlyVerySlower = 0.15
	// turnedErrors, turnedBroken and turnedSlow are the differences from the trial's rates of the old
	// version from which a version that gets all requests has turned bad. The old version has no
	// requests then to tell a fault of machines or a rush of callers by.
	turnedErrors = 0.2
	turnedBroken = 0.4
	turnedSlow   = 0.6
	// minTurned is the number of such answers that it takes, among minMoved answers at least. The
	// latest movingWindow to twice as many answers are compared, so that a version that was good for
	// long is found as soon as one that never was.
	minTurned    = 10
	minMoved     = 40
	movingWindow = 60
	// minUsualRate is the lowest rate that such answers are compared with.
	minUsualRate = 0.02
)

// takeBackEvidence is the log evidence at which the new version is rolled back at once: one
// false alarm in 50 trials.
var takeBackEvidence = math.Log(50)

// In the latest answers, which are compared again and again, suspectEvidence is the log evidence from which the
// new version isn't accepted, and turnedEvidence that at which it is rolled back.
var (
	suspectEvidence = math.Log(20)
	turnedEvidence  = math.Log(1000)
)

// signal is a kind of answers by which the versions are compared.
type signal struct {
	// count returns the number of such answers, and the number of answers that may be of the kind.
	count func(Tally) (n, of uint64)
	// trouble returns the same for answers of the old version that show slow endpoints of both, whose
	// rate is added to the tolerated difference; nil for none.
	trouble func(Tally) (n, of uint64)
	// tolerated is the difference of the rates up to which the new version is accepted, clear the
	// one from which evidence takes it back at once, and turned the same while it gets all requests.
	tolerated, clear, turned float64
}

func verySlowPaces(t Tally) (n, of uint64) { return t.Paces.VerySlow, t.Paces.Compared }

var signals = []signal{
	{
		count:     func(t Tally) (n, of uint64) { return t.Errors, t.Requests },
		tolerated: toleratedBroken, clear: clearlyBroken, turned: turnedBroken,
	},
	{
		count:     func(t Tally) (n, of uint64) { return t.Errors - t.Broken, t.Requests },
		tolerated: toleratedErrors, turned: turnedErrors,
	},
	{
		count:   func(t Tally) (n, of uint64) { return t.Heads.VerySlow, t.Heads.Compared },
		trouble: verySlowPaces, tolerated: toleratedSlow, clear: clearlyVerySlower, turned: turnedSlow,
	},
	{
		count:   func(t Tally) (n, of uint64) { return t.Heads.Slow, t.Heads.Compared },
		trouble: verySlowPaces, tolerated: toleratedSlow, clear: clearlySlower, turned: never,
	},
	{
		count:   verySlowPaces,
		trouble: verySlowPaces, tolerated: toleratedSlow, clear: clearlyVerySlower, turned: turnedSlow,
	},
	{
		count:   func(t Tally) (n, of uint64) { return t.Paces.Slow, t.Paces.Compared },
		trouble: verySlowPaces, tolerated: toleratedSlow, clear: clearlySlower, turned: never,
	},
}

// never is a difference that rates seldom have. A rush of callers makes most answers slow, though few
// very slow, so that slow ones say nothing while the new version gets all requests.
const never = 1

// rateEvidence returns the log likelihood ratio of the observed rate to a usual one that was observed
// at another time. Package rollout's evidence needs answers of both versions at the same time.
func rateEvidence(n, of uint64, usual float64) float64 {
	r := rate(n, of)
	if r <= usual || usual >= 1 {
		return 0
	}
	evidence := r * math.Log(r/usual)
	if r < 1 {
		evidence += (1 - r) * math.Log((1-r)/(1-usual))
	}
	return evidence * float64(of)
}

// evidence returns the log evidence of the strongest signal that the new version is worse.
func evidence(from, to Tally, share float64) (most float64) {
	for _, s := range signals {
		old, oldOf := s.count(from)
		n, of := s.count(to)
		if rate(n, of) >= rate(old, oldOf)+s.clear {
			most = max(most, rollout.LogEvidence(rollout.Tally{Requests: oldOf, Errors: old}, rollout.Tally{Requests: of, Errors: n}, share))
		}
	}
	return most
}

// rate returns a share; 0 without requests.
func rate(n, of uint64) float64 {
	if of == 0 {
		return 0
	}
	return min(float64(n)/float64(of), 1)
}

// excessBad returns the new version's bad answers beyond those that the old version's rate
// explains. An old version with few answers explains none.
func excessBad(from, to Tally) float64 {
	usual := 0.0
	if from.Requests >= minAnswers {
		usual = rate(from.bad(), from.Requests)
	}
	return float64(to.bad()) - usual*float64(to.Requests)
}

// acceptable reports whether the new version's rates of errors and of slow answers exceed the old
// one's by no more than what is tolerated or two standard errors of a rate from so few answers.
func acceptable(from, to Tally) bool {
	for _, s := range signals {
		old := rate(s.count(from))
		n, of := s.count(to)
		tolerated := s.tolerated
		if s.trouble != nil {
			tolerated += rate(s.trouble(from))
		}
		if exceeds(old, n, of, tolerated, 2) {
			return false
		}
	}
	return true
}

// exceeds reports whether a rate of n in of answers exceeds the old one by more than is tolerated, and
// by more than so many standard errors.
func exceeds(old float64, n, of uint64, tolerated, standardErrors float64) bool {
	chance := standardErrors * math.Sqrt(old*(1-old)/float64(max(of, 1)))
	return rate(n, of) > old+max(tolerated, chance)
}
