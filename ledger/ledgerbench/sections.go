package main

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"time"

	"goldcrestfork/ledger"
	"goldcrestfork/standin/store"
)

var (
	modes = []mode{
		{name: "one a write", writesPerSecond: -1},
		{name: "one a write+hint", forwardToOwner: true, writesPerSecond: -1},
		{name: "group", groupCommit: true, writesPerSecond: -1},
		{name: "group+hint", forwardToOwner: true, groupCommit: true, writesPerSecond: -1},
		{name: "group+hint+pace", forwardToOwner: true, groupCommit: true, writesPerSecond: ledger.DefaultWritesPerSecond},
	}
	fleetSizes = []int{1, 7, 40}
)

// measureWriters compares the modes by the number of VMs, without a write limit of the
// platform.
func measureWriters(o options) error {
	fmt.Printf("\n# writers: %d callers in a closed loop, platform delay %v, no cap, median of %d runs of %v\n%s\n",
		o.Callers, o.Delay, o.Runs, o.Time, header)
	for _, vms := range fleetSizes {
		for _, m := range modes {
			r := median(o.Runs, func() row {
				return newFleet(vms, m, o.Delay, 0).measure(o.Time, closedLoop(o.Callers))
			})
			r.print(vms, m.name)
		}
	}
	return nil
}

// platformCap is the stand-in's limit of writes per second; the platform takes several hundred.
const platformCap = 500

// measureCap measures the throughput of each mode under the platform's write limit.
func measureCap(o options) error {
	fmt.Printf("\n# cap: the same, the platform refuses writes over %d/s\n%s\n", platformCap, header)
	const vms = 7
	for _, m := range modes {
		r := median(o.Runs, func() row {
			return newFleet(vms, m, o.Delay, platformCap).measure(o.Time, closedLoop(o.Callers))
		})
		r.print(vms, m.name)
	}
	return nil
}

// measureLoad measures the ledger's default mode by the number of offered requests per second.
func measureLoad(o options) error {
	const vms = 40
	m := modes[len(modes)-1]
	fmt.Printf("\n# load: open loop, %s, one run of %v each\n%s\n", m.name, 5*o.Time, header)
	for _, perSecond := range []int{50, 200, 600, 1200} {
		r := newFleet(vms, m, o.Delay, platformCap).measure(5*o.Time, openLoop(perSecond))
		r.print(vms, fmt.Sprintf("%d/s", perSecond))
	}
	return nil
}

// measureState measures the memory and the bytes of one shard by its number of entries, and the
// cost for a VM that takes the shard over.
func measureState(o options) error {
	fmt.Printf("\n# state: one shard, decided values of 100 bytes, platform delay %v\n", o.Delay)
	fmt.Println("entries  segments  store bytes/entry  heap bytes/entry  put bytes/entry  takeover reads  takeover ms")
	for _, n := range []int{2_000, 8_000, 32_000} {
		if err := measureShard(o, n); err != nil {
			return err
		}
	}
	return nil
}

func measureShard(o options, entries int) error {
	f := newFleet(2, mode{groupCommit: true, writesPerSecond: -1}, 0, 0)
	writer, successor := f.ledgers[f.names[0]], f.ledgers[f.names[1]]
	const shard = 1
	ctx := context.Background()
	var last ledger.Key
	for i, n := 0, 0; n < entries; i++ {
		k := ledger.MakeKey(ledger.SpacePin, "bench", strconv.Itoa(i))
		if k.Shard() != shard {
			continue
		}
		n++
		last = k
		if _, _, err := writer.Decide(ctx, k, []byte(bookingAnswer[:100]), 24); err != nil {
			return err
		}
	}
	writer.Wait()
	put := f.store.Counts().PutBytes
	f.store.SetFaults(store.Faults{Delay: o.Delay})
	reads := f.store.Counts().Gets
	heap := heapBytes()
	begun := time.Now()
	if _, _, err := successor.Decide(ctx, last, nil, 24); err != nil {
		return err
	}
	took := time.Since(begun)
	grown := heapBytes() - heap
	info := successor.Dump().Shards[0]
	fmt.Printf("%-8d %8d %18.0f %17.0f %16.0f %15d %12.0f\n", entries, info.Segments,
		float64(f.store.Bytes())/float64(entries), float64(grown)/float64(entries),
		float64(put)/float64(entries), f.store.Counts().Gets-reads, ms(took))
	runtime.KeepAlive(successor)
	return nil
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
