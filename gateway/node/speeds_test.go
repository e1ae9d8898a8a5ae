package node

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"goldcrestfork/fleet/tally"
	"goldcrestfork/policy/placement"
)

// newSpeedNode returns a VM with two endpoints that takes part in the topic pace.
func newSpeedNode(log *bytes.Buffer) *Node {
	registry := prometheus.NewRegistry()
	n := &Node{table: placement.New("a"), log: zerolog.New(log), sums: make(map[uint8]sumTopic), slowEndpoints: newSlowEndpoints(registry)}
	n.addSums(topicPace, n.collectPaces, n.applyPaces)
	for _, id := range []string{"e0", "e1", "e2", "e3", "e4"} {
		n.table.Set(time.Now(), placement.Spec{ID: id, Service: "s", DataCentre: "a", Slots: 8})
	}
	return n
}

// Guards against datagrams in fleets without a managed service, against VMs that learn nothing from the others, and against operators who aren't told of a slow endpoint, or are told of each moment.
func TestPacesOfOtherVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		n := newSpeedNode(&log)
		require.Empty(t, n.collectSums())
		totals := tally.TopicSums{Topic: topicPace, List: []tally.Sum{{Key: tally.EndpointHash("e0"), A: 15, B: 10}, {Key: 1, A: 1, B: 1}}}
		for _, id := range []string{"e1", "e2", "e3", "e4"} {
			totals.List = append(totals.List, tally.Sum{Key: tally.EndpointHash(id), A: 0, B: 10})
		}
		n.applySums(totals)
		require.True(t, n.table.Managed("s"))
		require.Equal(t, []tally.TopicSums{{Topic: topicPace, List: []tally.Sum{}}}, n.collectSums())
		n.reportSlowEndpoints()
		require.Greater(t, n.table.Rows(time.Now())[0].Factor, 3.0)
		time.Sleep(500 * time.Millisecond)
		n.reportSlowEndpoints()
		require.Empty(t, log.String(), "slow for a moment")
		n.applySums(totals)
		time.Sleep(500 * time.Millisecond)
		n.reportSlowEndpoints()
		require.Equal(t, 1, strings.Count(log.String(), `"endpoint":"e0"`))
		require.Contains(t, log.String(), "endpoint is slow")
		for range 8 { // no totals any more
			time.Sleep(500 * time.Millisecond)
			n.reportSlowEndpoints()
		}
		require.Equal(t, 1.0, n.table.Rows(time.Now())[0].Factor)
		require.Contains(t, log.String(), "endpoint has recovered its speed")
		require.Equal(t, 2, strings.Count(log.String(), `"endpoint"`))
	})
}
