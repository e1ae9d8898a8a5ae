package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"goldcrestfork/fleet/datagram"
	"goldcrestfork/fleet/gossip"
	"goldcrestfork/policy/placement"
)

// limitFleet lets VMs exchange datagrams about request limits; one in a hundred is lost.
type limitFleet struct {
	*fleet
	nodes    []*Node
	sequence uint64
}

func newLimitFleet(vms, endpoints int) *limitFleet {
	f := &limitFleet{fleet: newFleet(vms, 1)}
	for range f.vms {
		n := &Node{table: placement.New("a"), log: zerolog.Nop()}
		for e := range endpoints {
			n.table.Set(time.Now(), placement.Spec{ID: fmt.Sprint("e", e), Service: "s"})
		}
		f.nodes = append(f.nodes, n)
	}
	return f
}

// round sends the datagrams of one round of every VM, and returns the size of the largest payload.
func (f *limitFleet) round(t *testing.T) (largest int) {
	f.now += gossip.Interval
	f.sequence++
	for i, v := range f.vms {
		payload, err := cbor.Marshal(gossipPayload{Limits: f.nodes[i].limitReports()})
		require.NoError(t, err)
		largest = max(largest, len(payload))
		for b, batch := range v.table.Round(f.now, f.rng, true) {
			m := &gossip.Message{From: v.self, Incarnation: 1, Sequence: 1000 + 2*f.sequence + uint64(b), Ready: true, Others: batch.Others, Reports: batch.Reports}
			for _, peer := range batch.To {
				if f.rng.Float64() < lossShare {
					continue
				}
				f.at(peer).table.Apply(f.now, m)
				for j, other := range f.vms {
					if other == f.at(peer) {
						var w gossipPayload
						require.NoError(t, cbor.Unmarshal(payload, &w))
						f.nodes[j].mergeLimitReports(v.self.Name, w.Limits)
					}
				}
			}
		}
	}
	return largest
}

// knowing returns how many VMs know a limit of an endpoint.
func (f *limitFleet) knowing(endpoint string) (vms int) {
	for _, n := range f.nodes {
		for _, row := range n.table.Rows(time.Now()) {
			if row.ID == endpoint && row.Limit != nil {
				vms++
			}
		}
	}
	return vms
}

// Guards against a request to a limited endpoint from each VM of a large fleet, because only those with an answer of it know its limit.
func TestLimitReachesAllVMsOfALargeFleet(t *testing.T) {
	const vms = 195
	f := newLimitFleet(vms, 1)
	require.True(t, f.nodes[7].table.SetLimit(time.Now(), "e0", 1))
	for range 5 {
		f.round(t)
	}
	require.Equal(t, vms, f.knowing("e0"), "after 2 s")
	ended := time.Now()
	require.True(t, f.nodes[9].table.EndLimit(ended, "e0", ended))
	for range 5 {
		f.round(t)
	}
	require.Zero(t, f.knowing("e0"), "2 s after it ended")
}

// Guards against a limit that differs by rounding at each VM, so that every datagram and answer counts as a change.
func TestLimitIsTheSameAtAllVMs(t *testing.T) {
	f := newLimitFleet(3, 1)
	f.nodes[0].table.SetLimit(time.Now(), "e0", 1.2)
	for range 4 {
		f.round(t)
	}
	require.Equal(t, 3, f.knowing("e0"))
	for _, n := range f.nodes {
		require.False(t, n.table.SetLimit(time.Now(), "e0", 1.2), "the endpoint states it again")
	}
}

// Guards against datagrams that are too large, or limits that never get a turn, when many endpoints state one.
func TestManyLimitsFitDatagrams(t *testing.T) {
	const vms, endpoints = 50, 40
	f := newLimitFleet(vms, endpoints)
	for e := range endpoints {
		f.nodes[e].table.SetLimit(time.Now(), fmt.Sprint("e", e), 1)
	}
	for range 12 {
		require.LessOrEqual(t, f.round(t), datagram.MaxPacketSize/5)
	}
	for e := range endpoints {
		require.Equal(t, vms, f.knowing(fmt.Sprint("e", e)))
	}
}
