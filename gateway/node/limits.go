package node

import (
	"maps"
	"math"
	"slices"
	"time"

	"goldcrestfork/fleet/datagram"
	"goldcrestfork/fleet/gossip"
	"goldcrestfork/fleet/quota"
	"goldcrestfork/fleet/rendezvous"
	"goldcrestfork/fleet/sticky"
	"goldcrestfork/policy/ratelimit"
)

const (
	// quotaTag marks the datagrams of package quota between VMs.
	quotaTag = 2
	// quotaTimeout is how long the keeper of an endpoint's request limit has to answer: several
	// round trips between the data centres of a region.
	quotaTimeout = 20 * time.Millisecond
	// remoteQuotaTimeout applies instead if the endpoint is in another region.
	remoteQuotaTimeout = 250 * time.Millisecond
)

// newQuota returns this VM's part of the endpoints' request limits; its datagrams use gossip's
// socket.
func (n *Node) newQuota() *quota.Service {
	var channel datagram.Channel
	s := quota.New(quota.Config{
		Self: n.s.VM, Ring: n.limitRing, SeesMajority: n.seesMajority, Timeout: n.limitTimeout, Log: n.log, Registerer: n.registry,
		Decide: func(endpoint string, rate float64, deputy bool) time.Duration {
			role := ratelimit.First
			if deputy {
				role = ratelimit.Deputy
			}
			return n.buckets.Take(time.Now(), rendezvous.HashOf(endpoint), rate, role)
		},
		Send: func(b []byte, to string) error { return channel.Send(b, to) },
	})
	channel = n.gossip.Channel(quotaTag, "limits", s.Receive)
	return s
}

// limitRing returns the ring of the VMs that may keep an endpoint's request limit: those that are
// alive in its region, or all if there are none. VMs that aren't ready belong to it, since they
// may still serve callers, and all VMs can be not ready at once.
func (n *Node) limitRing(endpoint string) *sticky.Ring {
	rings := n.limitRings.get(bootClock(), func() map[string]*sticky.Ring {
		return newLimitRings(n.gossip.Table().Alive(bootClock()), n.s.Regions)
	})
	if r := rings[n.table.Region(endpoint)]; r != nil {
		return r
	}
	return rings[anyRegion]
}

// anyRegion is the key of the ring of all VMs.
const anyRegion = ""

// newLimitRings returns the rings of the VMs that are alive by region. regions maps data centres
// to regions.
func newLimitRings(alive []gossip.Member, regions map[string]string) map[string]*sticky.Ring {
	keepers := make(map[string][]sticky.Keeper)
	for _, m := range alive {
		k := sticky.Keeper{Name: m.Name, Address: m.Peer}
		keepers[anyRegion] = append(keepers[anyRegion], k)
		if region := regions[m.DataCentre]; region != anyRegion {
			keepers[region] = append(keepers[region], k)
		}
	}
	rings := make(map[string]*sticky.Ring, len(keepers))
	for region, list := range keepers {
		rings[region] = sticky.NewRing(list...)
	}
	return rings
}

func (n *Node) limitTimeout(endpoint string) time.Duration {
	if region := n.table.Region(endpoint); region != anyRegion && region != n.s.Regions[n.s.DataCentre] {
		return remoteQuotaTimeout
	}
	return quotaTimeout
}

const (
	// statementTTL is how long other VMs are told what an endpoint stated, several times the time
	// that it takes to reach all VMs.
	statementTTL = 10 * time.Second
	// maxStatements bounds the statements in one datagram, 19 bytes each.
	maxStatements = 12
)

// limitReport is what an endpoint stated about its request limit.
type limitReport struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint32   // rendezvous.Hash.Short of its ID
	Rate     float64  // requests a second
	Limited  bool     // whether Rate applies
	AgeMs    uint32
}

// limitReports returns this VM's part of a datagram about request limits, also those that it
// learnt from other VMs: in a large fleet few VMs have requests at the endpoint. If there are too
// many for a datagram, each call continues after the last one.
func (n *Node) limitReports() (out []limitReport) {
	now := time.Now()
	statements := n.table.LimitStatements(now, statementTTL)
	shorts := slices.Sorted(maps.Keys(statements))
	first, found := slices.BinarySearch(shorts, n.lastReported.Load())
	if found {
		first++
	}
	for i := range min(len(shorts), maxStatements) {
		short := shorts[(first+i)%len(shorts)]
		s := statements[short]
		out = append(out, limitReport{Endpoint: short, Rate: s.Rate, Limited: s.Limited, AgeMs: uint32(max(now.Sub(s.At).Milliseconds(), 0))})
		n.lastReported.Store(short)
	}
	return out
}

// mergeLimitReports applies another VM's reports, and passes over those that are invalid.
func (n *Node) mergeLimitReports(from string, reports []limitReport) {
	now := time.Now()
	for _, r := range reports {
		age := time.Duration(r.AgeMs) * time.Millisecond
		if !(r.Rate >= 0 && r.Rate <= math.MaxFloat64) || age > statementTTL { // true for NaN
			continue
		}
		id, changed := n.table.MergeLimit(r.Endpoint, ratelimit.Statement{Rate: r.Rate, Limited: r.Limited, At: now.Add(-age)})
		if changed {
			n.log.Info().Str("endpoint", id).Bool("limited", r.Limited).Float64("per_s", r.Rate).Str("from", from).Dur("age_ms", age).
				Msg("request limit heard from another VM")
		}
	}
}
