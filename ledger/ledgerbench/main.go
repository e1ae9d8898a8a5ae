// Command ledgerbench measures the ledger against the platform's stand-in on one machine:
// requests and writes a second, batches and conflicts by the number of VMs (-section writers),
// by offered load (-section load) and under the platform's write limit (-section cap), and a
// shard's memory and bytes by the number of entries (-section state). A request is one that may
// run at most once; it takes two ledger operations, a claim and its outcome.
package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	"goldcrestfork/ledger"
	"goldcrestfork/standin/store"
)

type options struct {
	Section string        `default:"all" enum:"all,writers,cap,load,state" help:"What to measure."`
	Runs    int           `default:"3" help:"Runs of each row; the median by requests/s is shown."`
	Time    time.Duration `default:"2s" help:"Length of each run."`
	Callers int           `default:"400" help:"Callers at once, over all VMs."`
	Delay   time.Duration `default:"3ms" help:"Delay of each platform call."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Measures the ledger against the platform's stand-in."))
	sections := []struct {
		name string
		run  func(options) error
	}{{"writers", measureWriters}, {"cap", measureCap}, {"load", measureLoad}, {"state", measureState}}
	for _, s := range sections {
		if o.Section != "all" && o.Section != s.name {
			continue
		}
		if err := s.run(o); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

// mode is a configuration of the ledgers: whether they forward to a shard's owner, commit in
// groups and limit their writes.
type mode struct {
	name                        string
	forwardToOwner, groupCommit bool
	writesPerSecond             float64 // limit for all shards together; negative: none
}

// fleet is a set of VMs with ledgers over one store.
type fleet struct {
	store    *store.Store
	ledgers  map[string]*ledger.Ledger
	names    []string
	registry *prometheus.Registry
}

func newFleet(vms int, m mode, delay time.Duration, writeLimit float64) *fleet {
	f := &fleet{store: store.New(), ledgers: map[string]*ledger.Ledger{}, registry: prometheus.NewRegistry()}
	f.store.SetFaults(store.Faults{Delay: delay})
	f.store.SetRateLimits(writeLimit, 0)
	for i := range vms {
		name := "vm" + strconv.Itoa(i)
		f.names = append(f.names, name)
		var forward ledger.Forwarder
		if m.forwardToOwner {
			forward = peer{f, name}
		}
		labelled := prometheus.WrapRegistererWith(prometheus.Labels{"vm": name}, f.registry)
		f.ledgers[name] = ledger.New(f.store, forward, labelled, ledger.Settings{
			VM: name, Incarnation: 1, WritesPerSecond: m.writesPerSecond, NoGroupCommit: !m.groupCommit,
		})
	}
	return f
}

// peer is a VM's connection to the others within one process. Owners are chosen by rendezvous
// hashing.
type peer struct {
	fleet *fleet
	self  string
}

func (p peer) Owner(shard int) (string, bool) {
	best, bestScore := "", uint64(0)
	for _, name := range p.fleet.names {
		if score := xxhash.Sum64String(name + "/" + strconv.Itoa(shard)); score >= bestScore {
			best, bestScore = name, score
		}
	}
	return best, best == p.self
}

func (p peer) Forward(ctx context.Context, vm string, body []byte) ([]byte, error) {
	return p.fleet.ledgers[vm].HandlePeer(ctx, body)
}

// counterTotal returns the sum over all VMs of a counter, or of a histogram's values. If label
// is set, it only includes metrics with this value of the label.
func (f *fleet) counterTotal(name, label, value string) float64 {
	families, err := f.registry.Gather()
	if err != nil {
		return 0
	}
	total := 0.0
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, m := range family.GetMetric() {
			match := label == ""
			for _, l := range m.GetLabel() {
				match = match || l.GetName() == label && l.GetValue() == value
			}
			if match && m.GetHistogram() != nil {
				total += m.GetHistogram().GetSampleSum()
			} else if match {
				total += m.GetCounter().GetValue()
			}
		}
	}
	return total
}
