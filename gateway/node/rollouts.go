package node

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"goldcrestfork/durable"
	"goldcrestfork/fleet/rendezvous"
	"goldcrestfork/fleet/sticky"
	"goldcrestfork/gateway/catalog"
	"goldcrestfork/gateway/forward"
	"goldcrestfork/policy/pace"
	"goldcrestfork/policy/placement"
	"goldcrestfork/policy/trial"
)

const (
	// recordPause is the pause between attempts to record a decision.
	recordPause = 500 * time.Millisecond
	// tallyPause is the pause between log lines with the tallies of a roll-out in progress.
	tallyPause = 2 * time.Second
)

// rollouts introduces new versions. It splits sessions between versions and counts answers
// together with the other VMs; one VM records the decision.
//
// Lock order: rollouts.mu, then those of package trial.
type rollouts struct {
	n     *Node
	clock func() time.Duration

	mu     sync.Mutex
	orders map[string]*order // by service
	// inUse holds the version of the last completed roll-out of each service.
	inUse map[string]string
	// stopped holds the version of each service's last completed roll-out if its answers failed and it gets no requests.
	stopped map[string]string
	// usual holds the usual times of answers, by service.
	usual map[string]*pace.Times
	// reportTurn is the completed roll-out that the next datagram begins with.
	reportTurn int
	// due asks for a call of tick.
	due chan struct{}
	// open holds the requests in progress whose sessions may use a new version.
	open map[*pin]struct{}
}

// order is a service's newest roll-out.
type order struct {
	catalog.RollOut
	id             string
	trial          *trial.Trial
	lastRecordTry  time.Time // time of the last attempt to record
	loggedDecision trial.Decision
	loggedState    catalog.RollOutState
	lastTally      time.Duration // time of the last line with the tallies
	loggedErrors   uint64        // of the completed version in that line
	// learntAt is the time at which the VM learnt of the decision.
	learntAt   time.Duration
	bound      loadBound
	loggedStop bool
	oldStopped bool      // the version before is stopped
	lastKept   time.Time // time of the last attempt to record the standing
}

// decided reports whether the roll-out is decided, so that the new version's answers no longer
// count.
func (o *order) decided() bool { return o.State != "" && o.State != catalog.RollOutRunning }

// moving reports whether the new version gets all requests and may still be rolled back.
func (o *order) moving() bool { return o.State == catalog.RollOutMoving }

// compares reports whether answers count in the comparison of versions.
func (o *order) compares() bool { return !o.decided() || o.moving() }

// accepted reports whether the new version gets all requests.
func (o *order) accepted() bool { return o.moving() || o.State == catalog.RollOutCompleted }

// reported reports whether answers count, and VMs tell each other of them: until the version is rolled back.
func (o *order) reported() bool { return o.compares() || o.accepted() }

func newRollouts(n *Node) *rollouts {
	return &rollouts{
		n: n, clock: bootClock, due: make(chan struct{}, 1),
		orders: make(map[string]*order), inUse: make(map[string]string), stopped: make(map[string]string), usual: make(map[string]*pace.Times), open: make(map[*pin]struct{}),
	}
}

// wake makes the VM call tick soon.
func (r *rollouts) wake() {
	select {
	case r.due <- struct{}{}:
	default:
	}
}

// update applies the roll-out orders of the view.
func (r *rollouts) update() {
	for _, h := range r.updateOrders() {
		r.n.sticky.Set(h)
	}
}

// updateOrders applies the orders and returns holds for the requests in progress under new orders.
func (r *rollouts) updateOrders() (open []sticky.Hold) {
	now := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	known := make(map[string]bool)
	for _, o := range r.n.view.RollOuts() {
		known[o.Service] = true
		if o.State == catalog.RollOutCompleted {
			r.inUse[o.Service] = o.Target
			delete(r.stopped, o.Service)
		}
		id := o.Name + "/" + o.Target + "/" + strconv.FormatInt(o.Created, 10)
		old := r.orders[o.Service]
		if old != nil && old.id == id {
			if old.State != o.State {
				r.n.log.Info().Str("roll_out", id).Str("state", string(o.State)).Int64("revision", o.Revision).Msg("roll-out recorded")
			}
			if !old.decided() {
				old.learntAt = now
				if o.State == catalog.RollOutMoving {
					time.AfterFunc(trial.MinMoving+10*time.Millisecond, r.wake)
				}
			}
			old.RollOut = o
			old.trial.SetRecord(o.Standing)
			continue
		}
		r.n.table.BoundLoad(o.Service, placement.LoadBound{})
		b := r.n.bounds()
		current := &order{RollOut: o, id: id, learntAt: now, trial: trial.New(now, 0, o.Duration, b.Session, b.ExposureShare, b.ExposureSlack)}
		r.orders[o.Service] = current
		r.replace(old, current)
		r.n.log.Info().Str("roll_out", id).Str("state", string(o.State)).Int64("revision", o.Revision).
			Dur("duration_ms", o.Duration).Msg("roll-out ordered")
		open = append(open, r.openHolds(r.orders[o.Service])...)
	}
	for service := range r.orders {
		if !known[service] {
			r.n.table.BoundLoad(service, placement.LoadBound{})
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

// oldVersion is the choice for a request that doesn't use an order's version. If an earlier
// roll-out was completed, the choice is that one's version: endpoints of the version it
// replaced may still run, and sessions would return to them.
func (r *rollouts) oldVersion(o *order) forward.VersionChoice {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped[o.Service] != "" {
		return forward.VersionChoice{Stopped: true, RetryAfter: stoppedRetryAfter}
	}
	return forward.VersionChoice{Version: r.inUse[o.Service], ExcludedVersion: o.Target}
}

// RecordAnswer implements forward.Versions.
func (r *rollouts) RecordAnswer(a forward.AnswerResult) {
	o := r.order(a.Service)
	r.recordLoad(o, a)
	result := trial.Result{Failed: a.Failed, Broke: a.Broke}
	if !a.Failed {
		result.Finding = r.compare(a, o)
		if a.Answer.Unfinished && !result.Finding.Known() {
			return
		}
	}
	if o != nil && o.reported() && (o.compares() || a.Version == o.Target) {
		o.trial.CountAnswer(r.clock(), o.origin(a), result)
	}
}

// RecordPace implements forward.Versions.
func (r *rollouts) RecordPace(a forward.AnswerResult) {
	o := r.order(a.Service)
	f := r.compare(a, o)
	if o != nil && o.compares() && !a.Counted {
		o.trial.CountPace(r.clock(), o.origin(a), f.Pace)
	}
}

// origin returns the origin of an answer in the comparison of versions.
func (o *order) origin(a forward.AnswerResult) trial.Origin {
	return trial.Origin{New: a.Version == o.Target, Moving: o.accepted(), Class: trial.ClassOf(a.Route), Endpoint: a.Endpoint}
}

// VerySlow implements forward.Versions.
func (r *rollouts) VerySlow(a forward.AnswerResult) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o := r.orders[a.Service]; o == nil || !o.compares() {
		return false
	}
	return r.times(a.Service).Compare(a.Kind(), a.Answer).Pace == pace.VerySlow
}

// compare compares an answer with the usual ones of its route and model, and adds it to them unless
// the new version gave it.
func (r *rollouts) compare(a forward.AnswerResult, o *order) pace.Finding {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.times(a.Service)
	f := t.Compare(a.Kind(), a.Answer)
	if o == nil || a.Version != o.Target || o.State == catalog.RollOutCompleted {
		t.Add(a.Kind(), a.Answer)
	}
	return f
}

// times returns the usual times of a service's answers. Callers hold r.mu.
func (r *rollouts) times(service string) *pace.Times {
	t := r.usual[service]
	if t == nil {
		t = pace.NewTimes()
		r.usual[service] = t
	}
	return t
}

// tick advances the roll-outs in progress; the VM that ranks first for a roll-out records its
// state.
func (r *rollouts) tick(ctx context.Context) {
	now := r.clock()
	r.mu.Lock()
	var due []*order
	for _, o := range r.orders {
		r.logTallies(now, o)
		r.boundLoad(now, o)
		r.watchAccepted(now, o)
		if r.mustKeep(o) && r.isRecorder(o.id) {
			o.lastKept = time.Now()
			c := *o
			due = append(due, &c)
		}
		next, ok := r.nextState(now, o)
		if ok && time.Since(o.lastRecordTry) >= recordPause && r.isRecorder(o.id) {
			o.lastRecordTry = time.Now()
			c := *o
			c.State, c.StoppedVersion = next, ""
			if next != catalog.RollOutCompleted {
				c.StoppedVersion = r.stopped[o.Service]
			}
			due = append(due, &c)
		}
	}
	r.mu.Unlock()
	for _, o := range due {
		r.n.spawn(func() { r.record(ctx, o) })
	}
}

// nextState returns the state that an order should have; ok is false while the recorded state
// is right.
func (r *rollouts) nextState(now time.Duration, o *order) (next catalog.RollOutState, ok bool) {
	if !o.compares() {
		return o.State, false
	}
	var d trial.Decision
	var reason string
	taken := catalog.RollOutMoving
	if o.moving() {
		d, reason = o.trial.DecideMoving(now, now-o.learntAt)
		taken = catalog.RollOutCompleted
	} else {
		d, reason = o.trial.Decide(now)
	}
	if d != o.loggedDecision || o.State != o.loggedState {
		o.loggedDecision, o.loggedState = d, o.State
		r.addTallies(r.n.log.Info(), now, o).Int("decision", int(d)).Str("reason", reason).Str("state", string(o.State)).Msg("roll-out judged")
	}
	switch d {
	case trial.Take:
		return taken, true
	case trial.TakeBack:
		return catalog.RollOutRolledBack, true
	}
	return catalog.RollOutRunning, o.State == ""
}

// logTallies logs the tallies of a roll-out in progress, and of a completed one while its version's answers fail.
func (r *rollouts) logTallies(now time.Duration, o *order) {
	if !o.reported() || now-o.lastTally < tallyPause {
		return
	}
	if o.State == catalog.RollOutCompleted {
		errors := o.trial.Sum().Moved.Errors
		if errors == o.loggedErrors {
			return
		}
		o.loggedErrors = errors
	}
	o.lastTally = now
	r.addTallies(r.n.log.Info(), now, o).Str("state", string(o.State)).Msg("roll-out compared")
}

// addTallies adds a roll-out's age and the tallies of all VMs to a log line.
func (r *rollouts) addTallies(e *zerolog.Event, now time.Duration, o *order) *zerolog.Event {
	s := o.trial.Sum()
	return e.Str("roll_out", o.id).Dur("age_ms", o.trial.Age(now)).
		Str("from", s.From.String()).Str("to", s.To.String()).Str("moved", s.Moved.String()).
		Str("spread", s.Spread.String()).Str("from_loads", s.FromLoads.String()).Str("to_loads", s.ToLoads.String())
}

// isRecorder reports whether this VM ranks first among the VMs that are ready, so that only one
// records. Two VMs that both rank themselves first write the same state under the same
// condition.
func (r *rollouts) isRecorder(id string) bool {
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
	if o.accepted() {
		o.Standing = o.trial.Standing()
	}
	err := r.n.p.RecordRollOut(c, o.RollOut, o.State)
	e := r.n.log.Info()
	if err != nil && !errors.Is(err, durable.ErrConflict) {
		e = r.n.log.Warn()
	}
	e.Err(err).Str("roll_out", o.id).Str("state", string(o.State)).Int64("revision", o.Revision).
		Bool("stopped", o.Standing.Stopped).Uint64("bad", o.Standing.Bad).Int("load", o.Standing.Load).Msg("recording roll-out")
}
