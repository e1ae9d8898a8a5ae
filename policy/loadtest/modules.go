package loadtest

import (
	"time"

	"goldcrestfork/policy/admission"
	"goldcrestfork/policy/picker"
)

// Modules selects the real implementation of each decision; a false field selects
// the baseline.
type Modules struct {
	// Admission enables the admission queue. The baseline is an unbounded first-in,
	// first-out queue.
	Admission bool
	// Limit enables the adaptive limit. The baseline always uses the configured
	// slots.
	Limit bool
	// Cold enables the lower limit during cold start. The baseline uses the
	// configured slots.
	Cold bool
	// Picker enables the endpoint picker. The baseline is round robin.
	Picker bool
	// LeastReported replaces the picker by the choice of the endpoint with the
	// least reported load.
	LeastReported bool
	// Retry enables retry budgets. The baseline makes up to three attempts without
	// delay for each idempotent request.
	Retry bool
	// Hedge starts a second attempt in parallel to a slow one, from the same
	// budget.
	Hedge bool
	// Outlier enables the ejection of outliers. The baseline ejects no endpoint.
	Outlier bool
	// Poison enables the quarantine of poison requests. The baseline quarantines
	// none.
	Poison bool
}

// All enables every module.
var All = Modules{Admission: true, Limit: true, Cold: true, Picker: true, Retry: true, Hedge: true, Outlier: true, Poison: true}

// Variant is a named selection of modules.
type Variant struct {
	Name string
	Modules
}

// Variants are all modules, all modules but one, and no modules.
var Variants = []Variant{
	{"all", All},
	{"no admission", without(func(m *Modules) { m.Admission = false })},
	{"no limit", without(func(m *Modules) { m.Limit = false })},
	{"no cold limit", without(func(m *Modules) { m.Cold = false })},
	{"no picker", without(func(m *Modules) { m.Picker = false })},
	{"least reported", without(func(m *Modules) { m.Picker, m.LeastReported = false, true })},
	{"no retry budget", without(func(m *Modules) { m.Retry, m.Hedge = false, false })},
	{"no hedge", without(func(m *Modules) { m.Hedge = false })},
	{"no outlier", without(func(m *Modules) { m.Outlier = false })},
	{"no poison", without(func(m *Modules) { m.Poison = false })},
	{"none", Modules{}},
}

// without returns All after the change drop.
func without(drop func(*Modules)) Modules {
	m := All
	drop(&m)
	return m
}

// admissionQueue is the part of the admission module that a VM uses.
type admissionQueue interface {
	SetCapacity(now time.Time, slots int)
	Offer(now time.Time, it admission.Item) admission.Verdict
	Next(now time.Time) (admission.Item, bool)
	Release(now time.Time, it admission.Item, elapsed time.Duration, actual float64)
	PutBack(now time.Time, it admission.Item)
	Remove(it admission.Item) bool
	Refused(now time.Time) []admission.Refusal
}

// fifo is the baseline of admission: an unbounded first-in, first-out queue. Calls
// whose callers disconnect are removed, as in any server.
type fifo struct {
	capacity, running int
	items             []admission.Item
}

func (f *fifo) SetCapacity(_ time.Time, slots int) { f.capacity = slots }

func (f *fifo) Offer(_ time.Time, it admission.Item) admission.Verdict {
	if f.running < f.capacity && len(f.items) == 0 {
		f.running++
		return admission.Verdict{Outcome: admission.Run}
	}
	f.items = append(f.items, it)
	return admission.Verdict{Outcome: admission.Queued}
}

func (f *fifo) Next(time.Time) (admission.Item, bool) {
	if f.running >= f.capacity || len(f.items) == 0 {
		return admission.Item{}, false
	}
	it := f.items[0]
	f.items = f.items[1:]
	f.running++
	return it, true
}

func (f *fifo) Release(time.Time, admission.Item, time.Duration, float64) { f.running-- }

func (f *fifo) PutBack(_ time.Time, it admission.Item) {
	f.running--
	f.items = append([]admission.Item{it}, f.items...)
}

func (f *fifo) Remove(it admission.Item) bool {
	for i, x := range f.items {
		if x.ID == it.ID {
			f.items = append(f.items[:i:i], f.items[i+1:]...)
			return true
		}
	}
	return false
}

func (f *fifo) Refused(time.Time) []admission.Refusal { return nil }

// nameFilter allows one endpoint only. It makes a picker.Table return an
// endpoint that was chosen outside of it.
type nameFilter struct{ name string }

// Allow implements picker.RequestFilter.
func (o *nameFilter) Allow(_ *picker.Request, e *picker.Endpoint) bool { return e.Name == o.name }
