// Package staleness decides whether a VM may take new work under its configuration, and whether
// it may accept a change of the configuration. The package has no network, clock or locks:
// evidence and time are arguments.
//
// The decisions handle the loss of contact with the platform and between VMs. Without them, a
// VM that is cut off from the platform and from the other VMs would go on sending work to a
// version that was withdrawn meanwhile. A VM that stopped on every outage of the platform would
// turn that outage into one of the whole fleet.
//
// The reports of other data centres distinguish the two cases. A VM goes on without a recent
// confirmation only while VMs of a majority of the data centres report that their calls to the
// platform fail too. A VM accepts a change only while VMs of a majority of the data centres
// answer it. Two majorities share a data centre, whose VMs notify each other of the new
// revision, so a VM that goes on learns of each change that is accepted.
package staleness

import (
	"errors"
	"fmt"
	"time"
)

const (
	// MaxConfirmationAge is the age of the last confirmation above which a VM takes no new work,
	// unless the platform fails for a majority of the data centres. A change must be in force
	// within 16 s; MaxConfirmationAge leaves 2 s to decide and to refuse requests. It is above
	// the age that a healthy VM sees: two rotations of a watch (2 x 3.6 s at most) and the pause
	// between requests for evidence (2.25 s at most).
	MaxConfirmationAge = 14 * time.Second
	// MaxReportAge is the age above which a VM's report no longer counts. It covers two requests
	// for evidence, so that one lost answer changes nothing.
	MaxReportAge = 5 * time.Second
	// Never is the ConfirmedAge of a VM that has no confirmation.
	Never time.Duration = -1
)

// Evidence is what a VM reports about its own configuration to the VMs that ask.
type Evidence struct {
	// Revision is the revision in force on the VM.
	Revision int64
	// ConfirmedAge is the time since the platform last showed that no newer revision existed, or
	// Never. It is an age, since clocks of different VMs can't be compared.
	ConfirmedAge time.Duration
	// StoreFailing reports whether the VM's last call to the platform failed.
	StoreFailing bool
}

// Report is the evidence that another VM returned.
type Report struct {
	VM         string
	DataCentre string
	// AskedAt is when this VM sent the request that the report answers. Ages count from that
	// time: a VM that was suspended finds old reports in its buffers, which would look new by
	// their time of arrival.
	AskedAt time.Time
	Evidence
}

// View is the input of the decisions.
type View struct {
	// Self and DataCentre are the names of this VM and of its data centre.
	Self       string
	DataCentre string
	// VMs is the number of VMs in each data centre in the platform's last list, this VM
	// included. Without a list there is no majority.
	VMs map[string]int
	// Revision, Confirmed and StoreFailing are this VM's own evidence. Confirmed is a time of
	// its own clock.
	Revision     int64
	Confirmed    time.Time
	StoreFailing bool
	// Reports are the other VMs' evidence, one report for each VM.
	Reports []Report
}

// Verdict says whether new work may be taken, and why.
type Verdict string

// The verdicts.
const (
	// Starting means that the VM has no configuration yet. It is not ready.
	Starting Verdict = "starting"
	// Fresh means that the configuration was confirmed as current within MaxConfirmationAge.
	Fresh Verdict = "fresh"
	// StoreDown means that the platform fails for a majority of the data centres, so no change
	// can be accepted. The VM goes on taking work.
	StoreDown Verdict = "store down"
	// Cut means that the VM may have missed a change. It takes no new work.
	Cut Verdict = "cut"
)

// Decision is a verdict with its evidence.
type Decision struct {
	Verdict Verdict `json:"verdict"`
	// Confirmed is the latest time at which the configuration is known to have been current;
	// zero for none.
	Confirmed time.Time `json:"confirmed"`
	// Reason explains the verdict to operators.
	Reason string `json:"reason"`
}

// TakesWork reports whether new work may be taken.
func (d Decision) TakesWork() bool { return d.Verdict == Fresh || d.Verdict == StoreDown }

// Age returns the time since the last confirmation, or the longest duration if there is none.
func (d Decision) Age(now time.Time) time.Duration {
	if d.Confirmed.IsZero() {
		return 1<<63 - 1
	}
	return now.Sub(d.Confirmed)
}

// Decide returns the decision at the time now.
func Decide(v View, now time.Time) Decision {
	d := Decision{Confirmed: latestConfirmation(v)}
	if v.Revision == 0 && d.Confirmed.IsZero() {
		d.Verdict, d.Reason = Starting, "no configuration yet"
		return d
	}
	if d.Age(now) <= MaxConfirmationAge {
		d.Verdict, d.Reason = Fresh, fmt.Sprintf("current %s ago", d.Age(now).Round(time.Millisecond))
		return d
	}
	d.Verdict, d.Reason = decideWithoutConfirmation(v, now)
	return d
}

// latestConfirmation returns the time of the latest confirmation by this VM or another one. The
// confirmation of a revision higher than this VM's does not count.
func latestConfirmation(v View) time.Time {
	best := v.Confirmed
	for _, r := range v.Reports {
		if r.ConfirmedAge < 0 || r.Revision > v.Revision {
			continue
		}
		if at := r.AskedAt.Add(-r.ConfirmedAge); at.After(best) {
			best = at
		}
	}
	return best
}

// decideWithoutConfirmation distinguishes an outage of the platform for all VMs from the
// isolation of this one.
func decideWithoutConfirmation(v View, now time.Time) (Verdict, string) {
	if !v.StoreFailing {
		return Cut, "no proof from anybody, and the platform was not found failing"
	}
	failing := make(map[string]bool)
	for _, r := range v.Reports {
		if now.Sub(r.AskedAt) > MaxReportAge {
			continue
		}
		if r.Revision > v.Revision {
			return Cut, fmt.Sprintf("%s has revision %d, this VM %d", r.VM, r.Revision, v.Revision)
		}
		if r.StoreFailing {
			failing[r.DataCentre] = true
		}
	}
	// This VM represents its data centre alone only if it is the only VM there. In a fleet of
	// one data centre, an isolated VM would otherwise be a majority by itself.
	if v.VMs[v.DataCentre] <= 1 {
		failing[v.DataCentre] = true
	}
	n, m := countDataCentres(failing, v)
	if 2*n > m {
		return StoreDown, fmt.Sprintf("the platform fails VMs in %d of %d data centres", n, m)
	}
	return Cut, fmt.Sprintf("no proof, and the platform is known to fail VMs in only %d of %d data centres", n, m)
}

// ErrMinority means that too few data centres answer this VM for it to accept a change.
var ErrMinority = errors.New("too few data centres are heard to accept a change")

// MayAccept returns nil if VMs of a majority of the data centres have answered recently, else
// an error that is ErrMinority.
func MayAccept(v View, now time.Time) error {
	heard := map[string]bool{v.DataCentre: true}
	for _, r := range v.Reports {
		if now.Sub(r.AskedAt) <= MaxReportAge {
			heard[r.DataCentre] = true
		}
	}
	n, m := countDataCentres(heard, v)
	if 2*n > m {
		return nil
	}
	return fmt.Errorf("%w: VMs of %d of %d are", ErrMinority, n, m)
}

// countDataCentres returns how many listed data centres with VMs are in the set (n), and how
// many there are (m).
func countDataCentres(set map[string]bool, v View) (n, m int) {
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
