package rollout

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"goldcrestfork/config"
)

// Tally counts the outcomes of one version's requests.
type Tally struct {
	// Requests is the number of requests that ended, whatever the outcome.
	Requests uint64 `cbor:"1,keyasint" json:"requests"`
	// Errors is the number of keys with a request that the version's endpoints
	// failed.
	Errors uint64 `cbor:"2,keyasint" json:"errors"`
	// Slow is the number of keys with a request whose first token came later than
	// the model's bound.
	Slow uint64 `cbor:"3,keyasint" json:"slow"`
	// Rated is the number of answers with a rating. Poor is the number of keys with
	// an answer rated below the account's target.
	Rated uint64 `cbor:"4,keyasint" json:"rated"`
	Poor  uint64 `cbor:"5,keyasint" json:"poor"`
}

// mergeMax sets each count to the larger of t's and o's.
func (t *Tally) mergeMax(o Tally) {
	t.Requests = max(t.Requests, o.Requests)
	t.Errors = max(t.Errors, o.Errors)
	t.Slow = max(t.Slow, o.Slow)
	t.Rated = max(t.Rated, o.Rated)
	t.Poor = max(t.Poor, o.Poor)
}

func (t *Tally) add(o Tally) {
	t.Requests += o.Requests
	t.Errors += o.Errors
	t.Slow += o.Slow
	t.Rated += o.Rated
	t.Poor += o.Poor
}

// Counts holds one source's tallies for one epoch of a roll-out.
type Counts struct {
	// Source names the origin of the counts: a VM's incarnation, or the data centre
	// of an aggregate. Sources that are summed must count disjoint sets of
	// requests.
	Source string `cbor:"1,keyasint,omitempty" json:"source"`
	// RollOut is the roll-out's name, and Epoch its configuration revision.
	RollOut string `cbor:"2,keyasint" json:"rollOut"`
	Epoch   int64  `cbor:"3,keyasint" json:"epoch"`
	From    Tally  `cbor:"4,keyasint" json:"from"`
	To      Tally  `cbor:"5,keyasint" json:"to"`
}

// Totals sums the reports of all sources. For each source and count, Totals keeps
// the largest value reported. A VM's counts only grow. A data centre's counts shrink
// when the VM that aggregates them is replaced, because the counts of VMs that no
// longer run are lost with it; each report is still a part of the events that took
// place. A total therefore never shrinks; a window of the comparison that began
// before would otherwise hold a negative number of events. The reports of a source
// are kept when the source no longer reports.
//
// Totals is not safe for concurrent use.
type Totals struct {
	epoch   int64
	reports map[string]Counts
}

// Reset starts an epoch and drops all reports. Reports of other epochs are ignored
// from then on.
func (t *Totals) Reset(epoch int64) {
	t.epoch = epoch
	t.reports = make(map[string]Counts)
}

// Epoch returns the current epoch.
func (t *Totals) Epoch() int64 { return t.epoch }

// Add adds a report. Duplicate, late and reordered reports change nothing, and
// neither do reports of another epoch.
func (t *Totals) Add(c Counts) {
	if c.Epoch != t.epoch {
		return
	}
	known := t.reports[c.Source]
	c.From.mergeMax(known.From)
	c.To.mergeMax(known.To)
	t.reports[c.Source] = c
}

// Sum returns the totals of the old and the new version.
func (t *Totals) Sum() (from, to Tally) {
	for _, c := range t.reports {
		from.add(c.From)
		to.add(c.To)
	}
	return from, to
}

// Outcome describes how one request ended, as far as the comparison needs it.
type Outcome struct {
	// Failed says that the endpoint failed the request. A caller that disconnects
	// and a refusal for lack of capacity are not caused by the version and aren't
	// recorded.
	Failed bool
	// Slow says that the first token came later than the model's bound.
	Slow bool
}

// maxBadEvents bounds the remembered bad events of a roll-out. At 31 requests a
// second on each VM (12,000 over 400 VMs), with 2 in 100 bad, the bound covers
// about two hours.
const maxBadEvents = 4096

// Recorder counts the outcomes of the requests of one VM. It is safe for concurrent
// use.
type Recorder struct {
	source string

	mu      sync.Mutex
	records map[string]*epochRecord
}

// epochRecord holds the counts of one epoch of a roll-out.
type epochRecord struct {
	counts Counts
	// badEvents holds the pairs of key and signal that were counted already.
	badEvents *lru.Cache[badEvent, struct{}]
}

// badEvent identifies a bad event by the hash of its key and by its signal.
type badEvent struct {
	key    uint64
	signal Signal
}

// NewRecorder returns a Recorder. The source names this incarnation of the VM, so
// that the counts of a replacement VM are added to those of its predecessor instead
// of replacing them.
func NewRecorder(source string) *Recorder {
	return &Recorder{source: source, records: make(map[string]*epochRecord)}
}

// Request records the outcome of a request that Choose assigned by key. The
// argument r is the roll-out at the revision of the choice.
//
// Each kind of bad event counts once for a key and epoch. A session often fails as
// a whole, and a caller resends a request that crashes every endpoint that runs it;
// the key is assigned to the same version each time. If every repetition counted, a
// few such keys would look like a bad version.
func (c *Recorder) Request(r *config.RollOut, arm Arm, key string, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.record(r)
	tally := rec.tally(arm)
	if tally == nil {
		return
	}
	tally.Requests++
	if o.Failed && rec.firstOccurrence(key, SignalErrors) {
		tally.Errors++
	}
	if o.Slow && rec.firstOccurrence(key, SignalSlow) {
		tally.Slow++
	}
}

// Rating records the rating of an answer; poor says that the rating is below the
// account's target.
func (c *Recorder) Rating(r *config.RollOut, arm Arm, key string, poor bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.record(r)
	tally := rec.tally(arm)
	if tally == nil {
		return
	}
	tally.Rated++
	if poor && rec.firstOccurrence(key, SignalRatings) {
		tally.Poor++
	}
}

// firstOccurrence records a bad event and reports whether it is the first of its
// key and signal.
func (r *epochRecord) firstOccurrence(key string, signal Signal) bool {
	seen, _ := r.badEvents.ContainsOrAdd(badEvent{xxhash.Sum64String(key), signal}, struct{}{})
	return !seen
}

// Counts returns the reports on the roll-outs that are under way in s, and drops
// the others.
func (c *Recorder) Counts(s *config.Snapshot) []Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Counts
	for name, rec := range c.records {
		r, ok := s.RollOuts[name]
		if !ok || !UnderWay(r) {
			delete(c.records, name)
			continue
		}
		out = append(out, rec.counts)
	}
	return out
}

// record returns the record of the epoch of r, or nil if a later epoch is recorded
// already. Callers hold c.mu.
func (c *Recorder) record(r *config.RollOut) *epochRecord {
	rec, ok := c.records[r.Name]
	if ok && rec.counts.Epoch > r.Revision {
		return nil
	}
	if !ok || rec.counts.Epoch < r.Revision {
		bad, err := lru.New[badEvent, struct{}](maxBadEvents)
		if err != nil {
			panic(err) // only a size below one fails
		}
		rec = &epochRecord{
			counts:    Counts{Source: c.source, RollOut: r.Name, Epoch: r.Revision},
			badEvents: bad,
		}
		c.records[r.Name] = rec
	}
	return rec
}

// tally returns the tally of an arm, or nil if r is nil or the arm is ArmNone.
func (r *epochRecord) tally(arm Arm) *Tally {
	switch {
	case r == nil:
		return nil
	case arm == ArmFrom:
		return &r.counts.From
	case arm == ArmTo:
		return &r.counts.To
	}
	return nil
}
