package ratelimit

import "time"

// Statement is what an endpoint last stated about its request limit. The zero value means that
// it stated none.
type Statement struct {
	// Rate is the number of requests a second that the endpoint takes from all VMs together.
	Rate float64
	// At is when the answer with the statement arrived.
	At time.Time
	// Limited reports whether Rate applies.
	Limited bool
}

// Next returns the statement after an answer that states a rate, and whether the limit changed.
func (s Statement) Next(now time.Time, rate float64) (Statement, bool) {
	return Statement{Rate: rate, At: now, Limited: true}, !s.Limited || s.Rate != rate
}

// End returns the statement after an answer without a limit to a request that was sent at
// sentAt, and whether a limit ended. Answers on different connections overtake each other, so
// only an answer to a request sent after the limit was stated ends it.
func (s Statement) End(now, sentAt time.Time) (Statement, bool) {
	if !s.Limited || !sentAt.After(s.At) {
		return s, false
	}
	return Statement{At: now}, true
}

// mergeMargin is how much newer a statement from another VM must be to replace an equal one. Its
// time includes the time on the network, and would advance at each exchange otherwise.
const mergeMargin = 200 * time.Millisecond

// Merge returns the newer of the own statement and that of another VM, and whether the limit
// changed.
func (s Statement) Merge(other Statement) (Statement, bool) {
	same := s.Limited == other.Limited && s.Rate == other.Rate
	if !other.At.After(s.At) || same && other.At.Sub(s.At) < mergeMargin {
		return s, false
	}
	return other, !same
}
