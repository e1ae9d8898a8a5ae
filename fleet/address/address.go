// Package address answers a caller's question which entry VMs to use.
//
// Load pattern: thousands of callers ask now and then, keep the answer for a
// while and connect by themselves; no balancer stands between. Without a stable
// order a caller would spread its sessions and connections over all VMs; without
// the load in it, large callers would settle on one VM.
//
// The package is pure: the members come as an argument, and whether they are
// fresh enough to be used is the caller's to ask (member.Table.Fresh).
package address

import (
	"cmp"
	"math"
	"slices"
	"time"

	"goldcrestfork/fleet/rendezvous"
)

const (
	// Keep is how long a caller may use an answer. 20 s: at 400 VMs and 12,000
	// callers it means 600 questions a second, two a VM, and a planned stop waits it out once.
	Keep = 20 * time.Second
	// Spread is how long a VM that drains may still be named by others. 15 s: the
	// word reaches all in some ten ticks of a second (docs/design/membership.md).
	Spread = 15 * time.Second
	// Drain is how long a VM that stops must go on taking callers after it told
	// that it drains: the last answer that names it is given within Spread and
	// is used for Keep.
	Drain = Spread + Keep
	// MaxAddresses bounds an answer: a first choice and two to fall back on
	// besides, so that a caller outlives two VM failures within one Keep.
	MaxAddresses = 3
	// loadSteps is how finely loads count. Four steps: a caller's first choice
	// should not change with each report.
	loadSteps = 4
)

// Candidate is one VM that callers may be sent to.
type Candidate struct {
	ID string
	// Address is "ip:port" where callers connect.
	Address    string
	DataCentre string
	// Load in thousandths of what the VM bears.
	Load uint16
	// Leaving: it drains or the platform takes it away.
	Leaving bool
	// Doubtful: it is suspected to be down.
	Doubtful bool
}

// Question is what is known of the caller.
type Question struct {
	// Caller identifies it from question to question: its client account and, where known, its address.
	Caller string
	// DataCentre is the one nearest to it, empty when not known.
	DataCentre string
}

// View is what the answering VM knows.
type View struct {
	Candidates []Candidate
	// Out tells whether operators took a data centre out; nil means none.
	Out func(dataCentre string) bool
	// Distance ranks data centres seen from the caller's, smaller is nearer; nil
	// knows only "the same" and "another".
	Distance func(from, to string) int
}

// Answer goes to the caller.
type Answer struct {
	// Addresses in the order to try; empty when no VM may be named.
	Addresses []string
	// Keep is how long to use them before asking again.
	Keep time.Duration
}

// Choose ranks the VMs for a caller: nearest data centres first, within a
// distance by rendezvous weighted with the room that is left. VMs that leave and
// those in a data centre that is out are never named; suspects only if nothing else is there.
func Choose(q Question, v View) Answer {
	usable := slices.DeleteFunc(slices.Clone(v.Candidates), func(c Candidate) bool {
		return c.Leaving || c.Address == "" || (v.Out != nil && v.Out(c.DataCentre))
	})
	slices.SortFunc(usable, func(a, b Candidate) int {
		return cmp.Or(
			compareBool(a.Doubtful, b.Doubtful),
			cmp.Compare(v.distance(q.DataCentre, a), v.distance(q.DataCentre, b)),
			cmp.Compare(score(q.Caller, b), score(q.Caller, a)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	answer := Answer{Keep: Keep}
	for _, c := range usable[:min(len(usable), MaxAddresses)] {
		answer.Addresses = append(answer.Addresses, c.Address)
	}
	return answer
}

func (v View) distance(from string, c Candidate) int {
	switch {
	case from == "":
		return 0
	case v.Distance != nil:
		return v.Distance(from, c.DataCentre)
	case c.DataCentre == from:
		return 0
	}
	return 1
}

// score is weighted rendezvous hashing: each VM is first for a share of callers in
// proportion to its room, and a change of one VM's load moves only callers from
// or to that VM.
func score(caller string, c Candidate) float64 {
	const full = 1000
	step := min(int(c.Load), full-1) * loadSteps / full
	room := float64(loadSteps - step)
	uniform := (float64(rendezvous.Weight(caller, c.ID)>>11) + 0.5) / (1 << 53)
	return -room / math.Log(uniform)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
