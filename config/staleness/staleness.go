// Package staleness decides whether a VM may take new work under the
// configuration it has, and whether it may accept a change of it. It has no
// network and no clock: what was heard and the time are arguments.
//
// Load pattern: none; it answers a loss of contact. Without it, a VM cut from
// the platform and from its peers would go on sending work to a version that
// was withdrawn meanwhile, and a VM that stopped on every outage of the platform
// would turn that outage into the fleet's.
//
// The two are told apart by data centres. A VM goes on without fresh proof only
// while VMs of a majority of the data centres say that the platform fails them
// too, and a VM accepts a change only while it hears VMs of a majority. Two
// majorities share a data centre, whose VMs tell each other of the new revision:
// so no change can be accepted that a VM which goes on does not hear of.
//
// The package has no locks.
package staleness

import (
	"errors"
	"fmt"
	"time"
)

const (
	// Bound is the age of the last proof at which a VM stops taking new work. The
	// users want a change in force within 16 s; the bound leaves 2 s to judge and to
	// turn callers away, and is above the age that a sound VM sees: two rotations of
	// a watch (2 x 3.6 s at most) and the pause between questions (2.25 s at most).
	Bound = 14 * time.Second
	// ReportBound is the age at which what a peer said no longer counts: two
	// questions' worth, so that one lost answer changes nothing.
	ReportBound = 5 * time.Second
	// Never is the ConfirmedAge of a VM without proof.
	Never time.Duration = -1
)

// Evidence is what a VM knows of its own configuration and answers to others that ask.
type Evidence struct {
	// Revision is in force on the VM.
	Revision int64
	// ConfirmedAge is the time since the platform last showed the VM that no newer
	// revision existed; Never for none. An age, since no two clocks are compared.
	ConfirmedAge time.Duration
	// StoreFailing says that the VM's last call to the platform failed.
	StoreFailing bool
}

// Report is one peer's evidence as this VM heard it.
type Report struct {
	VM         string
	DataCentre string
	// Echoed is when this VM sent the question that the report answers. Ages count
	// from there: a VM that was frozen finds old reports in its buffers, and their
	// arrival time would make them look new.
	Echoed time.Time
	Evidence
}

// View is all that a verdict is made from.
type View struct {
	// Self and DataCentre name this VM and where it is.
	Self       string
	DataCentre string
	// VMs is the number of VMs in each data centre by the platform's last list, this
	// one included. Without a list no majority is known, and none is assumed.
	VMs map[string]int
	// Revision, Confirmed and StoreFailing are this VM's own evidence; Confirmed is on its own clock.
	Revision     int64
	Confirmed    time.Time
	StoreFailing bool
	// Reports are the peers' evidence, one for each.
	Reports []Report
}

// Verdict is whether new work may be taken.
type Verdict string

// The verdicts.
const (
	// Starting: no configuration yet; not ready.
	Starting Verdict = "starting"
	// Fresh: the configuration was proved current within Bound.
	Fresh Verdict = "fresh"
	// StoreDown: the platform fails a majority, so the configuration can't change; work goes on.
	StoreDown Verdict = "store down"
	// Cut: a change may have been missed; no new work.
	Cut Verdict = "cut"
)

// Decision is a verdict and what it rests on.
type Decision struct {
	Verdict Verdict `json:"verdict"`
	// Confirmed is the latest moment at which the configuration is known to have been current; zero for never.
	Confirmed time.Time `json:"confirmed"`
	// Reason is for people.
	Reason string `json:"reason"`
}

// TakesWork reports whether new work may be taken.
func (d Decision) TakesWork() bool { return d.Verdict == Fresh || d.Verdict == StoreDown }

// Age is the time since the last proof; very long without one.
func (d Decision) Age(now time.Time) time.Duration {
	if d.Confirmed.IsZero() {
		return 1<<63 - 1
	}
	return now.Sub(d.Confirmed)
}

// Judge gives the verdict at a moment.
func Judge(v View, now time.Time) Decision {
	d := Decision{Confirmed: confirmed(v)}
	if v.Revision == 0 && d.Confirmed.IsZero() {
		d.Verdict, d.Reason = Starting, "no configuration yet"
		return d
	}
	if d.Age(now) <= Bound {
		d.Verdict, d.Reason = Fresh, fmt.Sprintf("current %s ago", d.Age(now).Round(time.Millisecond))
		return d
	}
	d.Verdict, d.Reason = outage(v, now)
	return d
}

// confirmed is the latest proof, this VM's own or a peer's. A peer that proved a
// higher revision current proves nothing for this VM.
func confirmed(v View) time.Time {
	best := v.Confirmed
	for _, r := range v.Reports {
		if r.ConfirmedAge < 0 || r.Revision > v.Revision {
			continue
		}
		if at := r.Echoed.Add(-r.ConfirmedAge); at.After(best) {
			best = at
		}
	}
	return best
}

// outage tells the platform's outage for all from a cut of this VM.
func outage(v View, now time.Time) (Verdict, string) {
	if !v.StoreFailing {
		return Cut, "no proof from anybody, and the platform was not found failing"
	}
	failing := make(map[string]bool)
	for _, r := range v.Reports {
		if now.Sub(r.Echoed) > ReportBound {
			continue
		}
		if r.Revision > v.Revision {
			return Cut, fmt.Sprintf("%s has revision %d, this VM %d", r.VM, r.Revision, v.Revision)
		}
		if r.StoreFailing {
			failing[r.DataCentre] = true
		}
	}
	// This VM alone speaks for its data centre only if no other VM is there: cut from
	// all, it would otherwise be a majority by itself in a fleet of one data centre.
	if v.VMs[v.DataCentre] <= 1 {
		failing[v.DataCentre] = true
	}
	n, m := count(failing, v)
	if 2*n > m {
		return StoreDown, fmt.Sprintf("the platform fails VMs in %d of %d data centres", n, m)
	}
	return Cut, fmt.Sprintf("no proof, and the platform is known to fail VMs in only %d of %d data centres", n, m)
}

// ErrMinority: this VM does not hear enough data centres to accept a change.
var ErrMinority = errors.New("too few data centres are heard to accept a change")

// MayAccept returns nil or an error that is ErrMinority.
func MayAccept(v View, now time.Time) error {
	heard := map[string]bool{v.DataCentre: true}
	for _, r := range v.Reports {
		if now.Sub(r.Echoed) <= ReportBound {
			heard[r.DataCentre] = true
		}
	}
	n, m := count(heard, v)
	if 2*n > m {
		return nil
	}
	return fmt.Errorf("%w: VMs of %d of %d are", ErrMinority, n, m)
}

// count gives how many data centres of the list are in the set, and how many there are.
func count(set map[string]bool, v View) (n, m int) {
	for dataCentre, vms := range v.VMs {
		if vms == 0 {
			continue
		}
		m++
		if set[dataCentre] {
			n++
		}
	}
	return n, m
}
