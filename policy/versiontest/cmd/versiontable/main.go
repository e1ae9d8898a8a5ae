// Command versiontable prints the measurements of the decisions on model versions
// and of their baselines, as recorded in docs/DECISIONS-versions.md.
package main

import (
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"goldcrestfork/policy/versiontest"
)

type options struct {
	Seed     uint64 `help:"First seed." default:"4101"`
	Requests int    `help:"Requests of a cascade play." default:"100000"`
	RollOuts int    `help:"Roll-outs of a case." default:"400"`
	Returns  int    `help:"Data centre returns of a ramp." default:"9"`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Measure the decisions on versions beside their baselines."))
	cascades(o)
	rollOuts(o)
	returns(o)
}

func table(title string, columns string) *tabwriter.Writer {
	fmt.Printf("\n%s\n", title)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, columns)
	return w
}

func cascades(o options) {
	w := table("Cascade", "mix\tstrategy\tcost of always best\tmean quality\tbelow target\ttries for nothing")
	for _, m := range versiontest.Mixes() {
		for _, s := range versiontest.Strategies() {
			r := versiontest.SimulateCascade(m, s, o.Requests, o.Seed)
			_, _ = fmt.Fprintf(w, "%s\t%s\t%.1f%%\t%.3f\t%.2f%%\t%.2f\n",
				m.Name, s.Name, 100*r.Cost, r.Quality, 100*r.Below, r.Discarded)
		}
	}
	_ = w.Flush()
}

func rollOuts(o options) {
	w := table("Roll-out, steps 5, 25, 50, 100%",
		"new version\tstopped\tdone\tin first step\texposed median\tp95\tmax\tshare of a day, max\tfixed schedule")
	for _, c := range versiontest.Cases() {
		var stopped, done, first int
		var exposed []int
		var share float64
		for i := range o.RollOuts {
			r := versiontest.SimulateRollOut(c, true, o.Seed+uint64(i))
			if r.Stopped {
				stopped++
				if r.Steps == 0 {
					first++
				}
			}
			if r.Done {
				done++
			}
			exposed = append(exposed, r.Exposed)
			share = max(share, r.Share)
		}
		slices.Sort(exposed)
		n := len(exposed)
		if c.Equal() {
			_, _ = fmt.Fprintf(w, "%s\t%d/%d\t%d\t%d\t-\t-\t-\t-\t-\n", c.Name, stopped, n, done, first)
			continue
		}
		base := versiontest.SimulateRollOut(c, false, o.Seed)
		_, _ = fmt.Fprintf(w, "%s\t%d/%d\t%d\t%d\t%d\t%d\t%d\t%.3f%%\t%.0f%%\n", c.Name, stopped, n, done, first,
			exposed[n/2], exposed[n*95/100], exposed[n-1], 100*share, 100*base.Share)
	}
	_ = w.Flush()
}

func returns(o options) {
	w := table("Data centre return, median by completed of several seeds",
		"ramp\twithin deadline\tworst second\tp99\tlate")
	for _, ramp := range []time.Duration{0, 15 * time.Second, 30 * time.Second, time.Minute, 2 * time.Minute} {
		var all []versiontest.ReturnResult
		for i := range o.Returns {
			all = append(all, versiontest.SimulateReturn(ramp, o.Seed+uint64(i)))
		}
		slices.SortFunc(all, func(a, b versiontest.ReturnResult) int { return b.Late - a.Late })
		r := all[len(all)/2]
		_, _ = fmt.Fprintf(w, "%s\t%.2f%%\t%.1f%%\t%s\t%d\n", ramp, 100*r.Completed, 100*r.Worst, r.P99, r.Late)
	}
	_ = w.Flush()
}
