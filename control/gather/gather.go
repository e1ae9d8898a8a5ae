package gather

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"goldcrestfork/policy/rollout"
)

// Interval is the time between a VM's reports and between a site's digests, with
// one roll-out under way. One second, as the controller's rounds: a longer one
// would expose callers to a bad version for as long.
const Interval = time.Second

// Every is the time between reports and digests with so many roll-outs under way.
// It grows with them, so that the bytes a second stay those of one.
func Every(rollOuts int) time.Duration { return Interval * time.Duration(max(1, rollOuts)) }

// stale is the age from which a report counts as missing: three lost ones in a row.
func stale(rollOuts int) time.Duration { return 3 * Every(rollOuts) }

// Report is what one VM sends to its site's first VM each Interval while a
// roll-out is under way. The counts' Source is left out on the way; it is the VM.
type Report struct {
	// VM names the VM's incarnation.
	VM     string           `cbor:"1,keyasint"`
	Counts []rollout.Counts `cbor:"2,keyasint"`
}

// Digest is what a site's first VM sends to the lease's candidates. The counts'
// Source is left out on the way; it is the data centre.
type Digest struct {
	DataCentre string `cbor:"1,keyasint"`
	// Heard of Expected VMs have reported lately.
	Heard    int              `cbor:"2,keyasint"`
	Expected int              `cbor:"3,keyasint"`
	Counts   []rollout.Counts `cbor:"4,keyasint"`
}

// NewReport returns a VM's report of its recorder's counts.
func NewReport(vm string, counts []rollout.Counts) Report {
	r := Report{VM: vm, Counts: slices.Clone(counts)}
	for i := range r.Counts {
		r.Counts[i].Source = ""
	}
	return r
}

// Site adds up one data centre's reports. Safe for concurrent use.
type Site struct {
	dataCentre string

	mu     sync.Mutex
	heard  map[string]time.Time
	totals map[string]*rollout.Totals
}

// NewSite returns an empty Site.
func NewSite(dataCentre string) *Site {
	return &Site{dataCentre: dataCentre, heard: make(map[string]time.Time), totals: make(map[string]*rollout.Totals)}
}

// Add takes a report; doubled and late ones change nothing.
func (s *Site) Add(r Report, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[r.VM] = now
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

// Digest adds up. vms are the incarnations of the data centre's live VMs; rollOuts are the
// names of those under way, the others are forgotten.
func (s *Site) Digest(vms, rollOuts []string, now time.Time) Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, old := Digest{DataCentre: s.dataCentre, Expected: len(vms)}, stale(len(rollOuts))
	for _, vm := range vms {
		if at, ok := s.heard[vm]; ok && now.Sub(at) <= old {
			d.Heard++
		}
	}
	maps.DeleteFunc(s.heard, func(_ string, at time.Time) bool { return now.Sub(at) > old })
	maps.DeleteFunc(s.totals, func(name string, _ *rollout.Totals) bool { return !slices.Contains(rollOuts, name) })
	for _, name := range slices.Sorted(maps.Keys(s.totals)) {
		t := s.totals[name]
		from, to := t.Sum()
		d.Counts = append(d.Counts, rollout.Counts{RollOut: name, Epoch: t.Epoch(), From: from, To: to})
	}
	return d
}

// Collector holds the latest digest of each data centre. Safe for concurrent use.
type Collector struct {
	// dataCentres returns the names of those that have live VMs.
	dataCentres func() []string

	mu      sync.Mutex
	digests map[string]received
}

type received struct {
	digest Digest
	at     time.Time
}

// NewCollector returns an empty Collector; dataCentres returns the names of
// those that have live VMs, also those that are out of service: their sessions go on.
func NewCollector(dataCentres func() []string) *Collector {
	return &Collector{dataCentres: dataCentres, digests: make(map[string]received)}
}

// Add takes a digest.
func (c *Collector) Add(d Digest, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.digests[d.DataCentre] = received{d, now}
}

// Counts returns all digests' counts, old ones too since what they count did
// happen, and whether every data centre's is recent and lacks no VM.
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

// Missing names the data centres whose counts are not complete, for the state dump.
func (c *Collector) Missing() []string {
	expected, now := c.dataCentres(), time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.missing(expected, now)
}

// missing returns the expected data centres whose digest is absent, old or lacks a VM. Callers hold c.mu.
func (c *Collector) missing(expected []string, now time.Time) []string {
	var out []string
	for _, name := range expected {
		r, ok := c.digests[name]
		if !ok || now.Sub(r.at) > stale(len(r.digest.Counts)) || r.digest.Heard < r.digest.Expected {
			out = append(out, name)
		}
	}
	return out
}
