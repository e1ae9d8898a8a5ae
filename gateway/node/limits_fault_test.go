package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"goldcrestfork/fleet/gossip"
	"goldcrestfork/fleet/quota"
	"goldcrestfork/fleet/rendezvous"
	"goldcrestfork/fleet/sticky"
	"goldcrestfork/policy/ratelimit"
)

// quotaFleet holds VMs that share request limits in virtual time, while VMs are killed and data
// centres are cut off.
type quotaFleet struct {
	rng   *rand.Rand
	began time.Time
	vms   []*quotaVM
	cut   string // the data centre that is cut off from the others, "" for none
}

type quotaVM struct {
	self      gossip.Member
	up        bool
	startedAt time.Time
	downUntil time.Time
	cutUntil  time.Time
	life      uint64
	sequence  uint64
	table     *gossip.Table
	quota     *quota.Service
	paused    map[string]time.Time // by endpoint
}

func (f *quotaFleet) clock() time.Duration { return time.Hour + time.Since(f.began) }

func newQuotaFleet(vms int, seed uint64) *quotaFleet {
	f := &quotaFleet{rng: rand.New(rand.NewPCG(seed, 7)), began: time.Now()}
	for i := range vms {
		f.vms = append(f.vms, &quotaVM{self: gossip.Member{Name: fmt.Sprint("vm", i), Peer: fmt.Sprint(i), DataCentre: fmt.Sprint("dc", i%3)}})
	}
	for _, v := range f.vms {
		f.start(v)
	}
	return f
}

// start starts a VM, which has read the entries of all VMs and heard none.
func (f *quotaFleet) start(v *quotaVM) {
	v.up, v.startedAt, v.table, v.paused = true, time.Now(), gossip.NewTable(v.self), make(map[string]time.Time)
	v.life++
	for _, other := range f.vms {
		v.table.Learn(f.clock(), other.self)
	}
	table, buckets := v.table, ratelimit.NewBuckets()
	v.quota = quota.New(quota.Config{
		Self: v.self.Name, Log: zerolog.Nop(), Registerer: prometheus.NewRegistry(),
		Ring: func(string) *sticky.Ring {
			return newLimitRings(table.Alive(f.clock()), nil)[anyRegion]
		},
		SeesMajority: func() bool { return table.SeesMajority(f.clock()) },
		Timeout:      func(string) time.Duration { return quotaTimeout },
		Decide: func(endpoint string, rate float64, deputy bool) time.Duration {
			role := ratelimit.First
			if deputy {
				role = ratelimit.Deputy
			}
			return buckets.Take(time.Now(), rendezvous.HashOf(endpoint), rate, role)
		},
		Send: func(b []byte, to string) error {
			if other := f.at(to); f.reaches(v, other) {
				other.quota.Receive(b, v.self.Peer)
			}
			return nil
		},
	})
}

func (f *quotaFleet) at(address string) *quotaVM {
	var i int
	fmt.Sscan(address, &i)
	return f.vms[i]
}

// reaches reports whether a datagram arrives.
func (f *quotaFleet) reaches(from, to *quotaVM) bool {
	apart := from.self.DataCentre != to.self.DataCentre && (from.self.DataCentre == f.cut || to.self.DataCentre == f.cut)
	return from.up && to.up && !apart && f.rng.Float64() >= lossShare
}

// round sends one round of datagrams of all VMs.
func (f *quotaFleet) round() {
	for _, v := range f.vms {
		if !v.up {
			continue
		}
		for _, batch := range v.table.Round(f.clock(), f.rng, false) {
			v.sequence++
			m := &gossip.Message{From: v.self, Incarnation: v.life, Sequence: v.sequence, Ready: true, Others: batch.Others, Reports: batch.Reports}
			for _, peer := range batch.To {
				if other := f.at(peer); f.reaches(v, other) {
					other.table.Apply(f.clock(), m)
				}
			}
		}
	}
}

// fault kills the keeper of an endpoint or another VM, all VMs, or cuts a data centre off.
func (f *quotaFleet) fault(endpoint string) {
	now := time.Now()
	kill := func(v *quotaVM) {
		v.up, v.downUntil = false, now.Add(time.Duration(200+f.rng.IntN(4000))*time.Millisecond)
	}
	switch f.rng.IntN(6) {
	case 0:
		for _, v := range f.vms {
			kill(v)
			v.downUntil = now.Add(500 * time.Millisecond)
		}
	case 1, 2:
		kill(f.vms[f.rng.IntN(len(f.vms))])
	case 3, 4:
		var names []string
		for _, v := range f.vms {
			names = append(names, v.self.Name)
		}
		first := rendezvous.Best(endpoint, names)
		for _, v := range f.vms {
			if v.self.Name == first {
				kill(v)
			}
		}
	case 5:
		f.cut = fmt.Sprint("dc", f.rng.IntN(3))
		for _, v := range f.vms {
			if v.self.DataCentre == f.cut {
				v.cutUntil = now.Add(6 * time.Second)
			}
		}
	}
}

// recover starts VMs that were killed long enough ago and ends a cut.
func (f *quotaFleet) recover() {
	now := time.Now()
	cut := false
	for _, v := range f.vms {
		if !v.up && now.After(v.downUntil) {
			f.start(v)
		}
		cut = cut || now.Before(v.cutUntil)
	}
	if !cut {
		f.cut = ""
	}
}

// contact is the time after a VM's restart or cut in which its requests are excused.
const contact = 3 * time.Second

func (v *quotaVM) excused(now time.Time) bool {
	return now.Sub(v.startedAt) < contact || now.Before(v.cutUntil.Add(contact))
}

// Guards against an endpoint that gets more than its limit allows because the VM that keeps the limit is lost, starts again or is cut off.
func TestLimitHoldsWhileVMsFail(t *testing.T) {
	const window, length, perSecond = 4 * time.Second, 40 * time.Second, 100
	for _, vms := range []int{7, 60} {
		for _, limit := range []float64{0.5, 1, 1.2, 3, 10} {
			synctest.Test(t, func(t *testing.T) {
				f := newQuotaFleet(vms, uint64(limit*10)+uint64(vms))
				end := time.Now().Add(length)
				nextRound, nextFault := time.Now(), time.Now().Add(5*time.Second)
				var counted, all []time.Time
				for time.Now().Before(end) {
					time.Sleep(time.Second / perSecond)
					now := time.Now()
					if !now.Before(nextRound) {
						f.round()
						nextRound = now.Add(gossip.Interval)
					}
					f.recover()
					if !now.Before(nextFault) {
						f.fault("e")
						nextFault = now.Add(time.Duration(500+f.rng.IntN(6000)) * time.Millisecond)
					}
					v := f.vms[f.rng.IntN(vms)]
					if !v.up || now.Before(v.paused["e"]) {
						continue
					}
					a := v.quota.Take(t.Context(), "e", limit)
					now = time.Now()
					if a.Wait > 0 {
						v.paused["e"] = now.Add(a.Wait)
						continue
					}
					all = append(all, now)
					if !v.excused(now) {
						counted = append(counted, now)
					}
				}
				worst := func(list []time.Time) (most int) {
					from := 0
					for i, at := range list {
						for at.Sub(list[from]) >= window {
							from++
						}
						most = max(most, i-from+1)
					}
					return most
				}
				allowed := int(1.5*limit*window.Seconds() + 5)
				t.Logf("%d VMs, limit %v: worst window %d, of VMs without a fault %d, allowed %d; %d requests in %s", vms, limit, worst(all), worst(counted), allowed, len(all), length)
				require.LessOrEqual(t, worst(counted), allowed)
				require.Greater(t, float64(len(all)), limit*length.Seconds()/8, "more than a deputy grants alone")
			})
		}
	}
}
