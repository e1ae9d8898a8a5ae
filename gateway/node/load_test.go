package node

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"goldcrestfork/fleet/gossip"
)

// Guards against a keeper whose link can't carry the queries of its data centre while VMs with faster links are alive, and against VMs that disagree on the order.
func TestKeepersHaveTheFastestLinks(t *testing.T) {
	var members []gossip.Member
	for i := range 20 {
		link := 10
		if i%7 == 3 {
			link = 200
		}
		members = append(members, gossip.Member{Name: fmt.Sprint("vm", i), LinkMbps: link})
	}
	byLink, byHash := rankKeepers(members, true), rankKeepers(members, false)
	for _, m := range byLink[:3] {
		require.Equal(t, 200, m.LinkMbps)
	}
	var slow []gossip.Member
	for _, m := range byHash {
		if m.LinkMbps == 10 {
			slow = append(slow, m)
		}
	}
	require.Equal(t, slow, byLink[3:], "the others keep their order")
	reversed := make([]gossip.Member, 0, len(members))
	for i := range members {
		reversed = append(reversed, members[len(members)-1-i])
	}
	require.Equal(t, byLink, rankKeepers(reversed, true))
}
