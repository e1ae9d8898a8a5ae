package watching

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// at is a VM's place in a fleet of one data centre that is ranked as given.
func at(ranked []string, rank int) Place {
	return Place{Tree: Tree{Ranked: ranked, RootReaders: nearReaders, Readers: nearReaders}, Rank: rank}
}

func fleet(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprint("vm", i))
	}
	return out
}

// Nobody reads from a VM that ranks after it, so that no two read from each other, and no
// VM is the first choice of more than eight. Two VMs of each data centre read from another one.
func TestReadersReadFromThoseBeforeThem(t *testing.T) {
	var ranked []VM
	for i, name := range fleet(400) {
		ranked = append(ranked, VM{Address: name, DataCentre: fmt.Sprint("dc", i*i%19)})
	}
	first := make(map[string]int)
	far := 0
	for rank, vm := range ranked {
		place := PlaceOf(ranked, rank)
		require.Equal(t, vm.Address, place.Ranked[place.Rank])
		sources := NewPeers().Sources(time.Minute, place)
		if rank < direct {
			require.Empty(t, sources)
			continue
		}
		require.NotEmpty(t, sources)
		for _, s := range sources {
			source := slices.IndexFunc(ranked, func(o VM) bool { return o.Address == s })
			require.Less(t, source, rank)
			if s == sources[0] && ranked[source].DataCentre != vm.DataCentre {
				far++
			}
		}
		first[sources[0]]++
	}
	require.LessOrEqual(t, far, headsEach*19, "readers over the border of a data centre")
	for vm, n := range first {
		require.LessOrEqual(t, n, 8, vm)
	}
}

// Those that rank first aren't heard for a moment, as some of 91 always are. The VM that
// now seems to be first must go on reading its feed: a switch gave its own readers no
// word for as long as a watch waits, and they and theirs all asked the platform, 25 at a
// time. When the feed ends it asks the platform at once, and after takeOver in any case.
func TestMomentarySilenceMakesNoWatcher(t *testing.T) {
	ranked := fleet(91)
	now := time.Minute
	p := NewPeers()
	before := p.Sources(now, at(ranked, 2))
	require.NotEmpty(t, before)
	now += time.Second
	require.Equal(t, before[:1], p.Sources(now, at(ranked[2:], 0)), "two before it aren't heard")
	require.Empty(t, p.Sources(now+takeOver, at(ranked[2:], 0)), "it took over")
	p.Failed(now, before[0], false)
	require.Empty(t, p.Sources(now, at(ranked[2:], 0)), "the feed ended")
}

// All VMs to read from had no word a moment ago: one is asked again, since a VM that has none
// to ask watches the platform, as two of the fleet do.
func TestVMsWithoutWordMakeNoWatcher(t *testing.T) {
	var ranked []VM
	for i, name := range fleet(195) {
		ranked = append(ranked, VM{Address: name, DataCentre: fmt.Sprint("dc", i%6)})
	}
	watch := 0
	for rank := range ranked {
		p, place := NewPeers(), PlaceOf(ranked, rank)
		for _, s := range p.Sources(time.Minute, place) {
			p.Failed(time.Minute, s, true)
		}
		if len(p.Sources(time.Minute, place)) == 0 {
			watch++
		}
	}
	require.Equal(t, direct+standIns, watch)
}

// A VM's feed breaks off by a reset connection and is there again: it is read again after
// a moment. One that is cut off is tried less and less often, since each try costs a
// timeout. One that says that it has no word may have it again any time.
func TestFailedFeedIsTriedAgain(t *testing.T) {
	ranked := fleet(20)
	now := time.Minute
	p := NewPeers()
	best := p.Sources(now, at(ranked, 12))[0]
	tried := func(after time.Duration) bool { return p.Sources(now+after, at(ranked, 12))[0] == best }

	require.True(t, p.Failed(now, best, false), "news")
	require.False(t, tried(firstShun-1))
	require.True(t, tried(firstShun))
	for range 10 {
		require.False(t, p.Failed(now, best, false), "no news")
	}
	require.False(t, tried(lastShun-1))
	require.True(t, tried(lastShun))
	p.Read(best)
	require.True(t, tried(0))
	for range 10 {
		p.Failed(now, best, true)
	}
	require.True(t, tried(staleShun))
}

// The platform is away for ten seconds. Four kinds of 91 VMs each ask as soon as they may:
// no more than some dozens ask it in a second, each VM tries other VMs five times a second, and
// none is without a try at the platform for longer than lastAsk and a turn.
func TestOutagePacesCalls(t *testing.T) {
	const vms, kinds, length = 91, 4, 10 * time.Second
	asked, turns := 0, 0
	for rank := range vms {
		var o Outage
		began := time.Minute
		o.Lost(began, rank)
		last := began
		for now := began; now < began+length; now += 10 * time.Millisecond {
			for range kinds {
				turn := o.Turn(now, func() int { return rank })
				if turn.Wait > 0 {
					continue
				}
				turns++
				if turn.Ask {
					asked++
					require.LessOrEqual(t, now-last, lastAsk+turnPause)
					last = now
				}
				o.Lost(now, rank) // what failed changes nothing
			}
		}
	}
	require.LessOrEqual(t, asked, 40*int(length/time.Second))
	require.LessOrEqual(t, turns, 5*vms*int(length/time.Second))
}

// A VM of high rank whose first call came to nothing by itself must ask again soon: only a
// failure of the platform brings the pause by rank.
func TestClaimBringsNoPause(t *testing.T) {
	var o Outage
	now := time.Minute
	require.True(t, o.Claim(now))
	require.False(t, o.Claim(now+time.Second), "another kind")
	require.True(t, o.Turn(now, func() int { return 200 }).Ask)
	require.True(t, o.Claim(now+claimFor))
	o.Regained()
	require.True(t, o.Claim(now+claimFor))
	o.Lost(now+claimFor, 200)
	require.False(t, o.Claim(now+2*claimFor), "by turns from now on")
}

// One kind's try brings word: the others, which waited for it, go on at once.
func TestWordEndsTheOutage(t *testing.T) {
	var o Outage
	rank := func() int { return 50 }
	o.Lost(time.Minute, 50)
	require.Positive(t, o.Turn(time.Minute, rank).Wait)
	o.Regained()
	for range 4 {
		require.Equal(t, Turn{Ask: true}, o.Turn(time.Minute, rank))
	}
}

// The watchers have no word. The next two of the ranking ask at once; the others give
// these a moment, and ask in any case before a change would be in force too late.
func TestWhoAsks(t *testing.T) {
	require.True(t, MayAsk(0, time.Second))
	require.True(t, MayAsk(direct+standIns-1, time.Second))
	require.False(t, MayAsk(direct+standIns, time.Second))
	require.False(t, MayAsk(90, 0))
	require.True(t, MayAsk(90, -grace))
}
