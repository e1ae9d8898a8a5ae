package tally

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"goldcrestfork/fleet/datagram"
)

// A single VM makes too few attempts at an endpoint to detect failures, so the outcomes of all
// VMs and data centres must be summed.
func TestOutcomesOfAllDataCentres(t *testing.T) {
	b := NewAggregator()
	for vm := range 3 {
		b.RecordOutcomes(0, fmt.Sprint("vm", vm), 1, 1, []Outcomes{NewOutcomes(1, 1, 2, false), NewOutcomes(2, 0, 1, false)}, false)
	}
	b.RecordOutcomes(0, "far", 1, 1, []Outcomes{NewOutcomes(1, 2, 4, false), NewOutcomes(3, 1, 1, false), NewOutcomes(4, 0, 0, true)}, true)
	require.ElementsMatch(t, []Outcomes{NewOutcomes(1, 5, 10, false), NewOutcomes(3, 1, 1, false), NewOutcomes(4, 0, 0, true)}, b.OutcomeSums(0, true))
	require.Equal(t, []Outcomes{NewOutcomes(1, 3, 6, false)}, b.OutcomeSums(0, false), "other data centres' sums aren't passed on")
	b.RecordOutcomes(0, "vm0", 1, 1, []Outcomes{NewOutcomes(5, 9, 9, false)}, false)
	require.Len(t, b.OutcomeSums(0, true), 3, "reordered outcomes")
	require.Empty(t, b.OutcomeSums(reportTTL+1, true), "silent VMs")
}

// With 2,000 endpoints, the outcomes must fit one datagram and contain the endpoints with the
// most failures.
func TestOutcomesFitADatagram(t *testing.T) {
	b := NewAggregator()
	var list []Outcomes
	for i := range 2000 {
		list = append(list, NewOutcomes(EndpointHash(fmt.Sprint(i)), float64(100+i)/10, 300, false))
	}
	b.RecordOutcomes(0, "vm", 1, 1, list, false)
	got := b.OutcomeSums(0, true)
	require.Len(t, got, maxOutcomes)
	require.Equal(t, EndpointHash("1999"), got[0].Endpoint)
	raw, err := cbor.Marshal(&message{
		Kind: kindFleetOutcomes, From: "front-a-long-data-centre-name-12", Incarnation: 1 << 63, Sequence: 1 << 40, Outcomes: got,
	})
	require.NoError(t, err)
	require.LessOrEqual(t, len(raw), datagram.MaxPacketSize)
}

// The outcomes that one VM reports must reach all VMs, the keeper included.
func TestOutcomesReachVMs(t *testing.T) {
	vms := open(t, 3)
	vms[1].outcomes.Store(&[]Outcomes{NewOutcomes(7, 3, 4, false)})
	for _, v := range vms {
		require.Eventually(t, func() bool {
			got := v.fleet.Load()
			return got != nil && len(*got) == 1 && (*got)[0] == NewOutcomes(7, 3, 4, false)
		}, 20*time.Second, time.Millisecond)
	}
}
