package loadtest

import (
	"time"

	"goldcrestfork/policy/admission"
	"goldcrestfork/policy/picker"
)

// Modules says which decisions are the real ones; the others are the baseline.
type Modules struct {
	// Admission, or first in, first out without bound.
	Admission bool
	// Limit, or the configured slots whatever is measured.
	Limit bool
	// Cold start's limit, or the configured slots then as well.
	Cold bool
	// Picker, or round robin.
	Picker bool
	// LeastReported takes the endpoint with the least reported load in place of the picker.
	LeastReported bool
	// Retry budgets, or three attempts at once for all that may be repeated.
	Retry bool
	// Hedge lets a slow attempt have a second one beside it, from the same budget.
	Hedge bool
	// Outlier ejection, or none.
	Outlier bool
	// Poison quarantine, or none.
	Poison bool
}

// All is every module.
var All = Modules{Admission: true, Limit: true, Cold: true, Picker: true, Retry: true, Hedge: true, Outlier: true, Poison: true}

// Variant is a named choice of modules.
type Variant struct {
	Name string
	Modules
}

// Variants are all modules, all but one each, and none.
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

func without(drop func(*Modules)) Modules {
	m := All
	drop(&m)
	return m
}

// admitter is what a VM asks of its admission.
type admitter interface {
	SetCapacity(now time.Time, slots int)
	Offer(now time.Time, it admission.Item) admission.Verdict
	Next(now time.Time) (admission.Item, bool)
	Done(now time.Time, it admission.Item, elapsed time.Duration, actual float64)
	PutBack(now time.Time, it admission.Item)
	Remove(it admission.Item) bool
	Refused(now time.Time) []admission.Refusal
}

// fifo is the baseline of admission: first in, first out, without bound. Callers
// that hang up are taken out of it, as any server does.
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

func (f *fifo) Done(time.Time, admission.Item, time.Duration, float64) { f.running-- }

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

// onlyNamed is a filter for one endpoint: it makes a table follow an order that is
// decided outside of it.
type onlyNamed struct{ name string }

// Allow implements picker.RequestFilter.
func (o *onlyNamed) Allow(_ *picker.Request, e *picker.Endpoint) bool { return e.Name == o.name }
