package watching

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// at returns the place of a VM in a fleet of one data centre with the given ranking.
func at(ranked []string, rank int) Place {
	return Place{Tree: Tree{Ranked: ranked, RootReaders: localReaders, Readers: localReaders}, Rank: rank}
}

func fleet(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprint("vm", i))
	}
	return out
}

// Guards against cycles and overloaded sources: a VM reads only from VMs that rank before it,
// no VM is the first source of more than eight, and only two VMs of each data centre read from
// another data centre.
func TestSourcesRankBeforeReaders(t *testing.T) {
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
		if rank < watchers {
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
	require.LessOrEqual(t, far, headsPerDataCentre*19, "readers over the border of a data centre")
	for vm, n := range first {
		require.LessOrEqual(t, n, 8, vm)
	}
}

// Guards against calls in bursts: the VMs ranked first seem absent for a moment, as some of 91
// always do. If the next VM switches to watching, its readers get no state for as long as a
// watch waits, and they and their readers call the platform, 25 at a time. It must keep its
// source for takeOverDelay, and watch at once if the source fails.
func TestBriefRankChangeKeepsSource(t *testing.T) {
	ranked := fleet(91)
	now := time.Minute
	p := NewPeers()
	before := p.Sources(now, at(ranked, 2))
	require.NotEmpty(t, before)
	now += time.Second
	require.Equal(t, before[:1], p.Sources(now, at(ranked[2:], 0)), "the two VMs ranked before it seem absent")
	require.Empty(t, p.Sources(now+takeOverDelay, at(ranked[2:], 0)), "it watches after the delay")
	p.Failed(now, before[0], false)
	require.Empty(t, p.Sources(now, at(ranked[2:], 0)), "the feed failed")
}

// If all sources answered without state, one of them is tried again: a VM without a source
// watches the platform, which only the watchers and backup watchers may do.
func TestStaleSourcesMakeNoWatcher(t *testing.T) {
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
	require.Equal(t, watchers+backupWatchers, watch)
}

// A feed that broke by a reset connection is read again after a moment. A VM that is cut off is
// tried at growing intervals, since each try costs a timeout. One that answers without state
// may have it again at any time.
func TestFailedFeedIsTriedAgain(t *testing.T) {
	ranked := fleet(20)
	now := time.Minute
	p := NewPeers()
	best := p.Sources(now, at(ranked, 12))[0]
	tried := func(after time.Duration) bool { return p.Sources(now+after, at(ranked, 12))[0] == best }

	require.True(t, p.Failed(now, best, false), "first failure")
	require.False(t, tried(minBackoff-1))
	require.True(t, tried(minBackoff))
	for range 10 {
		require.False(t, p.Failed(now, best, false), "repeated failure")
	}
	require.False(t, tried(maxBackoff-1))
	require.True(t, tried(maxBackoff))
	p.Read(best)
	require.True(t, tried(0))
	for range 10 {
		p.Failed(now, best, true)
	}
	require.True(t, tried(staleBackoff))
}

// Guards against a burst of calls in an outage of ten seconds, with four kinds on each of 91
// VMs. At most 40 calls reach the platform per second, each VM makes at most five tries per
// second, and no VM goes longer than maxCallInterval plus a turn without a call.
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
				turn := o.NextTurn(now, func() int { return rank })
				if turn.Wait > 0 {
					continue
				}
				turns++
				if turn.MayCall {
					asked++
					require.LessOrEqual(t, now-last, maxCallInterval+turnInterval)
					last = now
				}
				o.Lost(now, rank) // Further failures change nothing.
			}
		}
	}
	require.LessOrEqual(t, asked, 40*int(length/time.Second))
	require.LessOrEqual(t, turns, 5*vms*int(length/time.Second))
}

// Guards against a high-ranked VM going without state: a first call that fails for a local
// reason must not start the interval by rank; only a failure of the platform does.
func TestClaimAddsNoDelay(t *testing.T) {
	var o Outage
	now := time.Minute
	require.True(t, o.Claim(now))
	require.False(t, o.Claim(now+time.Second), "a call by another kind")
	require.True(t, o.NextTurn(now, func() int { return 200 }).MayCall)
	require.True(t, o.Claim(now+claimDuration))
	o.Regained()
	require.True(t, o.Claim(now+claimDuration))
	o.Lost(now+claimDuration, 200)
	require.False(t, o.Claim(now+2*claimDuration), "calls depend on NextTurn now")
}

// When one kind gets state, the kinds that waited for it continue at once.
func TestRegainedEndsOutage(t *testing.T) {
	var o Outage
	rank := func() int { return 50 }
	o.Lost(time.Minute, 50)
	require.Positive(t, o.NextTurn(time.Minute, rank).Wait)
	o.Regained()
	for range 4 {
		require.Equal(t, Turn{MayCall: true}, o.NextTurn(time.Minute, rank))
	}
}

// If the watchers have no state, the next two VMs call the platform at once. The others wait a
// moment for these, but call in time for a change to take effect within its bound.
func TestMayAsk(t *testing.T) {
	require.True(t, MayCall(0, time.Second))
	require.True(t, MayCall(watchers+backupWatchers-1, time.Second))
	require.False(t, MayCall(watchers+backupWatchers, time.Second))
	require.False(t, MayCall(90, 0))
	require.True(t, MayCall(90, -staleGrace))
}
