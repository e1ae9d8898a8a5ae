package staleness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// report is a peer's evidence, heard one second ago.
func report(vm, dataCentre string, e Evidence) Report {
	return Report{VM: vm, DataCentre: dataCentre, Echoed: now.Add(-time.Second), Evidence: e}
}

var (
	lost    = Evidence{Revision: 5, ConfirmedAge: time.Minute, StoreFailing: true}
	fresh   = Evidence{Revision: 5, ConfirmedAge: 2 * time.Second}
	silent  = Evidence{Revision: 5, ConfirmedAge: time.Minute}
	further = Evidence{Revision: 6, ConfirmedAge: time.Second}
)

// A VM has had no proof of its own for a minute. What its callers see depends on
// what its peers tell: with the platform down for all they are served, with this
// VM cut off they are turned away before a withdrawal could be missed for 16 s.
func TestJudgeTellsCutFromOutage(t *testing.T) {
	three := map[string]int{"a": 2, "b": 2, "c": 3}
	rows := []struct {
		name    string
		view    View
		reports []Report
		want    Verdict
	}{
		{"hears nobody", View{VMs: three, StoreFailing: true}, nil, Cut},
		{"only its own data centre, all cut together", View{VMs: three, StoreFailing: true}, []Report{report("2", "a", lost)}, Cut},
		{"majority of data centres", View{VMs: three, StoreFailing: true}, []Report{report("2", "a", lost), report("3", "b", lost)}, StoreDown},
		{"two others suffice", View{VMs: three, StoreFailing: true}, []Report{report("3", "b", lost), report("5", "c", lost)}, StoreDown},
		{"half is no majority", View{VMs: map[string]int{"a": 2, "b": 1, "c": 1, "d": 1}, StoreFailing: true},
			[]Report{report("2", "a", lost), report("3", "b", lost)}, Cut},
		{"a peer has proof", View{VMs: three, StoreFailing: true}, []Report{report("3", "b", fresh)}, Fresh},
		{"a peer has proof of a later revision", View{VMs: three, StoreFailing: true},
			[]Report{report("2", "a", lost), report("3", "b", lost), report("5", "c", further)}, Cut},
		{"peers whose platform calls don't fail", View{VMs: three, StoreFailing: true}, []Report{report("2", "a", silent), report("3", "b", silent)}, Cut},
		{"its own calls don't fail", View{VMs: three}, []Report{report("2", "a", lost), report("3", "b", lost)}, Cut},
		{"no list of VMs", View{StoreFailing: true}, []Report{report("3", "b", lost)}, Cut},
		{"one data centre, cut from the others there", View{VMs: map[string]int{"a": 3}, StoreFailing: true}, nil, Cut},
		{"one data centre, another VM agrees", View{VMs: map[string]int{"a": 3}, StoreFailing: true}, []Report{report("2", "a", lost)}, StoreDown},
		{"the only VM", View{VMs: map[string]int{"a": 1}, StoreFailing: true}, nil, StoreDown},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			v := row.view
			v.DataCentre, v.Revision, v.Reports = "a", 5, row.reports
			v.Confirmed = now.Add(-time.Minute)
			d := Judge(v, now)
			require.Equal(t, row.want, d.Verdict, d.Reason)
			require.Equal(t, row.want == Fresh || row.want == StoreDown, d.TakesWork())
		})
	}
	require.Equal(t, Starting, Judge(View{StoreFailing: true, VMs: three}, now).Verdict)
	require.Equal(t, Fresh, Judge(View{Revision: 5, Confirmed: now.Add(-Bound)}, now).Verdict)
	require.Equal(t, Cut, Judge(View{Revision: 5, Confirmed: now.Add(-Bound - 1)}, now).Verdict)
}

// A VM is frozen for a minute and finds answers from before in its buffers.
// They tell of fresh proof and of a platform that fails all; neither may count,
// since they answer questions that this VM sent a minute ago.
func TestFrozenVMIsNotFooledByOldReports(t *testing.T) {
	old := func(vm, dataCentre string, e Evidence) Report {
		r := report(vm, dataCentre, e)
		r.Echoed = now.Add(-time.Minute)
		return r
	}
	v := View{DataCentre: "a", Revision: 5, Confirmed: now.Add(-time.Minute), VMs: map[string]int{"a": 1, "b": 1, "c": 1}, StoreFailing: true}
	v.Reports = []Report{old("2", "b", fresh), old("3", "c", fresh)}
	require.Equal(t, Cut, Judge(v, now).Verdict)
	v.Reports = []Report{old("2", "b", lost), old("3", "c", lost)}
	require.Equal(t, Cut, Judge(v, now).Verdict)
	require.ErrorIs(t, MayAccept(v, now), ErrMinority)
}

// Regions lose each other. For every way to split the data centres in two, with
// the platform on either side or on neither: if one side accepts a change, no VM
// of the other goes on without proof. Callers of the cut side are turned away.
func TestNoChangeIsAcceptedBehindTheBackOfAVMThatGoesOn(t *testing.T) {
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
				goesOn := Judge(sideView(names, vms, split, server), now).TakesWork()
				accepts := MayAccept(sideView(names, vms, split, acceptor), now) == nil
				require.False(t, goesOn && accepts, "split %05b, %s goes on while %s accepts", split, names[server], names[acceptor])
			}
		}
	}
}

// sideView is what a VM of a data centre hears: all data centres on its side of the split.
func sideView(names []string, vms map[string]int, split, self int) View {
	v := View{DataCentre: names[self], VMs: vms, Revision: 5, Confirmed: now.Add(-time.Minute), StoreFailing: true}
	for i, name := range names {
		if split>>i&1 == split>>self&1 {
			v.Reports = append(v.Reports, report("vm-"+name, name, lost))
		}
	}
	return v
}
