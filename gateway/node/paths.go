package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"goldcrestfork/policy/reach"
)

const (
	// probedEndpoints is the number of endpoints, drawn at random, that a VM probes at a time. After
	// the loss of most endpoints one of them is likely to be up.
	probedEndpoints = 4
	// pathCheckInterval is the time between two checks of a VM that probes or has lost its paths.
	pathCheckInterval = 50 * time.Millisecond
)

// paths tracks whether this VM reaches the endpoints. It implements upstream.Observer.
type paths struct {
	n       *Node
	tracker *reach.Tracker
	failed  chan struct{} // signals that an endpoint failed
}

func newPaths(n *Node) *paths {
	return &paths{n: n, tracker: reach.New(), failed: make(chan struct{}, 1)}
}

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
			addresses := p.n.table.Addresses()
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

// probe probes some of the endpoints at the same time.
func (p *paths) probe(ctx context.Context, addresses []string) {
	began := time.Now()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(len(addresses), probedEndpoints)]
	results := make([]bool, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() { results[i] = p.n.pool.Probe(ctx, address) })
	}
	wg.Wait()
	succeeded := false
	for _, ok := range results {
		succeeded = succeeded || ok
	}
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
	p.n.log.Info().Bool("lost", lost).Int("failed", p.tracker.FailedEndpoints()).Int("endpoints", len(p.n.table.Addresses())).
		Msg("paths to endpoints")
}
