package forward

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"goldcrestfork/gateway/catalog"
	"goldcrestfork/policy/placement"
	"goldcrestfork/policy/sizing"
)

// meanWorks holds the mean work of the largest model for the weak answers of each service. Its mutex
// is a leaf of the lock order.
type meanWorks struct {
	mu       sync.Mutex
	services map[string]*sizing.MeanWork
}

// relative returns a request's work relative to the mean of its service, and adds it to the mean.
func (m *meanWorks) relative(service string, work float64) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.services == nil {
		m.services = make(map[string]*sizing.MeanWork)
	}
	mean := m.services[service]
	if mean == nil {
		mean = &sizing.MeanWork{}
		m.services[service] = mean
	}
	return mean.Relative(work)
}

// largerModelUnderLoad is largerModel for a managed service.
func (c *call) largerModelUnderLoad(ctx context.Context, load endpointLoad, confidence int, known bool) (int, bool) {
	if !known || c.model >= len(c.route.Models)-1 {
		return c.model, false
	}
	c.confidence = confidence
	use, measured := c.capacityUse(ctx, confidence)
	now := time.Now()
	outlook := c.h.cfg.Table.EstimateWait(now, newRand(), c.requestForLargest())
	c.scarce = outlook.Scarce
	standing := c.standing()
	in := sizing.LoadInput{
		Input: sizing.Input{
			Models: c.route.Models, Current: c.model, Confidence: confidence, Known: known,
			Spent: now.Sub(c.start), Wait: outlook.Wait, Read: outlook.Read, TargetLatency: c.route.Target,
			AttemptsLeft: c.maxAttempts() - c.possibleRuns, Left: c.deadline.Sub(now), Total: c.timeout,
		},
		Rank: standing.Rank, Ranks: standing.Ranks, ShortestTarget: standing.ShortestTarget,
		CapacityUse: use, Measured: measured, Refusing: c.slots.gate != nil && c.slots.gate.Refusing(),
	}
	if in.Weak() {
		in.RelativeWork = c.h.meanWork.relative(c.service, c.largestWork(load.slots))
	}
	d := sizing.NextUnderLoad(in)
	c.sizingNote = fmt.Sprintf("%d,%d/%d,%d+%dms,use%.2f,p%.2f,t%.0f", confidence, load.inFlight(), load.slots, outlook.Wait.Milliseconds(), outlook.Read.Milliseconds(), use, d.Pressure, d.Threshold)
	if d.Kept != sizing.ReasonNone {
		c.keepWeak(d.Kept)
	}
	return d.Model, d.Escalate
}

// capacityUse returns the share of the capacity in use over the endpoints of the request's version.
// If the other VMs' load is too old, it is asked for once, for answers that may be dropped.
func (c *call) capacityUse(ctx context.Context, confidence int) (use float64, known bool) {
	r := c.requestForLargest()
	use, known = c.h.cfg.Table.CapacityUse(time.Now(), newRand(), r)
	if !known && confidence < sizing.MaxThreshold {
		c.h.cfg.Load.Refresh(ctx)
		use, known = c.h.cfg.Table.CapacityUse(time.Now(), newRand(), r)
	}
	return use, known
}

// requestForLargest describes the request for the largest model to package placement, among the
// versions of its last endpoint. The endpoints that were tried may run another model.
func (c *call) requestForLargest() *placement.Request {
	r := c.requestFor(c.version, len(c.route.Models)-1)
	r.Exclude = nil
	return r
}

// largestWork returns the work of the request for the largest model. Without the caller's estimate the
// most output tokens count, and without either only the prompt does.
func (c *call) largestWork(slots int) float64 {
	n := &c.h.cfg.Names
	promptText, mostText, _ := strings.Cut(c.r.Header.Get(n.TokenCounts), ",")
	prompt, output := parseCount(promptText), parseCount(c.r.Header.Get(n.LengthHint))
	if prompt == 0 {
		prompt = c.prompt.totalTokens
	}
	if output == 0 {
		output = parseCount(mostText)
	}
	models := len(c.route.Models)
	return sizing.RequestWork(models-1, models, prompt, output, slots)
}

// standing returns the standing of the request's priority at its service.
func (c *call) standing() catalog.Standing { return c.conf.Standing(c.service, c.priority) }

// mayUseGrant reports whether the request may use the retry budget's grant to drop the last answer, for
// managed services: the last parts of the budget are left to weaker answers and more urgent ranks.
func (c *call) mayUseGrant() bool {
	if c.grant == nil || !c.h.cfg.Table.Managed(c.service) {
		return true
	}
	standing := c.standing()
	return sizing.BudgetAllows(standing.Rank, standing.Ranks, c.confidence, c.grant.Share())
}

// keepWeak records why a weak answer of a managed service is passed on.
func (c *call) keepWeak(reason sizing.Reason) {
	if c.h.cfg.Table.Managed(c.service) {
		c.h.cfg.Metrics.weakKept.WithLabelValues(string(reason)).Inc()
		c.sizingNote += "," + string(reason)
	}
}
