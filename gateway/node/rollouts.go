package node

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"goldcrestfork/durable"
	"goldcrestfork/fleet/rendezvous"
	"goldcrestfork/fleet/sticky"
	"goldcrestfork/gateway/catalog"
	"goldcrestfork/gateway/forward"
	"goldcrestfork/policy/trial"
)

const (
	// recordPause spaces tries to record a decision.
	recordPause = 500 * time.Millisecond
	// slowTimes is how many times its usual time an answer takes to count as slow: a
	// version that is several times as slow passes it nearly always, and the usual
	// spread of prompts seldom.
	slowTimes = 4
	// usualGain is the weight of one answer in the usual time, about the last ten.
	usualGain = 0.1
)

// rollouts brings versions in: it splits sessions between versions, counts answers
// with the other VMs, and one VM records the decision.
//
// Lock order: rollouts.mu, then those of package trial.
type rollouts struct {
	n     *Node
	clock func() time.Duration

	mu     sync.Mutex
	orders map[string]*order // by service
	// inUse is the version that the last completed roll-out of a service brought in.
	inUse map[string]string
	usual map[string]float64
	// open are the requests under way whose sessions would try a new version.
	open map[*pin]struct{}
}

// order is a service's newest roll-out.
type order struct {
	catalog.RollOut
	id     string
	trial  *trial.Trial
	tried  time.Time // last try to record
	logged trial.Decision
	// learnt is when the VM learnt of the decision.
	learnt time.Duration
}

// judged says that the new version's answers don't count any more.
func (o *order) judged() bool { return o.State != "" && o.State != catalog.RollOutRunning }

func newRollouts(n *Node) *rollouts {
	return &rollouts{
		n: n, clock: bootClock,
		orders: make(map[string]*order), inUse: make(map[string]string), usual: make(map[string]float64), open: make(map[*pin]struct{}),
	}
}

// changed takes the operators' orders anew.
func (r *rollouts) changed() {
	for _, h := range r.takeOrders() {
		r.n.sticky.Set(h)
	}
}

// takeOrders returns the sessions under way under new orders.
func (r *rollouts) takeOrders() (open []sticky.Hold) {
	now := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	known := make(map[string]bool)
	for _, o := range r.n.view.RollOuts() {
		known[o.Service] = true
		if o.State == catalog.RollOutCompleted {
			r.inUse[o.Service] = o.Target
		}
		id := o.Name + "/" + o.Target + "/" + strconv.FormatInt(o.Created, 10)
		old := r.orders[o.Service]
		if old != nil && old.id == id {
			if old.State != o.State {
				r.n.log.Info().Str("roll_out", id).Str("state", string(o.State)).Int64("revision", o.Revision).Msg("roll-out recorded")
			}
			if !old.judged() {
				old.learnt = now
			}
			old.RollOut = o
			continue
		}
		b := r.n.bounds()
		r.orders[o.Service] = &order{RollOut: o, id: id, learnt: now, trial: trial.New(now, 0, o.Duration, b.Session, b.ExposureShare)}
		r.n.log.Info().Str("roll_out", id).Str("state", string(o.State)).Int64("revision", o.Revision).
			Dur("duration_ms", o.Duration).Msg("roll-out ordered")
		open = append(open, r.opened(r.orders[o.Service])...)
	}
	for service := range r.orders {
		if !known[service] {
			delete(r.orders, service)
		}
	}
	return open
}

func (r *rollouts) order(service string) *order {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.orders[service]
	if o == nil {
		return nil
	}
	c := *o
	return &c
}

// old is the choice of a request that isn't to try an order's version. Where a roll-out
// was completed before, it is that one's version: endpoints of the version replaced then
// may still be there, and sessions went back to them.
func (r *rollouts) old(o *order) forward.Choice {
	r.mu.Lock()
	defer r.mu.Unlock()
	return forward.Choice{Only: r.inUse[o.Service], Not: o.Target}
}

// Answered implements forward.Versions.
func (r *rollouts) Answered(a forward.Answered) {
	o := r.order(a.Service)
	slow := r.slow(a, o)
	if o != nil && !o.judged() {
		o.trial.Answered(a.Version == o.Target, a.Failed, slow)
	}
}

// slow compares an answer's time with what the old version usually takes.
func (r *rollouts) slow(a forward.Answered, o *order) bool {
	if a.Failed || a.Took == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key, took := a.Route+"/"+a.Model, a.Took.Seconds()
	usual, ok := r.usual[key]
	isNew := o != nil && a.Version == o.Target
	if !isNew {
		if !ok {
			r.usual[key] = took
		} else {
			r.usual[key] += usualGain * (took - usual)
		}
	}
	return ok && took > slowTimes*usual
}

// orderWord is what one VM knows of a roll-out.
type orderWord struct {
	Service string        `cbor:"1,keyasint"`
	ID      string        `cbor:"2,keyasint"`
	Age     time.Duration `cbor:"3,keyasint"`
	Counts  trial.Counts  `cbor:"4,keyasint"`
}

// word returns this VM's part of a datagram on the roll-outs under way.
func (r *rollouts) word(now time.Duration) (orders []orderWord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, o := range r.orders {
		if !o.judged() || o.State == catalog.RollOutMoving {
			orders = append(orders, orderWord{Service: service, ID: o.id, Age: o.trial.Age(now), Counts: o.trial.Own()})
		}
	}
	return orders
}

// take takes another VM's word.
func (r *rollouts) take(now time.Duration, source string, orders []orderWord) {
	for _, ow := range orders {
		if o := r.order(ow.Service); o != nil && o.id == ow.ID {
			o.trial.Heard(now, source, ow.Age, ow.Counts)
		}
	}
}

// tick takes the roll-outs under way on; the VM that ranks first for one records it.
func (r *rollouts) tick(ctx context.Context) {
	now := r.clock()
	r.mu.Lock()
	var due []*order
	for _, o := range r.orders {
		next, ok := r.next(now, o)
		if ok && time.Since(o.tried) >= recordPause && r.first(o.id) {
			o.tried = time.Now()
			c := *o
			c.State = next
			due = append(due, &c)
		}
	}
	r.mu.Unlock()
	for _, o := range due {
		r.n.spawn(func() { r.record(ctx, o) })
	}
}

// next is the state that an order should be in; ok is false while the one recorded holds.
func (r *rollouts) next(now time.Duration, o *order) (next catalog.RollOutState, ok bool) {
	if o.State == catalog.RollOutMoving {
		return catalog.RollOutCompleted, o.trial.Moved(now, now-o.learnt)
	}
	if o.judged() {
		return o.State, false
	}
	d, reason := o.trial.Judge(now)
	if d != o.logged {
		o.logged = d
		s := o.trial.Sum()
		r.n.log.Info().Str("roll_out", o.id).Int("decision", int(d)).Str("reason", reason).
			Uint64("from", s.From.Requests).Uint64("from_errors", s.From.Errors).Uint64("from_slow", s.From.Slow).
			Uint64("to", s.To.Requests).Uint64("to_errors", s.To.Errors).Uint64("to_slow", s.To.Slow).
			Dur("age_ms", o.trial.Age(now)).Msg("roll-out judged")
	}
	switch d {
	case trial.Take:
		return catalog.RollOutMoving, true
	case trial.TakeBack:
		return catalog.RollOutRolledBack, true
	}
	return catalog.RollOutRunning, o.State == ""
}

// first says that this VM ranks first among those that are ready, so that one call
// does. Two that both think so write the same, under the same condition.
func (r *rollouts) first(id string) bool {
	if !r.n.Ready() {
		return false
	}
	names := []string{r.n.s.VM}
	for _, m := range r.n.gossip.Table().Usable(bootClock(), "") {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	return rendezvous.Best(id, names) == r.n.s.VM
}

func (r *rollouts) record(ctx context.Context, o *order) {
	c, cancel := context.WithTimeout(ctx, durable.CallTimeout)
	defer cancel()
	err := r.n.p.RecordRollOut(c, o.RollOut, o.State)
	e := r.n.log.Info()
	if err != nil && !errors.Is(err, durable.ErrConflict) {
		e = r.n.log.Warn()
	}
	e.Err(err).Str("roll_out", o.id).Str("state", string(o.State)).Int64("revision", o.Revision).Msg("recording roll-out")
}
