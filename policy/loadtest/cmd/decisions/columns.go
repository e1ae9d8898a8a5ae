package main

import (
	"fmt"
	"time"

	"goldcrestfork/policy/loadtest"
)

type result = loadtest.Result

// column is one value of a row.
type column struct {
	name  string
	value func(*row, *result) string
}

// settleTime is the time after a change of load from which the values of a phase
// are measured.
const settleTime = 10 * time.Second

// columns are the values of a row. The columns done, imm, int and def are the
// shares of callers' requests that were completed in time, of all requests and by
// class; others excludes the hot account.
var columns = []column{
	{"done%", func(_ *row, x *result) string { return percent(x.All.CompletedShare()) }},
	{"imm%", func(_ *row, x *result) string { return percent(x.Classes[0].CompletedShare()) }},
	{"int%", func(_ *row, x *result) string { return percent(x.Classes[1].CompletedShare()) }},
	{"def%", func(_ *row, x *result) string { return percent(x.Classes[2].CompletedShare()) }},
	{"others%", func(_ *row, x *result) string { return percent(x.Others.CompletedShare()) }},
	{"imm p50", func(_ *row, x *result) string { return short(x.Classes[0].Latency(50)) }},
	{"others imm p99", func(_ *row, x *result) string { return short(x.OthersImmediate.Latency(99)) }},
	{"others p99", func(_ *row, x *result) string { return short(x.Others.Latency(99)) }},
	{"short p99", func(_ *row, x *result) string { return short(x.Short.Latency(99)) }},
	{"refused", func(_ *row, x *result) string { return count(x.All.Refused) }},
	{"late", func(_ *row, x *result) string { return count(x.All.Late) }},
	{"timeout", func(_ *row, x *result) string { return count(x.All.TimedOut) }},
	{"failed", func(_ *row, x *result) string { return count(x.All.Failed) }},
	{"wasted%", func(_ *row, x *result) string { return percent(x.WastedWorkRatio()) }},
	{"extra%", func(_ *row, x *result) string { return percent(x.RepeatedWorkRatio()) }},
	{"hit%", func(_ *row, x *result) string { return percent(x.PrefixHitRatio()) }},
	{"overshoot", func(_ *row, x *result) string { return count(x.Overshoot) }},
	{"crashes", func(_ *row, x *result) string { return count(x.Crashes) }},
	{"false", func(_ *row, x *result) string { return count(x.FalseQuarantines) }},
	{"goodput%", goodput},
	{"after%", after},
}

// goodput returns the work completed in time as a share of capacity, while the
// surge or the fault lasts.
func goodput(r *row, x *result) string {
	from, to := r.scenario.From+settleTime, r.scenario.To
	if to <= from {
		from, to = settleTime, r.scenario.Length
	}
	return percent(x.Goodput(from, to))
}

// after returns the goodput from settleTime after the end of the surge or the
// fault.
func after(r *row, x *result) string {
	from := r.scenario.To + settleTime
	if r.scenario.To == 0 || from >= r.scenario.Length {
		return "-"
	}
	return percent(x.Goodput(from, r.scenario.Length))
}

func percent(x float64) string     { return fmt.Sprintf("%.1f", 100*x) }
func count(n int) string           { return fmt.Sprint(n) }
func short(d time.Duration) string { return fmt.Sprintf("%.2f", d.Seconds()) }
