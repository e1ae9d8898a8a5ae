package gossip

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"goldcrestfork/fleet/datagram"
)

// fleet simulates VMs that exchange datagrams in virtual time.
type fleet struct {
	tables         []*Table
	seq            []uint64
	incarnation    []uint64
	ready          []bool
	stopped        map[int]bool
	rng            *rand.Rand
	sent           int
	remote         int // datagrams to another data centre
	bytes          int
	allDataCentres bool // all VMs have a payload
	countBytes     bool // whether bytes are counted
}

func member(i int) Member {
	return Member{Name: fmt.Sprintf("vm-%03d", i), Peer: fmt.Sprint(i), Front: fmt.Sprintf("front-%d", i), DataCentre: fmt.Sprint("dc", i%3)}
}

func newFleet(n int) *fleet {
	f := &fleet{stopped: map[int]bool{}, rng: rand.New(rand.NewPCG(1, 1))}
	for i := range n {
		f.tables = append(f.tables, NewTable(member(i)))
		f.seq, f.incarnation, f.ready = append(f.seq, 0), append(f.incarnation, 1), append(f.ready, true)
	}
	for i, t := range f.tables {
		t.Learn(0, member((i+1)%n)) // each VM knows one other, as from a stale list
	}
	return f
}

// round sends a round of every VM that isn't stopped; one datagram in a hundred is lost.
func (f *fleet) round(now time.Duration) {
	for i, t := range f.tables {
		if f.stopped[i] {
			continue
		}
		for _, batch := range t.Round(now, f.rng, f.allDataCentres) {
			f.seq[i]++
			for _, peer := range batch.To {
				f.send(now, i, peer, batch)
			}
		}
	}
}

// send sends a datagram of the i-th VM to a peer.
func (f *fleet) send(now time.Duration, i int, peer string, batch Batch) {
	f.sent++
	var j int
	fmt.Sscan(peer, &j)
	if member(i).DataCentre != member(j).DataCentre {
		f.remote++
	}
	m := &Message{From: member(i), Incarnation: f.incarnation[i], Sequence: f.seq[i], Ready: f.ready[i], Others: batch.Others, Reports: batch.Reports}
	if f.countBytes {
		b, _ := cbor.Marshal(m) // an error leaves the byte count at 0, which fails the test
		f.bytes += len(b)
	}
	if !f.stopped[j] && f.rng.IntN(100) > 0 {
		f.tables[j].Apply(now, m)
	}
}

func (f *fleet) run(from, to time.Duration) {
	for now := from; now < to; now += Interval {
		f.round(now)
	}
}

func names(ms []Member) (out []string) {
	for _, m := range ms {
		out = append(out, m.Name)
	}
	return out
}

// VMs that each know one other VM must find all others within seconds, and the datagrams that a
// VM sends must stay within the fanout.
func TestMembersFindEachOther(t *testing.T) {
	for _, n := range []int{2, 7, 91} {
		f := newFleet(n)
		f.run(0, 20*time.Second)
		for _, tb := range f.tables {
			require.Len(t, tb.Usable(20*time.Second, ""), n-1)
		}
		f.sent = 0
		f.run(20*time.Second, 24*time.Second)
		require.LessOrEqual(t, f.sent, 10*n*min(n-1, fanout))
	}
}

// A VM loses power. The others must stop naming it within the seconds that operators expect,
// and must name it again soon after its restart.
func TestDeadVMIsLeftOut(t *testing.T) {
	for n, within := range map[int]time.Duration{7: 2 * time.Second, 91: 4 * time.Second} {
		f := newFleet(n)
		f.run(0, 20*time.Second)
		f.stopped[3] = true
		f.run(20*time.Second, 20*time.Second+within)
		now := 20*time.Second + within
		for i, tb := range f.tables {
			if i != 3 {
				require.NotContains(t, names(tb.Usable(now, "")), "vm-003", "%d VMs", n)
			}
		}
		f.stopped[3] = false
		f.incarnation[3], f.seq[3] = 2, 0
		f.run(now, now+10*time.Second)
		require.Contains(t, names(f.tables[0].Usable(now+10*time.Second, "")), "vm-003")
	}
}

// A data centre loses power. Callers that are sent to its VMs each wait a second for a
// connection. A single VM counts as alive for 1.6 to 2.8 s, since datagrams are lost; a whole
// data centre must be left out after 1.2 s.
func TestDataCentreIsLeftOut(t *testing.T) {
	for _, n := range []int{7, 91} {
		f := newFleet(n)
		f.run(0, 20*time.Second)
		for i := range n {
			f.stopped[i] = member(i).DataCentre == "dc1"
		}
		now := 20*time.Second + 3*Interval
		f.run(20*time.Second, now)
		for i, tb := range f.tables {
			for _, m := range tb.Usable(now, "") {
				require.False(t, !f.stopped[i] && m.DataCentre == "dc1", "%d VMs: %s still names %s", n, member(i).Name, m.Name)
			}
		}
	}
}

// A VM that stops is no longer ready: the others must leave it out after its next datagram.
func TestStoppingVMIsLeftOut(t *testing.T) {
	f := newFleet(7)
	f.run(0, 10*time.Second)
	f.ready[2] = false
	f.round(10 * time.Second)
	left := 0
	for i, tb := range f.tables {
		if i != 2 && len(names(tb.Usable(10*time.Second, ""))) == 5 {
			left++
		}
	}
	require.GreaterOrEqual(t, left, 5) // one datagram may be lost
}

// Datagrams are reordered: an old one that says ready arrives after a newer one that says not
// ready. The old one must be ignored.
func TestReorderedDatagramIsIgnored(t *testing.T) {
	tb := NewTable(member(0))
	ok, newIncarnation := tb.Apply(time.Second, &Message{From: member(1), Incarnation: 1, Sequence: 5, Ready: false})
	require.True(t, ok)
	require.True(t, newIncarnation)
	ok, newIncarnation = tb.Apply(time.Second, &Message{From: member(1), Incarnation: 1, Sequence: 4, Ready: true})
	require.False(t, ok)
	require.False(t, newIncarnation)
	require.Empty(t, tb.Usable(time.Second, ""))
}

// After a suspension, the state of all other VMs is stale, since the clock continued.
func TestSuspensionMakesStateStale(t *testing.T) {
	f := newFleet(3)
	f.run(0, 5*time.Second)
	require.Len(t, f.tables[0].Usable(5*time.Second, ""), 2)
	require.Empty(t, f.tables[0].Usable(15*time.Second, ""))
}

func TestNearDataCentreFirst(t *testing.T) {
	f := newFleet(7)
	f.run(0, 5*time.Second)
	require.Equal(t, "dc1", f.tables[0].Usable(5*time.Second, "dc1")[0].DataCentre)
}

// While a fleet starts, no VM is ready; VMs must still find peers to read from.
func TestPeersOfAStartingFleet(t *testing.T) {
	f := newFleet(5)
	for i := range f.ready {
		f.ready[i] = false
	}
	f.run(0, 5*time.Second)
	require.Len(t, f.tables[0].Peers(5*time.Second), 4)
	for i := range f.ready {
		f.ready[i] = i != 4
	}
	f.run(5*time.Second, 8*time.Second)
	require.Len(t, f.tables[0].Peers(8*time.Second), 3)
}

// Two services over loopback must receive each other's payloads, and ignore a packet that isn't
// a message.
func TestServicesExchangePayloads(t *testing.T) {
	start := time.Now()
	var services []*Service
	got := make(chan string, 100)
	for i := range 2 {
		s, err := Listen(Config{
			PathsLost: func() bool { return false },
			Self:      Member{Name: fmt.Sprint("vm", i), Peer: "127.0.0.1:0", Front: fmt.Sprint("f", i)},
			Clock:     func() time.Duration { return time.Second + time.Since(start) }, Ready: func() bool { return true },
			Payload:       func() []byte { return []byte{byte('a' + i)} },
			HandlePayload: func(from string, _ uint64, p []byte) { got <- from + string(p) },
			Log:           zerolog.Nop(), Registerer: prometheus.NewRegistry(), Traffic: datagram.NewTraffic(prometheus.NewRegistry()),
		})
		require.NoError(t, err)
		s.cfg.Self.Peer = s.socket.Addr()
		services = append(services, s)
	}
	require.NoError(t, services[0].socket.Send([]byte("noise"), services[1].socket.Addr()))
	services[0].Table().Learn(time.Second, services[1].cfg.Self)
	for _, s := range services {
		go s.Run(t.Context())
	}
	seen := map[string]bool{}
	for len(seen) < 2 {
		seen[<-got] = true
	}
	require.Equal(t, map[string]bool{"vm0a": true, "vm1b": true}, seen)
}

func FuzzMessage(f *testing.F) {
	b, err := cbor.Marshal(&Message{From: member(1), Incarnation: 1, Sequence: 1, Ready: true, Others: []Member{member(2)}})
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Message
		if cbor.Unmarshal(b, &m) == nil {
			tb := NewTable(member(0))
			tb.Apply(time.Second, &m)
			tb.Round(time.Second, rand.New(rand.NewPCG(1, 1)), true)
		}
	})
}

// 91 VMs in three data centres run without failures, with one datagram in a hundred lost. Each
// must count nearly all others as alive: a VM that is missed for a moment is left out of answers
// and changes the peers that VMs read from. Traffic between data centres is billed and must be
// low.
func TestFleetWithoutFailuresStaysAlive(t *testing.T) {
	const n, rounds = 91, 100
	f := newFleet(n)
	f.run(0, 20*time.Second)
	now, missing := 20*time.Second, 0
	f.sent, f.remote, f.countBytes = 0, 0, true
	for range rounds {
		f.round(now)
		for _, tb := range f.tables {
			missing += n - 1 - len(tb.Usable(now, ""))
		}
		now += Interval
	}
	require.NotZero(t, f.remote)
	require.NotZero(t, f.bytes)
	t.Logf("%.5f of the VMs missed, %.2f of the datagrams to other data centres, %d bytes a datagram", float64(missing)/(n*(n-1)*rounds), float64(f.remote)/float64(f.sent), f.bytes/f.sent)
	require.Less(t, missing, n*(n-1)*rounds/1000)
	require.Less(t, 10*f.remote, f.sent)
	require.Less(t, f.bytes/f.sent, 400)
}

// Half of 300 VMs are killed and restart with a list of all members. Each VM must count nearly
// all others as alive within two seconds, when the restarted VMs choose the peers to read from.
func TestLargeFleetAfterRestart(t *testing.T) {
	const n = 300
	f := newFleet(n)
	learn := func(now time.Duration, tb *Table) {
		for i := range n {
			tb.Learn(now, member(i))
		}
	}
	for _, tb := range f.tables {
		learn(0, tb)
	}
	f.run(0, 6*time.Second)
	missing := func(now time.Duration) (out int) {
		for _, tb := range f.tables {
			out += n - 1 - len(tb.Usable(now, ""))
		}
		return out
	}
	require.Less(t, missing(6*time.Second), n*(n-1)/1000, "before the restart")
	for i := range n / 2 {
		f.incarnation[i], f.seq[i], f.tables[i] = 2, 0, NewTable(member(i))
		learn(6*time.Second, f.tables[i])
	}
	f.run(6*time.Second, 8*time.Second)
	require.Less(t, missing(8*time.Second), n*(n-1)/1000, "two seconds after the restart")
}

// Guards against a packed age that is lower than the real one, which would make a dead VM look
// alive, and against trailing bytes that aren't a whole report.
func TestReportsArePacked(t *testing.T) {
	var rs Reports
	in := []report{{hash: 1, age: 0, ready: true}, {hash: 1 << 31, age: 120 * time.Millisecond}, {hash: 7, age: maxAge, ready: true}}
	for _, r := range in {
		rs = rs.add(r)
	}
	require.Len(t, rs.add(report{hash: 9, age: maxAge + 1}), len(rs), "older than maxAge")
	in[1].age = 150 * time.Millisecond
	require.Equal(t, in, slices.Collect(append(rs, 1, 2, 3).all()))
	require.Empty(t, slices.Collect(Reports("abc").all()))
}

// Guards against VMs that learn of each other at the same time and then all send to the same
// receivers in each round.
func TestVMsThatStartTogetherSpreadDatagrams(t *testing.T) {
	const n, rounds = 91, 50
	f := newFleet(n)
	for _, tb := range f.tables {
		for i := range n {
			tb.Learn(0, member(i))
		}
	}
	f.run(0, 4*time.Second)
	missing := 0
	for r := range rounds {
		now := 4*time.Second + time.Duration(r)*Interval
		f.round(now)
		for _, tb := range f.tables {
			missing += n - 1 - len(tb.Usable(now+Interval/2, ""))
		}
	}
	require.Less(t, missing, n*(n-1)*rounds/1000)
}

// Guards against a VM that takes the few VMs which it hears for the whole fleet.
func TestMajorityOfKnownVMs(t *testing.T) {
	hear := func(tb *Table, now time.Duration, ready bool, ids ...int) {
		for _, i := range ids {
			ok, _ := tb.Apply(now, &Message{From: member(i), Incarnation: 1, Sequence: uint64(now), Ready: ready})
			require.True(t, ok)
		}
	}
	tb := NewTable(member(0))
	require.True(t, tb.SeesMajority(time.Second), "the only VM")
	for i := 1; i < 7; i++ {
		tb.Learn(time.Second, member(i))
	}
	require.False(t, tb.SeesMajority(time.Second), "just started")
	hear(tb, time.Second, true, 1, 2, 3)
	require.True(t, tb.SeesMajority(time.Second))
	hear(tb, time.Second, true, 4, 5, 6)
	later := time.Second + tb.freshness()
	hear(tb, later, true, 1, 2)
	require.False(t, tb.SeesMajority(later), "four VMs fell silent")
	hear(tb, later, false, 3, 4)
	require.True(t, tb.SeesMajority(later+tb.freshness()/2))
	hear(tb, later+tb.freshness(), true, 1, 2)
	require.True(t, tb.SeesMajority(later+tb.freshness()), "two of the four silent VMs had left in order")
}
