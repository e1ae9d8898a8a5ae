package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"goldcrestfork/fleet/gossip"
	"goldcrestfork/fleet/sticky"
	"goldcrestfork/gateway/catalog"
	"goldcrestfork/gateway/forward"
	"goldcrestfork/gateway/view"
	"goldcrestfork/policy/trial"
)

// clocked holds a VM's roll-outs in virtual time.
type clocked struct {
	*orders
	now time.Duration
}

func newClocked() *clocked {
	c := &clocked{orders: newOrders(), now: time.Hour}
	c.clock = func() time.Duration { return c.now }
	return c
}

// begin starts a request of a session and returns its pin and the version that runs it.
func begin(r *rollouts, session string) (forward.Pin, string) {
	p := r.Begin("s", session, time.Now().Add(time.Minute))
	c, _ := p.Choose(context.Background())
	if c.Version == "v2" {
		return p, "v2"
	}
	return p, "v1"
}

// request runs a request that ends at once and returns its version.
func request(r *rollouts, session string) string {
	p, version := begin(r, session)
	p.End(version)
	return version
}

// tryingSession returns the i-th session that may use a new version.
func tryingSession(i int) string {
	for n := 0; ; n++ {
		id := fmt.Sprint("session", n)
		if !trial.HashSession("s", id).Tries(trial.SessionShare(0.15)) {
			continue
		}
		if i == 0 {
			return id
		}
		i--
	}
}

func (o *orders) endpoint(id, version string, created int64) {
	o.view.ApplyEndpoints(view.Update[catalog.Endpoint]{Changes: []view.Change[catalog.Endpoint]{{Item: view.Item[catalog.Endpoint]{
		Name: id, Revision: created, Created: created, Value: catalog.Endpoint{ID: id, Service: "s", Version: version, Address: "10.0.0.1:1"},
	}}}})
}

// Guards against forgetting a session that was served before its roll-out's order was known.
func TestSessionServedBeforeItsOrderIsKnownKeepsItsVersion(t *testing.T) {
	c := newClocked()
	c.endpoint("e1", "v1", 1)
	c.receive("v2", 2, catalog.RollOutRunning)
	c.endpoint("e2", "v2", 50)
	c.now += 2 * time.Second
	require.Equal(t, "v1", request(c.rollouts, tryingSession(0)))
	c.revision = 60
	c.receive("v2", 2, catalog.RollOutRunning)
	c.now += 4100 * time.Millisecond
	require.Equal(t, "v1", request(c.rollouts, tryingSession(0)), "a pause of 4.1 s of 5")
	require.Equal(t, "v2", request(c.rollouts, tryingSession(1)))
}

// Guards against forgetting a session while its stream runs: the pause counts from the stream's
// end.
func TestSessionOfALongStreamKeepsItsVersion(t *testing.T) {
	c := newClocked()
	c.receive("v2", 2, catalog.RollOutRunning)
	p, version := begin(c.rollouts, tryingSession(0))
	require.Equal(t, "v1", version)
	c.now += 7 * time.Second
	require.Equal(t, "v1", request(c.rollouts, tryingSession(0)), "beside the stream")
	c.now += time.Second
	p.End(version)
	c.now += 4900 * time.Millisecond
	require.Equal(t, "v1", request(c.rollouts, tryingSession(0)), "4.9 s after the stream's end")
	c.now += 6100 * time.Millisecond
	require.Equal(t, "v2", request(c.rollouts, tryingSession(0)))
}

// Guards against forgetting a session whose stream began before the order was known.
func TestSessionOfAStreamBegunBeforeTheOrderKeepsItsVersion(t *testing.T) {
	c := newClocked()
	p, version := begin(c.rollouts, tryingSession(0))
	require.Equal(t, "v1", version)
	c.receive("v2", 2, catalog.RollOutRunning)
	c.now += 6500 * time.Millisecond
	require.Equal(t, "v1", request(c.rollouts, tryingSession(0)))
	require.Equal(t, "v2", request(c.rollouts, tryingSession(1)))
	c.now += 6500 * time.Millisecond
	require.Equal(t, "v1", request(c.rollouts, tryingSession(0)), "the stream still runs")
	p.End(version)
}

const (
	lossShare = 0.01 // of the datagrams between VMs
	delay     = 2 * time.Millisecond
)

// fleet holds VMs that exchange datagrams, in virtual time.
type fleet struct {
	rng     *rand.Rand
	now     time.Duration
	vms     []*fleetVM
	arrive  []arrival
	pending []open
}

type fleetVM struct {
	*orders
	self  gossip.Member
	table *gossip.Table
	ring  cached[*sticky.Ring]
}

// arrival is a datagram in transit.
type arrival struct {
	at   time.Duration
	to   *fleetVM
	take func(*fleetVM)
}

// open is a request in progress.
type open struct {
	end     time.Duration
	session int
	version string
	pin     forward.Pin
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 21)), now: time.Hour}
	members := make([]gossip.Member, n)
	for i := range members {
		members[i] = gossip.Member{Name: fmt.Sprint("vm", i), Peer: fmt.Sprint(i), DataCentre: fmt.Sprint("dc", i%4)}
	}
	for _, m := range members {
		v := &fleetVM{orders: newOrders(), self: m, table: gossip.NewTable(m)}
		v.n.sticky, v.duration = f.sticky(v), rollOutTime
		v.clock = func() time.Duration { return f.now }
		v.table.Learn(f.now, members...)
		for i, other := range members {
			if other != m {
				v.table.Apply(f.now, &gossip.Message{From: other, Incarnation: 1, Sequence: uint64(i + 1), Ready: true})
			}
		}
		f.vms = append(f.vms, v)
	}
	return f
}

// sticky returns a VM's store of sessions; its datagrams arrive at once or are lost.
func (f *fleet) sticky(v *fleetVM) *sticky.Service {
	return sticky.New(sticky.Config{
		Self: v.self.Name, Clock: func() time.Duration { return f.now }, Log: zerolog.Nop(), Registerer: prometheus.NewRegistry(),
		Ring: func() *sticky.Ring {
			return v.ring.get(f.now, func() *sticky.Ring {
				keepers := []sticky.Keeper{{Name: v.self.Name, Address: v.self.Peer}}
				for _, m := range v.table.Usable(f.now, "") {
					keepers = append(keepers, sticky.Keeper{Name: m.Name, Address: m.Peer})
				}
				return sticky.NewRing(keepers...)
			})
		},
		Send: func(b []byte, to string) error {
			if f.rng.Float64() >= lossShare {
				f.at(to).n.sticky.Receive(b, v.self.Peer)
			}
			return nil
		},
	})
}

// at returns the VM at an address.
func (f *fleet) at(address string) *fleetVM {
	n, err := strconv.Atoi(address)
	if err != nil {
		panic(err)
	}
	return f.vms[n]
}

// round sends one VM's datagrams of a round.
func (f *fleet) round(i int, sequence uint64) {
	v := f.vms[i]
	words := v.reports(f.now, maxPayloadBytes)
	for n, batch := range v.table.Round(f.now, f.rng, len(words) > 0) {
		m := &gossip.Message{From: v.self, Incarnation: 1, Sequence: 2*sequence + uint64(n), Ready: true, Others: batch.Others, Reports: batch.Reports}
		for _, peer := range batch.To {
			if f.rng.Float64() < lossShare {
				continue
			}
			f.arrive = append(f.arrive, arrival{f.now + delay, f.at(peer), func(u *fleetVM) {
				u.table.Apply(f.now, m)
				u.mergeReports(f.now, v.self.Name, words)
			}})
		}
	}
}

// sessions holds the sessions of one simulation, by number.
type sessions struct {
	next  int
	id    func(int) string
	last  map[int]open // the request of each session that ended last
	moves map[string]int
}

// simulation is a roll-out over 24 s with perS requests a second at random VMs. Half of the
// requests continue a session.
type simulation struct {
	perS    float64
	longest time.Duration // of a request
	id      func(int) string
	ends    time.Duration // age of the roll-out
	// decision reaches each VM between at and at+lag.
	decision catalog.RollOutState
	at, lag  time.Duration
}

// rollOutTime is the duration of a simulation's roll-out; no session may change version before
// half of it.
const rollOutTime = 24 * time.Second

// run returns the number of requests that changed version within a session, by "from to".
func (f *fleet) run(p simulation) map[string]int {
	const step, before = time.Millisecond, 6 * time.Second
	s := &sessions{id: p.id, last: make(map[int]open), moves: make(map[string]int)}
	begins := f.now
	learns := make([]time.Duration, len(f.vms))
	for i := range learns {
		learns[i] = begins + before + p.at + time.Duration(f.rng.Float64()*float64(p.lag))
	}
	for ; f.now < begins+before+p.ends; f.now += step {
		for i, v := range f.vms {
			switch {
			case f.now == begins+before:
				v.receive("v2", 10, catalog.RollOutRunning)
			case p.decision != "" && learns[i] > 0 && f.now >= learns[i]:
				v.receive("v2", 10, p.decision)
				learns[i] = 0
			}
			if at := int((f.now - begins) / step); at%400 == i*400/len(f.vms) {
				f.round(i, uint64(1000+at))
			}
		}
		f.deliver()
		f.end(s)
		if f.rng.Float64() < p.perS*step.Seconds() {
			f.send(s, p.longest)
		}
	}
	return s.moves
}

func (f *fleet) deliver() {
	f.arrive = slices.DeleteFunc(f.arrive, func(a arrival) bool {
		if a.at > f.now {
			return false
		}
		a.take(a.to)
		return true
	})
}

func (f *fleet) end(s *sessions) {
	f.pending = slices.DeleteFunc(f.pending, func(o open) bool {
		if o.end > f.now {
			return false
		}
		o.pin.End(o.version)
		s.last[o.session] = o
		return true
	})
}

// send sends a request that continues a session within its pause, or that starts one.
func (f *fleet) send(s *sessions, longest time.Duration) {
	const pause = 5 * time.Second
	session := s.next
	if n := min(s.next, 100); n > 0 && f.rng.Float64() < 0.5 {
		if recent := s.next - 1 - f.rng.IntN(n); !slices.ContainsFunc(f.pending, func(o open) bool { return o.session == recent }) {
			session = recent
		}
	}
	if session == s.next {
		s.next++
	}
	pin, version := begin(f.vms[f.rng.IntN(len(f.vms))].rollouts, s.id(session))
	if before, ok := s.last[session]; ok && f.now-before.end < pause && before.version != version {
		s.moves[before.version+" "+version]++
	}
	f.pending = append(f.pending, open{f.now + time.Duration(f.rng.Float64()*float64(longest)), session, version, pin})
}

var tryingIDs []string

// tryingID returns tryingSession(i) from a cache.
func tryingID(i int) string {
	for n := len(tryingIDs); n <= i; n++ {
		tryingIDs = append(tryingIDs, tryingSession(n))
	}
	return tryingIDs[i]
}

// Guards against a VM that takes a session for a new one because datagrams about it are still
// in transit.
func TestRoamingSessionKeepsItsVersionInALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		require.Empty(t, newFleet(91, 1).run(simulation{perS: 80, longest: 900 * time.Millisecond, id: tryingID, ends: rollOutTime / 2}))
	})
}

// anyID returns a session that may or may not use a new version.
func anyID(i int) string { return fmt.Sprint("session", i) }

// Guards against a VM that returns a session to the old version because it doesn't know yet
// that the new version was accepted.
func TestTakenSessionIsNotSentBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		moves := newFleet(91, 2).run(simulation{
			perS: 200, longest: 900 * time.Millisecond, id: anyID, ends: 25 * time.Second,
			decision: catalog.RollOutMoving, at: 20 * time.Second, lag: 2 * time.Second,
		})
		require.NotZero(t, moves["v1 v2"])
		require.Zero(t, moves["v2 v1"])
	})
}

// Guards against a VM that still tries a version after other VMs learnt that it was rolled
// back.
func TestSessionTakenBackStaysAtTheOldVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		moves := newFleet(91, 3).run(simulation{
			perS: 80, longest: 900 * time.Millisecond, id: tryingID, ends: rollOutTime / 2,
			decision: catalog.RollOutRolledBack, at: 8 * time.Second, lag: 2 * time.Second,
		})
		require.NotZero(t, moves["v2 v1"])
		require.Zero(t, moves["v1 v2"])
	})
}
