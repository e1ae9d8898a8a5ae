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
				if wanted(o.Workload, w.Name) && wanted(o.Scenario, s.Name) && o.takes(s, v) {
					rows = append(rows, &row{w, s, v, make([]*loadtest.Result, len(o.Seed))})
				}
			}
		}
	}
	return rows
}

// takes reports whether the variant is run for the pattern.
func (o *options) takes(s loadtest.Scenario, v loadtest.Variant) bool {
	if o.Every || len(o.Variant) > 0 {
		return wanted(o.Variant, v.Name)
	}
	return v.Name == "all" || v.Name == "none" || slices.Contains(s.About, v.Name)
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
