package vm

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"goldcrestfork/policy/poison"
)

const (
	// methodPoison carries what is held against requests that were at crashes.
	methodPoison = "poison.counts"
	// poisonEvery and poisonFanout spread a crash to 400 VMs in about six rounds;
	// nothing is sent while no endpoint crashes.
	poisonEvery  = time.Second
	poisonFanout = 3
	// poisonNews is how long after a crash its blame is passed on: twice what the
	// rounds take, so that a round that is lost doesn't matter.
	poisonNews = 15 * time.Second
	// poisonMost bounds one message: the suspects of some crashes at once, a few
	// hundred bytes each.
	poisonMost = 128
)

// spreadPoison tells other VMs of crashes. A caller sends a request that crashed its
// endpoint again, to any VM; each VM by itself would let it crash as many endpoints
// as it takes to be sure. Blame merges by maximum, so that it may come in any order,
// twice, or by way of others.
func (v *VM) spreadPoison(ctx context.Context) {
	for wait(ctx, poisonEvery) {
		news := v.dispatch.RecentPoisonCounts(poisonNews, poisonMost)
		if len(news) == 0 {
			continue
		}
		others := v.fleet.live()
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		for _, m := range others[:min(poisonFanout, len(others))] {
			v.post(ctx, m.ID, methodPoison, news)
		}
	}
}

func (v *VM) takePoison(_ context.Context, _ string, body []byte) ([]byte, error) {
	var news map[string][]poison.Count
	if err := cbor.Unmarshal(body, &news); err != nil {
		return nil, err
	}
	v.dispatch.MergePoisonCounts(news)
	return nil, nil
}
