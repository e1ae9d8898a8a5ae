package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"goldcrestfork/fleet/gossip"
	"goldcrestfork/gateway/forward"
	"goldcrestfork/policy/reach"
)

const (
	// probedEndpoints is the number of endpoints, drawn at random, that a VM probes at a time. After
	// the loss of most endpoints one of them is likely to be up.
	probedEndpoints = 4
	// pathCheckInterval is the time between two checks of a VM that probes or has lost its paths.
	pathCheckInterval = 50 * time.Millisecond
)

// paths tracks whether this VM reaches the endpoints, and chooses the VMs that requests go through if
// it doesn't. It implements upstream.Observer and forward.Detours.
type paths struct {
	n       *Node
	tracker *reach.Tracker
	detours *reach.Detours
	failed  chan struct{} // signals that an endpoint failed
}

func newPaths(n *Node) *paths {
	return &paths{n: n, tracker: reach.New(), detours: reach.NewDetours(), failed: make(chan struct{}, 1)}
}

// Needed implements forward.Detours.
func (p *paths) Needed(r reach.Request) bool { return p.tracker.NeedsDetour(r) }

// Next implements forward.Detours. It draws the VM at random, since the VMs that are left may be few;
// VMs in this VM's region come first.
func (p *paths) Next(service string, regions, tried []string) (forward.Peer, bool) {
	now := time.Now()
	if !p.detours.MayServe(now, service) {
		return forward.Peer{}, false
	}
	var near, far []gossip.Member
	for _, m := range p.n.gossip.Table().UsableWithPaths(bootClock(), "") {
		region := p.n.s.Regions[m.DataCentre]
		switch {
		case slices.Contains(tried, m.Name) || !p.detours.MayUse(now, m.Name):
		case len(regions) > 0 && !slices.Contains(regions, region):
		case region == p.n.s.Region:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return forward.Peer{}, false
	}
	m := near[rand.IntN(len(near))]
	return forward.Peer{Name: m.Name, Address: m.Front}, true
}

// Unusable implements forward.Detours.
func (p *paths) Unusable(vm string) { p.detours.Unusable(time.Now(), vm) }

// Down implements forward.Detours.
func (p *paths) Down(service string) { p.detours.Down(time.Now(), service) }

// Received implements upstream.Observer.
func (p *paths) Received() {
	if p.tracker.Received(time.Now()) {
		p.changed(false)
	}
}

// Failed implements upstream.Observer.
func (p *paths) Failed(address string) {
	p.tracker.Failed(time.Now(), address)
	select {
	case p.failed <- struct{}{}:
	default:
	}
}

// run probes endpoints while the tracker asks for it, until ctx ends.
func (p *paths) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.failed:
		}
		for ctx.Err() == nil {
			addresses := p.addresses()
			if p.tracker.DueProbe(time.Now(), len(addresses)) {
				p.probe(ctx, addresses)
			}
			if !p.tracker.Lost() {
				break
			}
			sleep(ctx, pathCheckInterval)
		}
	}
}

func (p *paths) addresses() []string {
	return p.n.table.Addresses(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// anyOf calls check with the first probedEndpoints addresses at the same time and reports whether any
// call returned true.
func anyOf(addresses []string, check func(address string) bool) bool {
	addresses = addresses[:min(len(addresses), probedEndpoints)]
	results := make([]bool, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() { results[i] = check(address) })
	}
	wg.Wait()
	return slices.Contains(results, true)
}

// ReceivedSince implements pathEvidence.
func (p *paths) ReceivedSince(at time.Time) bool { return p.tracker.ReceivedSince(at) }

// ReachesOthers implements pathEvidence.
func (p *paths) ReachesOthers(since time.Time, address string) bool {
	if p.tracker.ReceivedSince(since) {
		return true
	}
	others := slices.DeleteFunc(p.addresses(), func(a string) bool { return a == address })
	return anyOf(others, p.n.pool.CanConnect) || p.tracker.ReceivedSince(since)
}

// probe probes some of the endpoints.
func (p *paths) probe(ctx context.Context, addresses []string) {
	began := time.Now()
	settle := p.tracker.SettleTime()
	succeeded := anyOf(addresses, func(address string) bool { return p.n.pool.Probe(ctx, address, settle) })
	if ctx.Err() != nil {
		return
	}
	switch p.tracker.ProbeDone(began, time.Now(), succeeded) {
	case reach.PathsLost:
		p.changed(true)
	case reach.PathsRegained:
		p.changed(false)
	case reach.Unchanged:
	}
}

// changed applies the loss or the return of this VM's paths.
func (p *paths) changed(lost bool) {
	p.n.table.SetPathsLost(time.Now(), lost)
	if lost {
		p.n.pool.MoveFromLost()
	}
	p.n.gossip.TriggerRound()
	p.n.log.Info().Bool("lost", lost).Int("failed", p.tracker.FailedEndpoints()).Int("endpoints", len(p.addresses())).
		Msg("paths to endpoints")
}
