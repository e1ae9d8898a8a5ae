// Package order is a stand-in for the interface by which a model engine receives orders to
// load versions and to change its role. An endpoint checks fencing numbers or ignores them.
// Orders can be delayed, so that they take effect after their sender's timeout.
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

// Order names all versions that the endpoint should load, and its role. An order replaces the
// previous one as a whole.
type Order struct {
	// Fence is the order's fencing number; a higher one is newer.
	Fence    int64
	Versions []string
	Role     string
}

// Report is the state that an endpoint reports.
type Report struct {
	// Incarnation is 1 at first and increases by one at each restart.
	Incarnation int
	// Fence is the highest fencing number of the orders applied in this incarnation.
	Fence    int64
	Versions []string
	Role     string
}

// Errors of Endpoint.Order and Endpoint.Report.
var (
	// ErrFenced reports an order whose fencing number is lower than one applied before.
	ErrFenced = errors.New("order with an old fencing number")
	// ErrDown reports that the endpoint can't be reached; the order had no effect.
	ErrDown = errors.New("endpoint down")
)

// Faults are the faults that an endpoint simulates.
type Faults struct {
	// Down makes orders and reports fail with ErrDown.
	Down bool
	// Delay is the time that an order is in flight; its sender's timeout may be shorter.
	Delay time.Duration
	// LoseReplies is the number of further orders that take effect but fail with
	// context.DeadlineExceeded, as if their reply were lost.
	LoseReplies int
}

// Endpoint is a stand-in for one engine's interface for orders. It is safe for concurrent use.
type Endpoint struct {
	fenced bool

	mu     sync.Mutex
	faults Faults
	report Report
	// applied counts the orders that took effect, changed those of them that changed the
	// versions or the role, and refused those with an old fencing number.
	applied, changed, refused int
}

// New returns an endpoint in its first incarnation; fenced says whether it checks fencing
// numbers.
func New(fenced bool) *Endpoint { return &Endpoint{fenced: fenced, report: Report{Incarnation: 1}} }

// SetFaults replaces the faults in force for orders sent from now on.
func (e *Endpoint) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Restart begins a new incarnation without versions, role and fencing number, as an engine
// does.
func (e *Endpoint) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report = Report{Incarnation: e.report.Incarnation + 1}
}

// Order sends an order. If ctx ends first, the order stays in flight and still takes effect.
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
		time.Sleep(faults.Delay)
		done <- e.apply(o)
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

// apply applies an order, or refuses it if its fencing number is old.
func (e *Endpoint) apply(o Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced && o.Fence < e.report.Fence {
		e.refused++
		return ErrFenced
	}
	e.applied++
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

// Counts returns the numbers of orders that took effect, that changed something, and that were
// refused for their fencing number.
func (e *Endpoint) Counts() (applied, changed, refused int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.applied, e.changed, e.refused
}
