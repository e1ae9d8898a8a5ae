// Command decisions measures the decisions of policy under load and prints one
// table: each load pattern with all modules, without each, and with none, at the
// same seeds.
package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"
	"goldcrestfork/policy/loadtest"
)

type options struct {
	Workload []string `help:"Workloads to run (cluj, norte)." default:"cluj,norte"`
	Scenario []string `help:"Load patterns to run; all by default."`
	Variant  []string `help:"Variants to run; all by default."`
	Seed     []uint64 `help:"Seeds; figures are given for each, parted by a slash." default:"11,23"`
	Workers  int      `help:"Runs at once." default:"4"`
}

// row is one line of the table: a pattern and a variant at all seeds.
type row struct {
	workload loadtest.Workload
	scenario loadtest.Scenario
	variant  loadtest.Variant
	results  []*loadtest.Result
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Measure the decisions under load, in virtual time."))
	rows := o.rows()
	o.measure(rows)
	printTable(rows)
}

func wanted(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

func (o *options) rows() []*row {
	var rows []*row
	for _, w := range []loadtest.Workload{loadtest.Cluj, loadtest.Norte} {
		for _, s := range loadtest.Scenarios {
			for _, v := range loadtest.Variants {
				if wanted(o.Workload, w.Name) && wanted(o.Scenario, s.Name) && wanted(o.Variant, v.Name) {
					rows = append(rows, &row{w, s, v, make([]*loadtest.Result, len(o.Seed))})
				}
			}
		}
	}
	return rows
}

// measure runs each row at each seed; a run is one goroutine's work.
func (o *options) measure(rows []*row) {
	var wg sync.WaitGroup
	free := make(chan struct{}, max(o.Workers, 1))
	for _, r := range rows {
		for i, seed := range o.Seed {
			free <- struct{}{}
			wg.Go(func() {
				defer func() { <-free }()
				r.results[i] = loadtest.Run(r.workload, r.scenario, r.variant.Modules, seed)
			})
		}
	}
	wg.Wait()
}

func printTable(rows []*row) {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
	defer t.Flush()
	last := ""
	for _, r := range rows {
		if head := r.workload.Name + ": " + r.scenario.Name; head != last {
			last = head
			fmt.Fprintf(t, "\n%s\n", head)
			fmt.Fprintln(t, "variant\tdone%\timmediate%\tinteractive%\tdeferrable%\tothers%\timm p50\timm p99\tothers p99\tshort p99\trefused\trefusal p99\ttimeout\tfailed\twasted%\textra%\thit%\tovershoot\tcrashes\tfalse\tgoodput%\tafter%")
		}
		fmt.Fprintln(t, strings.Join(r.cells(), "\t"))
	}
}

func (r *row) cells() []string {
	cells := []string{r.variant.Name}
	for _, f := range columns {
		var parts []string
		for _, res := range r.results {
			parts = append(parts, f(r, res))
		}
		cells = append(cells, strings.Join(parts, "/"))
	}
	return cells
}

func percent(x float64) string { return fmt.Sprintf("%.1f", 100*x) }
func count(n int) string       { return fmt.Sprint(n) }
func short(d time.Duration) string {
	return fmt.Sprintf("%.2fs", d.Seconds())
}

type result = loadtest.Result

// columns are the figures of a row, in the order of the head line.
var columns = []func(*row, *result) string{
	func(_ *row, x *result) string { return percent(x.All.Share()) },
	func(_ *row, x *result) string { return percent(x.Classes[0].Share()) },
	func(_ *row, x *result) string { return percent(x.Classes[1].Share()) },
	func(_ *row, x *result) string { return percent(x.Classes[2].Share()) },
	func(_ *row, x *result) string { return percent(x.Others.Share()) },
	func(_ *row, x *result) string { return short(x.Classes[0].Latency(50)) },
	func(_ *row, x *result) string { return short(x.Classes[0].Latency(99)) },
	func(_ *row, x *result) string { return short(x.Others.Latency(99)) },
	func(_ *row, x *result) string { return short(x.Short.Latency(99)) },
	func(_ *row, x *result) string { return count(x.All.Refused) },
	func(_ *row, x *result) string { return short(x.All.RefusalDelay(99)) },
	func(_ *row, x *result) string { return count(x.All.TimedOut) },
	func(_ *row, x *result) string { return count(x.All.Failed) },
	func(_ *row, x *result) string { return percent(x.Wasted()) },
	func(_ *row, x *result) string { return percent(x.Extra()) },
	func(_ *row, x *result) string { return percent(x.Hits()) },
	func(_ *row, x *result) string { return count(x.Overshoot) },
	func(_ *row, x *result) string { return count(x.Crashes) },
	func(_ *row, x *result) string { return count(x.FalseQuarantines) },
	func(r *row, x *result) string {
		if r.scenario.Surge == 0 {
			return "-"
		}
		// The first five seconds only fill the queues.
		return percent(x.Goodput(min(r.scenario.From+5*time.Second, r.scenario.To-time.Second), r.scenario.To))
	},
	func(r *row, x *result) string {
		if r.scenario.To == 0 || r.scenario.To+10*time.Second >= r.scenario.Length {
			return "-"
		}
		return percent(x.Kept(r.scenario.To+10*time.Second, r.scenario.Length))
	},
}
