package placement

import (
	"math/rand/v2"
	"time"
)

const (
	// firstPace is the time that engines take for a unit of work before any was seen.
	firstPace = 4 * time.Millisecond
	// paceGain is the weight of one request in the pace, about the last fifty.
	paceGain = 0.02
	// leastAhead is the work from which a request tells the pace: with less the time on
	// the way and the engine's first step count for more.
	leastAhead = 20.0
	// outlandish bounds what one request may tell, as a multiple of the pace: an engine
	// that is slow or was frozen says nothing of the others.
	outlandish = 4
)

// pace is the time that a service's endpoints take for a unit of work.
type pace struct{ perUnit float64 } // seconds; 0 for not known

func (p *pace) get() float64 {
	if p.perUnit == 0 {
		return firstPace.Seconds()
	}
	return p.perUnit
}

// learn takes the time to a first event behind some work.
func (p *pace) learn(ahead float64, took time.Duration) {
	if ahead < leastAhead {
		return
	}
	now := p.get()
	seen := min(took.Seconds()/ahead, outlandish*now)
	p.perUnit = now + paceGain*(seen-now)
}

// Outlook is how long a request would wait for its first event.
type Outlook struct {
	// Wait is the time for what is under way before it, Read that for its own prompt.
	Wait, Read time.Duration
}

// Outlook estimates the time to a request's first event at the endpoint with the least
// under way: the work there and its own, at the pace that the service's requests met
// lately. The share of an engine's slots in use tells little of it: long prompts make
// requests wait where most slots are free.
func (t *Table) Outlook(now time.Time, rng *rand.Rand, r *Request) Outlook {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.services[r.Service]
	if p == nil {
		return Outlook{}
	}
	warm, cold, _ := t.candidates(now, rng, p, r)
	if len(warm) == 0 {
		warm = cold
	}
	least := -1.0
	for _, e := range warm {
		if under := t.under(now, e); least < 0 || under < least {
			least = under
		}
	}
	unit := p.pace.get() * float64(time.Second)
	return Outlook{Wait: time.Duration(max(least, 0) * unit), Read: time.Duration((r.Work + r.Prefill) * unit)}
}
