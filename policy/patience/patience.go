package patience

import (
	"math"
	"sync"
	"time"
)

const (
	// estimateTimes is how many times longer than estimated an answer may take: estimates
	// from the work under way are within twice the true time for nine in ten.
	estimateTimes = 4
	// aimShare is the least patience as a share of the time in which the answer is wanted;
	// what is left then is enough for another endpoint.
	aimShare = 0.4
	// leftShare is the most that a request waits, as a share of the time it has left.
	leftShare = 0.5
)

// Attempt is what patience depends on.
type Attempt struct {
	// Within is a time that nearly all heads come within; 0 for not known.
	Within time.Duration
	// Aim is when the answer is wanted, Left the time that the caller still has.
	Aim, Left time.Duration
	// AttemptsLeft are those that may follow this one.
	AttemptsLeft int
}

// WithinOf is that time for an estimate from the work under way; 0 for none.
func WithinOf(estimate time.Duration) time.Duration { return estimateTimes * estimate }

// For returns how long to wait for the head; ok is false where the attempt is to be waited
// out: there is none after it, or no time for one, or nothing to judge the wait by.
func For(a Attempt) (wait time.Duration, ok bool) {
	if a.AttemptsLeft < 1 || a.Aim <= 0 || a.Within <= 0 {
		return 0, false
	}
	wait = max(a.Within, time.Duration(aimShare*float64(a.Aim)))
	return wait, wait <= time.Duration(leftShare*float64(a.Left))
}

// Times learns how long the answers of services take that tell nothing of the work before
// them. It is safe for concurrent use.
type Times struct {
	mu       sync.Mutex
	services map[string]*meter
}

// NewTimes returns times of which none is known.
func NewTimes() *Times { return &Times{services: make(map[string]*meter)} }

// Learn takes the time of one answer. Waits for answers that didn't come aren't learnt: they
// would be waited for longer and longer.
func (t *Times) Learn(service string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.services[service]
	if m == nil {
		m = &meter{}
		t.services[service] = m
	}
	m.learn(took.Seconds())
}

// Within is a time that nearly all answers of a service come within; 0 for not known.
func (t *Times) Within(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.services[service]
	if m == nil || m.n < leastSeen {
		return 0
	}
	return time.Duration((m.mean + deviations*m.deviation) * float64(time.Second))
}

// meter is a mean and a mean deviation, as a TCP sender's of its round trips (RFC 6298).
type meter struct {
	n               int
	mean, deviation float64 // seconds
}

const (
	// leastSeen is the number of answers that tell a time.
	leastSeen = 8
	// meanGain and deviationGain are the weights of one answer.
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
	// deviations are added to the mean.
	deviations = 4
)

func (m *meter) learn(took float64) {
	if m.n++; m.n == 1 {
		m.mean, m.deviation = took, took/2
		return
	}
	m.deviation += deviationGain * (math.Abs(took-m.mean) - m.deviation)
	m.mean += meanGain * (took - m.mean)
}
