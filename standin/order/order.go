// Package order is a stand-in for the side of a model engine that takes orders:
// to load versions and to change role. It checks fencing numbers or ignores
// them, and orders can be late: their sender gives up, their effect comes later.
//
// Lock order: Endpoint.mu is a leaf.
package order

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// Order is absolute: it names all versions that should be loaded.
type Order struct {
	// Fence is the fencing number.
	Fence    int64
	Versions []string
	Role     string
}

// Report is what the endpoint says of itself.
type Report struct {
	// Incarnation grows with each restart.
	Incarnation int
	// Fence is the highest fencing number obeyed in this incarnation.
	Fence    int64
	Versions []string
	Role     string
}

// Errors of an endpoint.
var (
	// ErrFenced: the order's fencing number is older than one obeyed before.
	ErrFenced = errors.New("order with an old fencing number")
	// ErrDown: the endpoint can't be reached; the order had no effect.
	ErrDown = errors.New("endpoint down")
)

// Faults is what goes wrong, from the moment it is set.
type Faults struct {
	// Down: orders and reports fail.
	Down bool
	// Late is the time an order spends on its way; its sender may give up earlier.
	Late time.Duration
	// LoseReplies is the number of further orders that take effect and whose reply is lost.
	LoseReplies int
}

// Endpoint is one engine.
type Endpoint struct {
	fenced bool

	mu     sync.Mutex
	faults Faults
	report Report
	// Taken counts orders that took effect, changed those that changed anything.
	taken, changed, refused int
}

// New returns an endpoint that checks fencing numbers or not.
func New(fenced bool) *Endpoint { return &Endpoint{fenced: fenced, report: Report{Incarnation: 1}} }

// SetFaults replaces the faults in force for orders sent from now on.
func (e *Endpoint) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Restart loses what was loaded and the fencing number, as an engine does.
func (e *Endpoint) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report = Report{Incarnation: e.report.Incarnation + 1}
}

// Order sends an order. When ctx ends first, the order stays on its way.
func (e *Endpoint) Order(ctx context.Context, o Order) error {
	e.mu.Lock()
	faults := e.faults
	lost := faults.LoseReplies > 0
	if lost {
		e.faults.LoseReplies--
	}
	e.mu.Unlock()
	if faults.Down {
		return ErrDown
	}
	done := make(chan error, 1)
	go func() {
		time.Sleep(faults.Late)
		done <- e.take(o)
	}()
	select {
	case err := <-done:
		if lost {
			return context.DeadlineExceeded
		}
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *Endpoint) take(o Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced && o.Fence < e.report.Fence {
		e.refused++
		return ErrFenced
	}
	e.taken++
	if !slices.Equal(e.report.Versions, o.Versions) || e.report.Role != o.Role {
		e.changed++
	}
	e.report.Fence = max(e.report.Fence, o.Fence)
	e.report.Versions, e.report.Role = slices.Clone(o.Versions), o.Role
	return nil
}

// Report returns the endpoint's state.
func (e *Endpoint) Report(context.Context) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Down {
		return Report{}, ErrDown
	}
	r := e.report
	r.Versions = slices.Clone(r.Versions)
	return r, nil
}

// Counts returns how many orders took effect, changed something, were refused.
func (e *Endpoint) Counts() (taken, changed, refused int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.taken, e.changed, e.refused
}
