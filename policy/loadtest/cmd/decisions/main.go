// Command decisions measures the decisions of the policy packages under load. It
// prints one table in which each load pattern is run with all modules, without
// single modules, and with none, with the same seeds.
package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/alecthomas/kong"
	"goldcrestfork/policy/loadtest"
)

type options struct {
	Workload []string `help:"Workloads to run (cluj, norte)." default:"cluj,norte"`
	Scenario []string `help:"Load patterns to run; all by default."`
	Variant  []string `help:"Variants to run; those that the pattern is about by default."`
	Every    bool     `help:"Run every variant of every pattern."`
	Seed     []uint64 `help:"Seeds; figures are given for each, parted by a slash." default:"11,23"`
	Workers  int      `help:"Runs at once." default:"4"`
}

// row is one line of the table: a pattern and a variant with all seeds.
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

func selected(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

func (o *options) rows() []*row {
	var rows []*row
	for _, w := range []loadtest.Workload{loadtest.Cluj, loadtest.Norte} {
		for _, s := range loadtest.Scenarios {
			for _, v := range loadtest.Variants {
				if selected(o.Workload, w.Name) && selected(o.Scenario, s.Name) && o.selects(s, v) {
					rows = append(rows, &row{w, s, v, make([]*loadtest.Result, len(o.Seed))})
				}
			}
		}
	}
	return rows
}

// selects reports whether the variant is run for the pattern.
func (o *options) selects(s loadtest.Scenario, v loadtest.Variant) bool {
	if o.Every || len(o.Variant) > 0 {
		return selected(o.Variant, v.Name)
	}
	return v.Name == "all" || v.Name == "none" || slices.Contains(s.RelevantVariants, v.Name)
}

// measure runs each row with each seed. Each run uses one goroutine.
func (o *options) measure(rows []*row) {
	var wg sync.WaitGroup
	workerSlots := make(chan struct{}, max(o.Workers, 1))
	for _, r := range rows {
		for i, seed := range o.Seed {
			workerSlots <- struct{}{}
			wg.Go(func() {
				defer func() { <-workerSlots }()
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
		if title := r.workload.Name + ": " + r.scenario.Name; title != last {
			last = title
			fmt.Fprintf(t, "\n%s\n", title)
			fmt.Fprintln(t, head(columns))
		}
		fmt.Fprintln(t, strings.Join(r.cells(), "\t"))
	}
}

func head(columns []column) string {
	names := []string{"variant"}
	for _, c := range columns {
		names = append(names, c.name)
	}
	return strings.Join(names, "\t")
}

func (r *row) cells() []string {
	cells := []string{r.variant.Name}
	for _, c := range columns {
		var parts []string
		for _, res := range r.results {
			parts = append(parts, c.value(r, res))
		}
		cells = append(cells, strings.Join(parts, "/"))
	}
	return cells
}
