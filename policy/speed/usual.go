package speed

import "math"

const (
	// usualGain is the weight of one answer in a usual time, which spans about fifty answers.
	usualGain = 0.02
	// minAnswers is the number of answers from which a usual time is known.
	minAnswers = 5
	// maxDeviation bounds one answer as a multiple of the usual time.
	maxDeviation = 4.0
)

// Time is the usual time of one kind of answer, learnt from answers at all endpoints of a service.
type Time struct {
	seconds float64
	answers int
}

// Known returns the usual time in seconds; ok is false before it is known.
func (t *Time) Known() (seconds float64, ok bool) { return t.seconds, t.answers >= minAnswers }

// Add adds an answer that took so many seconds at an endpoint with the given factor.
func (t *Time) Add(seconds, factor float64) {
	if !(seconds > 0) || math.IsInf(seconds, 0) {
		return
	}
	seconds /= factor
	t.answers++
	if t.answers > 1 {
		seconds = min(seconds, maxDeviation*t.seconds)
	}
	t.seconds += Gain(t.answers) * (seconds - t.seconds)
}

// Gain returns the weight of the n-th answer in a usual time: that of a plain mean at first.
func Gain(n int) float64 { return max(usualGain, 1/float64(max(n, 1))) }
