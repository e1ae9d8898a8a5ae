package patience

import (
	"math"
	"sync"
	"time"
)

const (
	// estimateFactor is how many times the estimated time an answer may take. Nine in ten
	// estimates from the work under way are within a factor of two of the true time.
	estimateFactor = 4
	// minTargetShare is the shortest wait as a share of the target latency; the rest is enough for
	// another endpoint.
	minTargetShare = 0.4
	// maxLeftShare is the longest wait as a share of the caller's remaining time.
	maxLeftShare = 0.5
)

// Attempt holds the inputs of the decision for one attempt.
type Attempt struct {
	// Within is a time within which nearly all heads arrive; 0 if unknown.
	Within time.Duration
	// TargetLatency is the target latency of the answer, Remaining the caller's remaining time.
	TargetLatency, Remaining time.Duration
	// AttemptsLeft is the number of attempts that may follow this one.
	AttemptsLeft int
}

// WithinFromEstimate derives Attempt.Within from an estimate based on the work under way; 0 if
// there is none.
func WithinFromEstimate(estimate time.Duration) time.Duration { return estimateFactor * estimate }

// Timeout returns how long to wait for the head. ok is false if the attempt runs until the
// caller's deadline: no attempt or no time is left for another one, or the expected time or the
// target latency is unknown.
func Timeout(a Attempt) (wait time.Duration, ok bool) {
	if a.AttemptsLeft < 1 || a.TargetLatency <= 0 || a.Within <= 0 {
		return 0, false
	}
	wait = max(a.Within, time.Duration(minTargetShare*float64(a.TargetLatency)))
	return wait, wait <= time.Duration(maxLeftShare*float64(a.Remaining))
}

// AnswerTimes estimates the answer times of services whose requests carry no estimate of their
// work. It is safe for concurrent use.
type AnswerTimes struct {
	mu       sync.Mutex
	services map[string]*latencyEstimator
}

// NewAnswerTimes returns an estimator without samples.
func NewAnswerTimes() *AnswerTimes { return &AnswerTimes{services: make(map[string]*latencyEstimator)} }

// Add adds the time of one answer. Waits without an answer must not be added: they would
// lengthen the estimate each time.
func (t *AnswerTimes) Add(service string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.services[service]
	if m == nil {
		m = &latencyEstimator{}
		t.services[service] = m
	}
	m.update(took.Seconds())
}

// Within returns a time within which nearly all answers of a service arrive; 0 if unknown.
func (t *AnswerTimes) Within(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.services[service]
	if m == nil || m.count < minSamples {
		return 0
	}
	return time.Duration((m.mean + deviationFactor*m.deviation) * float64(time.Second))
}

// latencyEstimator keeps a smoothed mean and mean deviation, like TCP's round-trip estimator
// (RFC 6298).
type latencyEstimator struct {
	count           int
	mean, deviation float64 // seconds
}

const (
	// minSamples is the number of answers needed for an estimate.
	minSamples = 8
	// meanGain and deviationGain are the weights of one answer in the moving averages.
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
	// deviationFactor is the number of mean deviations added to the mean.
	deviationFactor = 4
)

func (m *latencyEstimator) update(took float64) {
	if m.count++; m.count == 1 {
		m.mean, m.deviation = took, took/2
		return
	}
	m.deviation += deviationGain * (math.Abs(took-m.mean) - m.deviation)
	m.mean += meanGain * (took - m.mean)
}
