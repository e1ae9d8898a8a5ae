// Package address selects the entry VMs that a caller should use.
//
// Load pattern: thousands of callers ask occasionally, keep the answer for a
// while and connect directly, without a load balancer in between. Without a stable
// order, a caller would spread its sessions and connections over all VMs; if the
// order ignored the load, large callers would stay on one VM.
//
// The package has no state: the members are an argument, and the calling code
// checks whether they are fresh enough (member.Table.Fresh).
package address

import (
	"cmp"
	"math"
	"slices"
	"time"

	"goldcrestfork/fleet/rendezvous"
)

const (
	// AnswerTTL is how long a caller may use an answer. With 400 VMs and 12,000 callers,
	// 20 s means 600 requests a second, about two a VM. A planned stop waits for it once.
	AnswerTTL = 20 * time.Second
	// DrainPropagation is how long other VMs may still name a VM that drains. The state reaches
	// all VMs in about ten ticks of a second (docs/design/membership.md).
	DrainPropagation = 15 * time.Second
	// DrainTime is how long a VM that stops must continue to serve callers after it
	// announced that it drains: the last answer that names it is given within DrainPropagation
	// and is used for AnswerTTL.
	DrainTime = DrainPropagation + AnswerTTL
	// MaxAddresses bounds the addresses of an answer: a first choice and two
	// alternatives, so that a caller survives two VM failures within one AnswerTTL.
	MaxAddresses = 3
	// loadSteps is the number of steps to which loads are rounded, so that a caller's
	// first choice doesn't change with every load report.
	loadSteps = 4
)

// Candidate is one VM that callers may be sent to.
type Candidate struct {
	ID string
	// Address is "ip:port" where callers connect.
	Address    string
	DataCentre string
	// Load is the VM's load in thousandths of its capacity.
	Load uint16
	// Leaving reports whether the VM drains, has left, or is about to be removed by the
	// platform.
	Leaving bool
	// Suspected reports whether the VM is suspected to be down.
	Suspected bool
}

// Query describes the caller.
type Query struct {
	// Caller identifies the caller across requests: its client account and, if known, its address.
	Caller string
	// DataCentre is the data centre nearest to the caller, empty if unknown.
	DataCentre string
}

// View is the answering VM's state of the fleet.
type View struct {
	Candidates []Candidate
	// IsOut reports whether operators took a data centre out of service; nil means none.
	IsOut func(dataCentre string) bool
	// Distance returns the distance from the caller's data centre to a VM's; smaller is
	// nearer. If it is nil, the distance is 0 within a data centre and 1 between two.
	Distance func(from, to string) int
}

// Answer is the result for the caller.
type Answer struct {
	// Addresses are the addresses to try, in this order; empty if no VM may be named.
	Addresses []string
	// Keep is how long to use the addresses before asking again.
	Keep time.Duration
}

// Choose ranks the VMs for a caller: the nearest data centres first, and VMs of the
// same distance by rendezvous hashing weighted by free capacity. It never names VMs
// that leave, whose data centre is out of service or whose address is unknown. It
// names suspected VMs, at any distance, only after all others.
func Choose(q Query, v View) Answer {
	usable := slices.DeleteFunc(slices.Clone(v.Candidates), func(c Candidate) bool {
		return c.Leaving || c.Address == "" || (v.IsOut != nil && v.IsOut(c.DataCentre))
	})
	slices.SortFunc(usable, func(a, b Candidate) int {
		return cmp.Or(
			compareBool(a.Suspected, b.Suspected),
			cmp.Compare(v.distance(q.DataCentre, a), v.distance(q.DataCentre, b)),
			cmp.Compare(score(q.Caller, b), score(q.Caller, a)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	answer := Answer{Keep: AnswerTTL}
	for _, c := range usable[:min(len(usable), MaxAddresses)] {
		answer.Addresses = append(answer.Addresses, c.Address)
	}
	return answer
}

// distance returns the distance of a candidate from a data centre, 0 if that is unknown.
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

// score returns the weight of a VM for a caller by weighted rendezvous hashing: each VM
// ranks first for a share of callers in proportion to its free capacity, and a change of
// one VM's load moves only callers from or to that VM.
func score(caller string, c Candidate) float64 {
	const full = 1000
	step := min(int(c.Load), full-1) * loadSteps / full
	free := float64(loadSteps - step)
	uniform := (float64(rendezvous.Weight(caller, c.ID)>>11) + 0.5) / (1 << 53)
	return -free / math.Log(uniform)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
