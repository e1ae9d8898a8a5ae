package vm

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"goldcrestfork/policy/poison"
)

const (
	// methodPoison carries the blame of requests that were in flight at crashes.
	methodPoison = "poison.counts"
	// poisonInterval and poisonFanout spread the blame for a crash to 400 VMs in about six
	// rounds. Nothing is sent while no endpoint crashes.
	poisonInterval = time.Second
	poisonFanout   = 3
	// poisonMaxAge is how long after a crash its blame is sent. It is twice the time that
	// the rounds take, so that a lost round has no effect.
	poisonMaxAge = 15 * time.Second
	// poisonMaxRequests bounds the requests in one message: the suspects of several
	// simultaneous crashes, at a few hundred bytes each.
	poisonMaxRequests = 128
)

// spreadPoison sends the blame for crashes to other VMs. A caller resends a request that
// crashed its endpoint to any VM; with only its own counts, each VM would let the request
// crash as many endpoints as it takes to be certain. Blame merges by maximum, so messages
// may arrive in any order, more than once or through other VMs.
func (v *VM) spreadPoison(ctx context.Context) {
	for wait(ctx, poisonInterval) {
		counts := v.dispatch.RecentPoisonCounts(poisonMaxAge, poisonMaxRequests)
		if len(counts) == 0 {
			continue
		}
		others := v.fleet.liveOthers()
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		for _, m := range others[:min(poisonFanout, len(others))] {
			v.post(ctx, m.ID, methodPoison, counts)
		}
	}
}

func (v *VM) handlePoison(_ context.Context, _ string, body []byte) ([]byte, error) {
	var counts map[string][]poison.Count
	if err := cbor.Unmarshal(body, &counts); err != nil {
		return nil, err
	}
	v.dispatch.MergePoisonCounts(counts)
	return nil, nil
}
