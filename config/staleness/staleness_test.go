package staleness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// report returns a report with this evidence, asked for one second ago.
func report(vm, dataCentre string, e Evidence) Report {
	return Report{VM: vm, DataCentre: dataCentre, AskedAt: now.Add(-time.Second), Evidence: e}
}

var (
	storeFailing = Evidence{Revision: 5, ConfirmedAge: time.Minute, StoreFailing: true}
	fresh        = Evidence{Revision: 5, ConfirmedAge: 2 * time.Second}
	unconfirmed  = Evidence{Revision: 5, ConfirmedAge: time.Minute}
	ahead        = Evidence{Revision: 6, ConfirmedAge: time.Second}
)

// A VM has had no confirmation of its own for a minute. If its peers report an outage of the
// platform for all, it must go on taking work; if it is isolated, it must stop before it misses
// a withdrawal for 16 s.
func TestDecideSeparatesIsolationFromOutage(t *testing.T) {
	three := map[string]int{"a": 2, "b": 2, "c": 3}
	rows := []struct {
		name    string
		view    View
		reports []Report
		want    Verdict
	}{
		{"no reports", View{VMs: three, StoreFailing: true}, nil, Cut},
		{"reports of its own data centre only", View{VMs: three, StoreFailing: true}, []Report{report("2", "a", storeFailing)}, Cut},
		{"majority of data centres", View{VMs: three, StoreFailing: true}, []Report{report("2", "a", storeFailing), report("3", "b", storeFailing)}, StoreDown},
		{"two others suffice", View{VMs: three, StoreFailing: true}, []Report{report("3", "b", storeFailing), report("5", "c", storeFailing)}, StoreDown},
		{"half is no majority", View{VMs: map[string]int{"a": 2, "b": 1, "c": 1, "d": 1}, StoreFailing: true},
			[]Report{report("2", "a", storeFailing), report("3", "b", storeFailing)}, Cut},
		{"a peer has a recent confirmation", View{VMs: three, StoreFailing: true}, []Report{report("3", "b", fresh)}, Fresh},
		{"a peer has confirmed a later revision", View{VMs: three, StoreFailing: true},
			[]Report{report("2", "a", storeFailing), report("3", "b", storeFailing), report("5", "c", ahead)}, Cut},
		{"peers whose platform calls succeed", View{VMs: three, StoreFailing: true}, []Report{report("2", "a", unconfirmed), report("3", "b", unconfirmed)}, Cut},
		{"its own platform calls succeed", View{VMs: three}, []Report{report("2", "a", storeFailing), report("3", "b", storeFailing)}, Cut},
		{"no list of VMs", View{StoreFailing: true}, []Report{report("3", "b", storeFailing)}, Cut},
		{"one data centre, no reports", View{VMs: map[string]int{"a": 3}, StoreFailing: true}, nil, Cut},
		{"one data centre, a peer's calls fail too", View{VMs: map[string]int{"a": 3}, StoreFailing: true}, []Report{report("2", "a", storeFailing)}, StoreDown},
		{"the only VM", View{VMs: map[string]int{"a": 1}, StoreFailing: true}, nil, StoreDown},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			v := row.view
			v.DataCentre, v.Revision, v.Reports = "a", 5, row.reports
			v.Confirmed = now.Add(-time.Minute)
			d := Decide(v, now)
			require.Equal(t, row.want, d.Verdict, d.Reason)
			require.Equal(t, row.want == Fresh || row.want == StoreDown, d.TakesWork())
		})
	}
	require.Equal(t, Starting, Decide(View{StoreFailing: true, VMs: three}, now).Verdict)
	require.Equal(t, Fresh, Decide(View{Revision: 5, Confirmed: now.Add(-MaxConfirmationAge)}, now).Verdict)
	require.Equal(t, Cut, Decide(View{Revision: 5, Confirmed: now.Add(-MaxConfirmationAge - 1)}, now).Verdict)
}

// A VM was suspended for a minute and then reads old answers from its buffers, which report
// recent confirmations or an outage of the platform. They answer requests from a minute ago, so
// neither may count.
func TestReportAgeCountsFromRequest(t *testing.T) {
	old := func(vm, dataCentre string, e Evidence) Report {
		r := report(vm, dataCentre, e)
		r.AskedAt = now.Add(-time.Minute)
		return r
	}
	v := View{DataCentre: "a", Revision: 5, Confirmed: now.Add(-time.Minute), VMs: map[string]int{"a": 1, "b": 1, "c": 1}, StoreFailing: true}
	v.Reports = []Report{old("2", "b", fresh), old("3", "c", fresh)}
	require.Equal(t, Cut, Decide(v, now).Verdict)
	v.Reports = []Report{old("2", "b", storeFailing), old("3", "c", storeFailing)}
	require.Equal(t, Cut, Decide(v, now).Verdict)
	require.ErrorIs(t, MayAccept(v, now), ErrMinority)
}

// A partition splits the data centres in two, with the platform on either side or on neither.
// If one side accepts a change, no VM of the other may take work without a recent confirmation,
// since it would not learn of the change.
func TestNoChangeIsAcceptedWhileTheOtherSideTakesWork(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	vms := map[string]int{}
	for _, name := range names {
		vms[name] = 2
	}
	for split := range 1 << len(names) {
		for server := range names {
			for acceptor := range names {
				if split>>server&1 == split>>acceptor&1 {
					continue
				}
				takesWork := Decide(sideView(names, vms, split, server), now).TakesWork()
				accepts := MayAccept(sideView(names, vms, split, acceptor), now) == nil
				require.False(t, takesWork && accepts, "split %05b, %s takes work while %s accepts changes", split, names[server], names[acceptor])
			}
		}
	}
}

// sideView returns the view of a VM that gets reports from all data centres on its side of the
// partition.
func sideView(names []string, vms map[string]int, split, self int) View {
	v := View{DataCentre: names[self], VMs: vms, Revision: 5, Confirmed: now.Add(-time.Minute), StoreFailing: true}
	for i, name := range names {
		if split>>i&1 == split>>self&1 {
			v.Reports = append(v.Reports, report("vm-"+name, name, storeFailing))
		}
	}
	return v
}
