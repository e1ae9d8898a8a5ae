package rollout

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"goldcrestfork/config"
)

// Tally is what one version's requests came to.
type Tally struct {
	// Requests that ended, whatever the outcome.
	Requests uint64 `cbor:"1,keyasint" json:"requests"`
	// Errors are keys with a request that the version's endpoints failed.
	Errors uint64 `cbor:"2,keyasint" json:"errors"`
	// Slow are keys with a request whose first token came later than the model's bound.
	Slow uint64 `cbor:"3,keyasint" json:"slow"`
	// Rated are answers with a rating, Poor keys with one rated below the account's target.
	Rated uint64 `cbor:"4,keyasint" json:"rated"`
	Poor  uint64 `cbor:"5,keyasint" json:"poor"`
}

// raise takes the larger of each count.
func (t *Tally) raise(o Tally) {
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

// Counts are one source's tallies of one roll-out's epoch.
type Counts struct {
	// Source names who counted: a VM's incarnation, or the data centre of an
	// aggregate. Sources that are added up must count different requests.
	Source string `cbor:"1,keyasint,omitempty" json:"source"`
	// RollOut is the roll-out's name, Epoch its configuration revision.
	RollOut string `cbor:"2,keyasint" json:"rollOut"`
	Epoch   int64  `cbor:"3,keyasint" json:"epoch"`
	From    Tally  `cbor:"4,keyasint" json:"from"`
	To      Tally  `cbor:"5,keyasint" json:"to"`
}

// Totals adds up reports by source. Of one source's reports the larger of each
// count is taken: a VM's only grow, and of a data centre's, which shrink where its
// first VM was replaced and the counts of VMs that are gone went with it, each is
// a part of what took place. So no total ever shrinks; a window of the comparison
// that began before would otherwise hold fewer than no events. A source's
// reports stay when it is gone. Not safe for concurrent use.
type Totals struct {
	epoch   int64
	reports map[string]Counts
}

// Reset starts an epoch; reports of another one are ignored from then on.
func (t *Totals) Reset(epoch int64) {
	t.epoch = epoch
	t.reports = make(map[string]Counts)
}

// Epoch returns the epoch in force.
func (t *Totals) Epoch() int64 { return t.epoch }

// Add takes a report; doubled, late and crossed ones change nothing.
func (t *Totals) Add(c Counts) {
	if c.Epoch != t.epoch {
		return
	}
	known := t.reports[c.Source]
	c.From.raise(known.From)
	c.To.raise(known.To)
	t.reports[c.Source] = c
}

// Sum returns the totals of both versions.
func (t *Totals) Sum() (from, to Tally) {
	for _, c := range t.reports {
		from.add(c.From)
		to.add(c.To)
	}
	return from, to
}

// Outcome is how one request ended, for the comparison.
type Outcome struct {
	// Failed: the endpoint failed it. A caller that went away and a refusal for
	// want of room are not the version's doing and aren't recorded.
	Failed bool
	// Slow: the first token came later than the model's bound.
	Slow bool
}

// maxBadKeys bounds the remembered keys with a bad event, a roll-out. Grounds:
// at 31 requests a second of a VM (12,000 over 400), 2 in 100 of them bad, two hours' worth.
const maxBadKeys = 4096

// Recorder counts the outcomes of one VM. Safe for concurrent use.
type Recorder struct {
	source string

	mu       sync.Mutex
	rollOuts map[string]*recording
}

type recording struct {
	counts Counts
	// bad remembers which keys had which bad event.
	bad *lru.Cache[badEvent, struct{}]
}

type badEvent struct {
	key    uint64
	signal Signal
}

// NewRecorder returns a Recorder; source names this incarnation of the VM, so
// that a replaced VM's counts are added to its predecessor's, not lost in them.
func NewRecorder(source string) *Recorder {
	return &Recorder{source: source, rollOuts: make(map[string]*recording)}
}

// Request records how a request that Choose placed by key has ended. r is the
// roll-out at the revision of the choice.
//
// Of one key, each kind of bad event counts once an epoch. A session that fails
// fails as a whole, and a request that crashes each endpoint that runs it is sent
// again by its caller; each time the key falls on the same side. Counted each
// time, a few such keys would look like a bad version.
func (c *Recorder) Request(r *config.RollOut, arm Arm, key string, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.recording(r)
	tally := rec.tally(arm)
	if tally == nil {
		return
	}
	tally.Requests++
	if o.Failed && rec.first(key, SignalErrors) {
		tally.Errors++
	}
	if o.Slow && rec.first(key, SignalSlow) {
		tally.Slow++
	}
}

// Rating records the rating of an answer; poor is a rating below the account's target.
func (c *Recorder) Rating(r *config.RollOut, arm Arm, key string, poor bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.recording(r)
	tally := rec.tally(arm)
	if tally == nil {
		return
	}
	tally.Rated++
	if poor && rec.first(key, SignalRatings) {
		tally.Poor++
	}
}

// first says whether the key has this bad event for the first time.
func (r *recording) first(key string, signal Signal) bool {
	seen, _ := r.bad.ContainsOrAdd(badEvent{xxhash.Sum64String(key), signal}, struct{}{})
	return !seen
}

// Counts returns the reports on the roll-outs under way in s, and forgets the others.
func (c *Recorder) Counts(s *config.Snapshot) []Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Counts
	for name, rec := range c.rollOuts {
		r, ok := s.RollOuts[name]
		if !ok || !UnderWay(r) {
			delete(c.rollOuts, name)
			continue
		}
		out = append(out, rec.counts)
	}
	return out
}

// recording returns the epoch's recording; nil for an answer of an older epoch.
// Callers hold c.mu.
func (c *Recorder) recording(r *config.RollOut) *recording {
	rec, ok := c.rollOuts[r.Name]
	if ok && rec.counts.Epoch > r.Revision {
		return nil
	}
	if !ok || rec.counts.Epoch < r.Revision {
		bad, err := lru.New[badEvent, struct{}](maxBadKeys)
		if err != nil {
			panic(err) // only a size below one fails
		}
		rec = &recording{
			counts: Counts{Source: c.source, RollOut: r.Name, Epoch: r.Revision},
			bad:    bad,
		}
		c.rollOuts[r.Name] = rec
	}
	return rec
}

func (r *recording) tally(arm Arm) *Tally {
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
