package trial

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"goldcrestfork/policy/rollout"
)

const (
	// toleratedInClass is toleratedErrors for one class, of whose errors there are minClassErrors at
	// least: a few faulty endpoints may meet most of the trial's answers of a class.
	toleratedInClass = 0.15
	minClassErrors   = 5
)

// Class identifies the routes whose requests are compared with each other.
type Class uint16

// ClassOf returns the class of a route. Two routes seldom share one.
func ClassOf(route string) Class { return Class(xxhash.Sum64String(route)) }

// maxClasses is the number of classes that a VM counts by themselves; its datagrams have room for
// these.
const maxClasses = 6

// ClassCounts holds the answers of one class, and those of them that were errors of endpoints.
type ClassCounts struct {
	_                        struct{} `cbor:",toarray"`
	FromRequests, FromErrors uint64
	ToRequests, ToErrors     uint64
}

// countClass counts an answer in its class. Callers hold t.mu.
func (t *Trial) countClass(o Origin, failed bool) {
	c, ok := t.own.Classes[o.Class]
	if !ok && len(t.own.Classes) >= maxClasses {
		return
	}
	requests, errors := &c.FromRequests, &c.FromErrors
	if o.New {
		requests, errors = &c.ToRequests, &c.ToErrors
	}
	*requests++
	if failed {
		*errors++
	}
	t.own.Classes[o.Class] = c
}

// classes adds the counts of all VMs by class.
func (t *Trial) classes() map[Class]ClassCounts {
	sum := make(map[Class]ClassCounts)
	add := func(classes map[Class]ClassCounts) {
		for class, c := range classes {
			s := sum[class]
			s.FromRequests += c.FromRequests
			s.FromErrors += c.FromErrors
			s.ToRequests += c.ToRequests
			s.ToErrors += c.ToErrors
			sum[class] = s
		}
	}
	add(t.own.Classes)
	for _, c := range t.others {
		add(c.Classes)
	}
	return sum
}

// classEvidence returns the log evidence that the new version fails the requests of some class more
// often, less what the choice among classes makes of it, and whether its rates of errors are
// acceptable in all of them.
func (t *Trial) classEvidence() (most float64, acceptable bool) {
	acceptable = true
	classes := t.classes()
	for _, c := range classes {
		if c.ToErrors < minClassErrors {
			continue
		}
		most = max(most, rollout.LogEvidence(
			rollout.Tally{Requests: c.FromRequests, Errors: c.FromErrors}, rollout.Tally{Requests: c.ToRequests, Errors: c.ToErrors},
			min(rate(c.ToRequests, c.FromRequests+c.ToRequests), t.share)))
		// Three standard errors, as one of several classes may exceed two by chance.
		if exceeds(rate(c.FromErrors, c.FromRequests), c.ToErrors, c.ToRequests, toleratedInClass, 3) {
			acceptable = false
		}
	}
	return most - math.Log(float64(max(len(classes), 1))), acceptable
}
