package node

import (
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"goldcrestfork/gateway/catalog"
	"goldcrestfork/policy/trial"
)

// rollOutReport is what one VM knows of a roll-out.
type rollOutReport struct {
	Service string        `cbor:"1,keyasint"`
	ID      string        `cbor:"2,keyasint"`
	Age     time.Duration `cbor:"3,keyasint"`
	Counts  trial.Counts  `cbor:"4,keyasint"`
}

// reports returns this VM's part of a datagram about the roll-outs: all in progress, and completed ones in turn as far as
// size bytes hold them, one at least if none is in progress.
func (r *rollouts) reports(now time.Duration, size int) (orders []rollOutReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var completed []*order
	for _, o := range r.orders {
		switch {
		case o.State == catalog.RollOutCompleted:
			completed = append(completed, o)
		case o.reported():
			orders = append(orders, o.report(now))
		}
	}
	slices.SortFunc(completed, func(a, b *order) int { return strings.Compare(a.Service, b.Service) })
	for i := range completed {
		next := append(orders, completed[(r.reportTurn+i)%len(completed)].report(now))
		if b, err := cbor.Marshal(next); err != nil || len(b) > size && len(orders) > 0 {
			r.reportTurn += i
			return orders
		}
		orders = next
	}
	return orders
}

func (o *order) report(now time.Duration) rollOutReport {
	return rollOutReport{Service: o.Service, ID: o.id, Age: o.trial.Age(now), Counts: o.trial.LocalCounts()}
}

// mergeReports applies another VM's reports.
func (r *rollouts) mergeReports(now time.Duration, source string, orders []rollOutReport) {
	for _, ow := range orders {
		if o := r.order(ow.Service); o != nil && o.id == ow.ID {
			o.trial.SetPeerCounts(now, source, ow.Age, ow.Counts)
		}
	}
}
