package main

import (
	"fmt"
	"time"

	"goldcrestfork/policy/loadtest"
)

type result = loadtest.Result

// column is one figure of a row.
type column struct {
	name  string
	value func(*row, *result) string
}

// settle is how long after a change of load the figures of a phase start.
const settle = 10 * time.Second

// columns are the figures of a row. done, imm, int and def are the shares of
// callers' requests that were completed in time, of all and by class; others leaves
// the hot account out.
var columns = []column{
	{"done%", func(_ *row, x *result) string { return percent(x.All.Share()) }},
	{"imm%", func(_ *row, x *result) string { return percent(x.Classes[0].Share()) }},
	{"int%", func(_ *row, x *result) string { return percent(x.Classes[1].Share()) }},
	{"def%", func(_ *row, x *result) string { return percent(x.Classes[2].Share()) }},
	{"others%", func(_ *row, x *result) string { return percent(x.Others.Share()) }},
	{"imm p50", func(_ *row, x *result) string { return short(x.Classes[0].Latency(50)) }},
	{"others imm p99", func(_ *row, x *result) string { return short(x.OthersImmediate.Latency(99)) }},
	{"others p99", func(_ *row, x *result) string { return short(x.Others.Latency(99)) }},
	{"short p99", func(_ *row, x *result) string { return short(x.Short.Latency(99)) }},
	{"refused", func(_ *row, x *result) string { return count(x.All.Refused) }},
	{"late", func(_ *row, x *result) string { return count(x.All.Late) }},
	{"timeout", func(_ *row, x *result) string { return count(x.All.TimedOut) }},
	{"failed", func(_ *row, x *result) string { return count(x.All.Failed) }},
	{"wasted%", func(_ *row, x *result) string { return percent(x.Wasted()) }},
	{"extra%", func(_ *row, x *result) string { return percent(x.Extra()) }},
	{"hit%", func(_ *row, x *result) string { return percent(x.Hits()) }},
	{"overshoot", func(_ *row, x *result) string { return count(x.Overshoot) }},
	{"crashes", func(_ *row, x *result) string { return count(x.Crashes) }},
	{"false", func(_ *row, x *result) string { return count(x.FalseQuarantines) }},
	{"goodput%", goodput},
	{"after%", after},
}

// goodput is the share of capacity that was completed in time while the load lasted.
func goodput(r *row, x *result) string {
	from, to := r.scenario.From+settle, r.scenario.To
	if to <= from {
		from, to = settle, r.scenario.Length
	}
	return percent(x.Goodput(from, to))
}

// after is the same from ten seconds after the end of the surge or the fault.
func after(r *row, x *result) string {
	from := r.scenario.To + settle
	if r.scenario.To == 0 || from >= r.scenario.Length {
		return "-"
	}
	return percent(x.Goodput(from, r.scenario.Length))
}

func percent(x float64) string     { return fmt.Sprintf("%.1f", 100*x) }
func count(n int) string           { return fmt.Sprint(n) }
func short(d time.Duration) string { return fmt.Sprintf("%.2f", d.Seconds()) }
