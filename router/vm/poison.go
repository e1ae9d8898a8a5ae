package vm

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"goldcrestfork/router/dispatch"
)

const (
	// methodPoison carries crashes of endpoints with the requests that were in flight there, and the
	// decisions on them.
	methodPoison = "poison.report"
	// poisonInterval and poisonFanout spread a crash to 400 VMs in about six
	// rounds. Nothing is sent while no endpoint crashes.
	poisonInterval = time.Second
	poisonFanout   = 3
	// poisonMaxAge is how long a crash is sent. It is twice the time that
	// the rounds take, so that a lost round has no effect.
	poisonMaxAge = 15 * time.Second
	// poisonMaxRequests bounds the requests in one message: the suspects of several
	// simultaneous crashes, at a few hundred bytes each.
	poisonMaxRequests = 128
)

// spreadPoison sends crashes, and what was decided by them, to other VMs. A caller resends a request that crashed its
// endpoint to any VM; with only the crashes that it saw, each VM would let the request
// crash as many endpoints as it takes to be certain. Evidence merges, so messages
// may arrive in any order, more than once or through other VMs.
func (v *VM) spreadPoison(ctx context.Context) {
	for wait(ctx, poisonInterval) {
		report := v.dispatch.PoisonReport(poisonMaxAge, poisonMaxRequests)
		if report.IsEmpty() {
			continue
		}
		others := v.fleet.liveOthers()
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		for _, m := range others[:min(poisonFanout, len(others))] {
			v.post(ctx, m.ID, methodPoison, report)
		}
	}
}

func (v *VM) handlePoison(_ context.Context, from string, body []byte) ([]byte, error) {
	var report dispatch.PoisonReport
	if err := cbor.Unmarshal(body, &report); err != nil {
		return nil, err
	}
	v.dispatch.MergePoison(from, &report)
	return nil, nil
}
