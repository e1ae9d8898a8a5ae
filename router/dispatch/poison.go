package dispatch

import (
	"time"

	"goldcrestfork/policy/poison"
)

// PoisonReport is what a VM tells another about requests and parts of prompts that crash endpoints, by
// pool.
type PoisonReport struct {
	Crashes map[string][]poison.Crash
	// Verdicts and PartVerdicts are the final decisions on requests and on parts.
	Verdicts, PartVerdicts map[string][]poison.Verdict
	// Answers are the answers of the reporting VM that their endpoints survived.
	Answers map[string]int
	// Objections are answers with parts that other VMs have decided against.
	Objections map[string][]poison.Part
	// KnownAnswers are the Answers of each of PartVerdicts, in their order.
	KnownAnswers map[string][]uint32
}

// IsEmpty reports whether there is nothing to tell.
func (r *PoisonReport) IsEmpty() bool {
	return len(r.Crashes)+len(r.Verdicts)+len(r.PartVerdicts)+len(r.Objections) == 0
}

// PoisonReport returns what other VMs are to be told. limit bounds the requests, and the verdicts of each
// pool, which are drawn at random if there are more.
func (d *Dispatcher) PoisonReport(maxAge time.Duration, limit int) *PoisonReport {
	r := &PoisonReport{
		Crashes: d.RecentCrashes(maxAge, limit), Verdicts: make(map[string][]poison.Verdict), PartVerdicts: make(map[string][]poison.Verdict), Answers: make(map[string]int), Objections: make(map[string][]poison.Part), KnownAnswers: make(map[string][]uint32),
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, ps := range d.pools {
		requests, parts := ps.tracker.Verdicts(now)
		d.addVerdicts(r.Verdicts, name, requests, limit)
		d.addVerdicts(r.PartVerdicts, name, parts, limit)
		if v := r.PartVerdicts[name]; len(v) > 0 {
			r.KnownAnswers[name] = poison.KnownAnswers(v)
		}
		if objections := ps.tracker.Objections(now); len(objections) > 0 {
			r.Objections[name] = objections[:min(len(objections), limit)]
		}
		if r.Crashes[name] != nil {
			r.Answers[name] = ps.tracker.Answers()
		}
	}
	return r
}

// PoisonVersion returns a number that changes with the crashes and the decisions on them.
func (d *Dispatcher) PoisonVersion() (version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, ps := range d.pools {
		version += ps.tracker.Version()
	}
	return version
}

// AddAge adds the time for which the report was kept to the ages in it.
func (r *PoisonReport) AddAge(by time.Duration) {
	poison.AddAge(by, r.Crashes, r.Objections, r.Verdicts, r.PartVerdicts)
}

// HasPools reports whether this VM has all pools that the report is about.
func (d *Dispatcher) HasPools(r *PoisonReport) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range r.Crashes {
		if d.pools[name] == nil {
			return false
		}
	}
	for name := range r.PartVerdicts {
		if d.pools[name] == nil {
			return false
		}
	}
	return true
}

// addVerdicts adds the verdicts of a pool to a report. Callers hold d.mu.
func (d *Dispatcher) addVerdicts(out map[string][]poison.Verdict, pool string, v []poison.Verdict, limit int) {
	if len(v) == 0 {
		return
	}
	d.rng.Shuffle(len(v), func(i, j int) { v[i], v[j] = v[j], v[i] })
	out[pool] = v[:min(len(v), limit)]
}

// MergePoison merges another VM's report.
func (d *Dispatcher) MergePoison(from string, r *PoisonReport) {
	d.MergeCrashes(r.Crashes)
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, ps := range d.pools {
		ps.tracker.MergeObjections(now, r.Objections[name])
		poison.SetKnownAnswers(r.PartVerdicts[name], r.KnownAnswers[name])
		ps.tracker.MergeVerdicts(now, r.Verdicts[name], r.PartVerdicts[name])
		if n, found := r.Answers[name]; found {
			ps.tracker.SetOtherAnswers(now, from, n)
		}
	}
}

// maxReportedParts bounds the parts of one crash in a report.
const maxReportedParts = 16

// RecentCrashes returns, by pool, the crashes that are at most maxAge old and have a known request.
// They have at most limit requests in total.
func (d *Dispatcher) RecentCrashes(maxAge time.Duration, limit int) map[string][]poison.Crash {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.poisonTurn++
	out := make(map[string][]poison.Crash)
	for name, ps := range d.pools {
		for _, c := range ps.tracker.Crashes(now) {
			if c.Age() <= maxAge && len(c.Requests) > 0 && limit > 0 {
				c.Requests = c.Requests[:min(len(c.Requests), limit)]
				c.Parts = poison.MostSuspect(c.Parts, maxReportedParts, d.poisonTurn)
				out[name] = append(out[name], c)
				limit -= len(c.Requests)
			}
		}
	}
	return out
}

// MergeCrashes merges the crashes that another VM reports.
func (d *Dispatcher) MergeCrashes(byPool map[string][]poison.Crash) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, crashes := range byPool {
		if ps := d.pools[name]; ps != nil {
			ps.tracker.Merge(now, crashes)
		}
	}
}

// fullLoad is the load, in thousandths, of a VM whose slots are all in use.
const fullLoad = 1000

// Load returns this VM's use of the slots assigned to it, in thousandths.
func (d *Dispatcher) Load() uint16 {
	d.mu.Lock()
	defer d.mu.Unlock()
	slots, running := 0, 0
	for _, e := range d.endpoints {
		slots += d.bounds(e).Slots
		running += len(e.running)
	}
	if slots == 0 {
		return 0
	}
	return uint16(min(fullLoad*running/slots, fullLoad))
}
