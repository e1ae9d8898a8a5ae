package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"goldcrestfork/policy/retry"
)

// budgets bounds the extra attempts at each service over all VMs.
type budgets struct {
	n        *Node
	mu       sync.Mutex
	length   time.Duration // of the windows
	windows  map[string]*retry.FleetWindow
	slack    *retry.SlackPart
	decided  map[string]*decisions // since the last report, by service
	reported time.Duration         // bootClock time of the last report
}

// decisions are what a window decided on extra attempts of a service.
type decisions struct {
	granted, denied, returned int
	last                      retry.Use
	vms                       int // that share the slack, as of the last decision
}

// budgetReportInterval is the time between two log lines on the extra attempts of a service.
const budgetReportInterval = time.Second

func newBudgets(n *Node) *budgets {
	return &budgets{n: n, slack: retry.NewSlackPart(n.startedAt), windows: make(map[string]*retry.FleetWindow), decided: make(map[string]*decisions)}
}

// window returns the window of a service, with the bounds in force.
func (b *budgets) window(service string) *retry.FleetWindow {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.n.bounds()
	if s.RetryWindow != b.length {
		if b.length != 0 {
			// The counts are lost, as with a restart.
			b.slack = retry.NewSlackPart(bootClock())
		}
		b.length = s.RetryWindow
		clear(b.windows)
	}
	w := b.windows[service]
	if w == nil {
		w = retry.NewFleetWindow(s.RetryWindow, s.RetryRatio, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		b.windows[service] = w
	}
	w.SetRatio(s.RetryRatio)
	return w
}

// RecordFirst implements forward.RetryBudget.
func (b *budgets) RecordFirst(service string) { b.window(service).RecordFirst(bootClock()) }

// TakeExtra implements forward.RetryBudget.
func (b *budgets) TakeExtra(service string) (retry.Use, bool) {
	now, bounds, vms := bootClock(), b.n.bounds(), b.n.slackSharers()
	w := b.window(service)
	b.mu.Lock()
	defer b.mu.Unlock()
	use, ok := w.TakeExtra(now, b.slack.Of(now, bounds.RetryWindow, bounds.RetrySlack, vms))
	d := b.decisions(service)
	d.last, d.vms = use, vms
	if ok {
		d.granted++
	} else {
		d.denied++
	}
	return use, ok
}

// ReturnExtra implements forward.RetryBudget.
func (b *budgets) ReturnExtra(service string, u retry.Use) {
	b.window(service).ReturnExtra(bootClock(), u)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decisions(service).returned++
}

// decisions returns those of a service since the last report. Callers hold b.mu.
func (b *budgets) decisions(service string) *decisions {
	d := b.decided[service]
	if d == nil {
		d = new(decisions)
		b.decided[service] = d
	}
	return d
}

// report logs a line for each service with decisions since the last report, once a second: the lines
// of requests are lost with the process that they end with.
func (b *budgets) report() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := bootClock()
	if now-b.reported < budgetReportInterval {
		return
	}
	b.reported = now
	for service, d := range b.decided {
		b.n.log.Info().Str("service", service).Int("granted", d.granted).Int("denied", d.denied).Int("returned", d.returned).
			Stringer("use", d.last).Int("vms", d.vms).Dur("uptime_ms", now-b.n.startedAt).Msg("extra attempts")
	}
	clear(b.decided)
}
