package gather

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"goldcrestfork/policy/rollout"
)

// Interval is the time between a VM's reports and between a data centre's digests
// with one roll-out under way. It equals the interval of the controller's rounds; a
// longer one would expose callers to a bad version for that much longer.
const Interval = time.Second

// ReportInterval returns the time between reports and between digests for a number of
// roll-outs under way. It grows in proportion to them, so that the bytes per second
// stay the same.
func ReportInterval(rollOuts int) time.Duration { return Interval * time.Duration(max(1, rollOuts)) }

// staleAfter returns the age from which a report or digest counts as missing, that is
// after three lost ones in a row.
func staleAfter(rollOuts int) time.Duration { return 3 * ReportInterval(rollOuts) }

// Report holds the counts that one VM sends to the aggregating VM of its data centre
// every ReportInterval while a roll-out is under way. The Source of the counts is
// empty in the message; it is the VM.
type Report struct {
	// VM identifies the VM's incarnation.
	VM     string           `cbor:"1,keyasint"`
	Counts []rollout.Counts `cbor:"2,keyasint"`
}

// Digest holds one data centre's sums, which its aggregating VM sends to the
// candidates for the lease. The Source of the counts is empty in the message; it is
// the data centre.
type Digest struct {
	DataCentre string `cbor:"1,keyasint"`
	// Reporting is the number of VMs with a recent report, out of Expected live VMs.
	Reporting int              `cbor:"2,keyasint"`
	Expected  int              `cbor:"3,keyasint"`
	Counts    []rollout.Counts `cbor:"4,keyasint"`
}

// NewReport returns a VM's report with a copy of its recorder's counts.
func NewReport(vm string, counts []rollout.Counts) Report {
	r := Report{VM: vm, Counts: slices.Clone(counts)}
	for i := range r.Counts {
		r.Counts[i].Source = ""
	}
	return r
}

// Aggregator adds up the reports of one data centre's VMs. It is safe for concurrent use.
type Aggregator struct {
	dataCentre string

	mu         sync.Mutex
	reportedAt map[string]time.Time
	totals     map[string]*rollout.Totals
}

// NewAggregator returns an Aggregator without reports.
func NewAggregator(dataCentre string) *Aggregator {
	return &Aggregator{dataCentre: dataCentre, reportedAt: make(map[string]time.Time), totals: make(map[string]*rollout.Totals)}
}

// Add adds a VM's report. Duplicate and late reports leave the sums unchanged.
func (s *Aggregator) Add(r Report, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportedAt[r.VM] = now
	for _, c := range r.Counts {
		c.Source = r.VM
		t, ok := s.totals[c.RollOut]
		if !ok {
			t = &rollout.Totals{}
			s.totals[c.RollOut] = t
		}
		if c.Epoch > t.Epoch() {
			t.Reset(c.Epoch)
		}
		t.Add(c)
	}
}

// Digest returns the current sums. vms are the incarnations of the data centre's live
// VMs. rollOuts are the names of the roll-outs under way; the sums of all others are
// dropped.
func (s *Aggregator) Digest(vms, rollOuts []string, now time.Time) Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, maxAge := Digest{DataCentre: s.dataCentre, Expected: len(vms)}, staleAfter(len(rollOuts))
	for _, vm := range vms {
		if at, ok := s.reportedAt[vm]; ok && now.Sub(at) <= maxAge {
			d.Reporting++
		}
	}
	maps.DeleteFunc(s.reportedAt, func(_ string, at time.Time) bool { return now.Sub(at) > maxAge })
	maps.DeleteFunc(s.totals, func(name string, _ *rollout.Totals) bool { return !slices.Contains(rollOuts, name) })
	for _, name := range slices.Sorted(maps.Keys(s.totals)) {
		t := s.totals[name]
		from, to := t.Sum()
		d.Counts = append(d.Counts, rollout.Counts{RollOut: name, Epoch: t.Epoch(), From: from, To: to})
	}
	return d
}

// Collector holds the latest digest of each data centre. It is safe for concurrent use.
type Collector struct {
	// dataCentres returns the names of the data centres with live VMs.
	dataCentres func() []string

	mu      sync.Mutex
	digests map[string]received
}

type received struct {
	digest Digest
	at     time.Time
}

// NewCollector returns an empty Collector. dataCentres returns the names of the data
// centres with live VMs, including those out of service, whose sessions continue.
func NewCollector(dataCentres func() []string) *Collector {
	return &Collector{dataCentres: dataCentres, digests: make(map[string]received)}
}

// Add replaces the digest of a data centre.
func (c *Collector) Add(d Digest, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.digests[d.DataCentre] = received{d, now}
}

// Counts returns the counts of all digests, including old ones, since their requests
// did take place. complete reports whether the digest of every data centre is recent
// and includes all of its VMs.
func (c *Collector) Counts(context.Context) (counts []rollout.Counts, complete bool) {
	expected, now := c.dataCentres(), time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	complete = len(expected) > 0 && len(c.missing(expected, now)) == 0
	for _, name := range slices.Sorted(maps.Keys(c.digests)) {
		for _, n := range c.digests[name].digest.Counts {
			n.Source = name
			counts = append(counts, n)
		}
	}
	return counts, complete
}

// Missing returns the names of the data centres whose counts are incomplete, for the
// state dump.
func (c *Collector) Missing() []string {
	expected, now := c.dataCentres(), time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.missing(expected, now)
}

// missing returns the expected data centres whose digest is absent, is old or lacks a
// VM. Callers hold c.mu.
func (c *Collector) missing(expected []string, now time.Time) []string {
	var out []string
	for _, name := range expected {
		r, ok := c.digests[name]
		if !ok || now.Sub(r.at) > staleAfter(len(r.digest.Counts)) || r.digest.Reporting < r.digest.Expected {
			out = append(out, name)
		}
	}
	return out
}
