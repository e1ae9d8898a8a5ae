package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"goldcrestfork/gateway/catalog"
	"goldcrestfork/gateway/upstream"
	"goldcrestfork/policy/placement"
	"goldcrestfork/policy/poison"
	"goldcrestfork/policy/sizing"
	"goldcrestfork/router/refusal"
)

// call is one caller's request on its way.
type call struct {
	h     *Handler
	w     http.ResponseWriter
	r     *http.Request
	start time.Time
	id    string

	conf     *catalog.Config
	age      time.Duration // of the configuration's proof
	route    *catalog.Route
	account  *catalog.Account
	priority int
	whole    time.Duration
	deadline time.Time
	body     []byte
	prompt   prompt
	mark     uint64 // what the request asks, for package poison

	service string
	model   int      // index in the route's models, smallest first
	tried   []string // endpoints that it was sent to, or that refused the connection
	sends   int      // endpoints that ran it or may have
	wrong   int      // endpoints in another life than their entry's, which ran nothing
	full    int      // endpoints without room, which ran nothing
	dials   int      // connections that could not be made
	status  int      // of the answer that was passed on
	paid    bool     // the budget has granted the next attempt
	ran     refusal.Ran
	trail   []step
	pin     Pin    // nil before the service is known
	why     Why    // of the last choice of a version
	opinion string // the last answer's confidence and the outlook of a larger model, for the log
}

// step is one attempt in the request's log line.
type step struct {
	endpoint string
	model    string
	result   string
	opinion  string
	version  string
}

const (
	// maxDials bounds the endpoints whose connection may fail: each costs up to the dial
	// timeout, and a crash of a whole data centre leaves the others.
	maxDials = 4
	// quickDials bounds them while all failed within quickTime: a crashed endpoint
	// refuses at once, and half of sixty may be down while the VMs find out.
	quickDials = 16
	quickTime  = 150 * time.Millisecond
	// mostWrong bounds the endpoints that say that they are another one than was meant: each
	// costs a round trip, and all of a data centre may come back in new lives at once.
	mostWrong = 8
	// mostFull bounds those without room: each one more is sent a request that it must refuse.
	mostFull = 3
)

// verdict is what becomes of a request after an attempt.
type verdict int

const (
	done  verdict = iota // the caller has its answer
	again                // another endpoint may be tried
	stop                 // no further attempt
)

// run tries endpoints until the caller has an answer.
func (c *call) run() {
	c.ran = refusal.NotRun
	c.service = c.pickService()
	c.mark = uint64(poison.Of(c.accountName(), c.r.RequestURI, c.body))
	if c.h.cfg.Poison.Quarantined(c.service, c.mark) {
		c.refuse(refusal.New(http.StatusServiceUnavailable, refusal.Quarantined, "this request crashed the endpoints that ran it"))
		return
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	c.pin = c.h.cfg.Versions.Begin(c.service, c.session(), c.deadline)
	for {
		choice, bad := c.choose(ctx)
		if bad != nil {
			c.refuse(bad)
			return
		}
		var v verdict
		if c.route.Kind == catalog.Streaming {
			v, bad = c.stream(ctx, choice)
		} else {
			v, bad = c.plain(ctx, choice)
		}
		switch v {
		case done:
			c.finish("answered", c.status)
			return
		case stop:
			c.refuse(bad)
			return
		}
	}
}

func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// pickService draws a branch of the route by weight.
func (c *call) pickService() string {
	s := c.route.Services
	if len(s) == 1 {
		return s[0].Service
	}
	sum := 0.0
	for _, b := range s {
		sum += b.Weight
	}
	at := newRand().Float64() * sum
	for _, b := range s {
		if at -= b.Weight; at < 0 {
			return b.Service
		}
	}
	return s[len(s)-1].Service
}

// need describes the request for package placement.
func (c *call) need(v Choice) *placement.Request { return c.needOf(v, c.model) }

// needOf describes it as it would be for one of the route's models.
func (c *call) needOf(v Choice, model int) *placement.Request {
	r := &placement.Request{
		Service: c.service, Version: v.Only, NotVersion: v.Not, Regions: c.route.Regions,
		Exclude: c.tried, Work: 1,
	}
	weight := 1.0
	if c.prompt.wildcard {
		weight = sizing.Work(model, len(c.route.Models))
	}
	r.Prefill = weight * float64(c.prompt.whole) / workTokens
	if c.prompt.affinity != "" {
		r.Affinity = c.prompt.affinity + "/" + strconv.Itoa(model)
		r.Saving = weight * float64(c.prompt.shared) / workTokens
	}
	return r
}

// pick chooses an endpoint of the session's version; where it has none, of any that
// may be used.
func (c *call) pick(ctx context.Context) (placement.Choice, placement.Miss) {
	if c.tallied() {
		c.h.cfg.Load.Ask(ctx)
		defer c.h.cfg.Load.Changed()
	}
	var v Choice
	v, c.why = c.pin.Choose(ctx)
	ch, miss := c.h.cfg.Table.Pick(time.Now(), newRand(), c.need(v))
	if miss == placement.NoEndpoint && v.Only != "" {
		ch, miss = c.h.cfg.Table.Pick(time.Now(), newRand(), c.need(Choice{Not: v.Not}))
	}
	return ch, miss
}

// session ties the request to others; empty for none.
func (c *call) session() string { return c.r.Header.Get(c.h.cfg.Names.Session) }

// tallied says that the request takes an endpoint long enough for the fleet's load to
// matter.
func (c *call) tallied() bool { return c.route.Kind == catalog.Streaming }

// workTokens is the prompt that the smallest model reads in the time that one more
// running request costs the others at its engine.
const workTokens = 1000

// choose picks an endpoint, or says why there is none.
func (c *call) choose(ctx context.Context) (placement.Choice, *refusal.Refusal) {
	if err := ctx.Err(); err != nil {
		return placement.Choice{}, c.ended(err)
	}
	if c.sends >= max(c.route.MaxAttempts, 1) {
		return placement.Choice{}, c.noMore("all attempts failed")
	}
	if c.wrong > mostWrong || c.full >= mostFull {
		return placement.Choice{}, c.noMore("the endpoints that were tried did not run it")
	}
	if c.dials > maxDials && (c.dials > quickDials || time.Since(c.start) > quickTime) {
		return placement.Choice{}, c.noMore("no endpoint could be reached")
	}
	if c.arrivals() > 0 && !c.paid && !c.h.cfg.Budget.Again(c.service) {
		return placement.Choice{}, c.noMore("too many requests are being tried again")
	}
	c.paid = false
	choice, miss := c.pick(ctx)
	if miss != placement.Picked {
		return choice, c.noMore(missText[miss])
	}
	if c.arrivals() == 0 && c.dials == 0 {
		c.h.cfg.Budget.First(c.service)
	}
	return choice, nil
}

// arrivals is how many endpoints the request reached, whether they ran it or not.
func (c *call) arrivals() int { return c.sends + c.wrong + c.full }

var missText = map[placement.Miss]string{
	placement.NoEndpoint: "no endpoint serves this now",
	placement.AllCold:    "the endpoints are in cold start",
	placement.AllTried:   "all endpoints were tried",
}

// noMore is the refusal when no attempt is left: true to what became of those before.
func (c *call) noMore(why string) *refusal.Refusal {
	if c.ran != refusal.NotRun {
		return refusal.New(http.StatusBadGateway, refusal.EndpointFailed, "%s", why).WhichRan(c.ran)
	}
	return refusal.New(http.StatusServiceUnavailable, refusal.Overloaded, "%s", why).After(c.comeBack())
}

// comeBack is when a refused caller should ask again: late enough for requests that
// run now to end, early enough to be in time, spread so that those that were refused
// together don't return together.
func (c *call) comeBack() time.Duration {
	left := time.Until(c.deadline)
	return max(min(left/4, time.Second), 0)/2 + time.Duration(newRand().Float64()*float64(max(min(left/4, time.Second), 1))/2)
}

// ended is the final answer when the request's time is over or its caller left.
func (c *call) ended(err error) *refusal.Refusal {
	if errors.Is(err, context.DeadlineExceeded) {
		return refusal.New(http.StatusGatewayTimeout, refusal.DeadlineTooShort, "no answer in time").WhichRan(c.ran)
	}
	return refusal.New(statusGone, refusal.DeadlineTooShort, "the caller left").WhichRan(c.ran)
}

// statusGone is logged for callers that left; nobody receives it.
const statusGone = 499

// send makes one attempt and returns the head of its answer.
func (c *call) send(ctx context.Context, ch placement.Choice, lastEvent string) (*upstream.Answer, error) {
	n := &c.h.cfg.Names
	head := endToEnd(c.r.Header)
	for _, name := range n.Owned {
		head.Del(name)
	}
	head.Set(n.RequestID, c.id)
	head.Set(n.ExpectInstance, ch.ID)
	head.Set(n.Deadline, upstream.Budget(c.deadline, time.Now()))
	if c.account != nil {
		head.Set(n.Account, c.account.Name)
	}
	if c.prompt.wildcard {
		head.Set(n.Model, c.route.Models[c.model])
	}
	if lastEvent != "" {
		head.Set(n.LastEvent, lastEvent)
	}
	req := &upstream.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: head, Body: c.body,
		ID: c.id, IDHeader: n.RequestID, Once: !c.repeatable(),
	}
	c.h.cfg.Poison.Begin(c.service, ch.ID, c.mark)
	a, err := c.h.cfg.Pool.Send(ctx, ch.Address, req)
	if err == nil {
		c.learn(ch, a)
	}
	return a, err
}

// repeatable says that the request may run more than once.
func (c *call) repeatable() bool {
	return c.route.Kind == catalog.Idempotent || c.route.Kind == catalog.Streaming && c.route.Resume
}

// learn passes on what an answer's head says of its endpoint.
func (c *call) learn(ch placement.Choice, a *upstream.Answer) {
	n := &c.h.cfg.Names
	now := time.Now()
	if c.tallied() {
		c.h.cfg.Table.Began(now, ch)
		c.h.cfg.Load.Changed()
	}
	if ms := number(a.Header.Get(n.Cold)); ms > 0 {
		c.h.cfg.Table.Cold(now, ch.ID, time.Duration(ms)*time.Millisecond)
	}
}

// failed settles an attempt without an answer's head; t is nil where it had no limit of its own.
func (c *call) failed(ctx context.Context, ch placement.Choice, t *attempt, err error) (verdict, *refusal.Refusal) {
	var e *upstream.Error
	sent := !errors.As(err, &e) || e.Sent
	if sent && t != nil && t.isOverdue() && ctx.Err() == nil {
		c.ran = refusal.Unknown
		c.moved(ch, t)
		return again, nil
	}
	if !sent && ctx.Err() == nil {
		c.settle(ch, placement.Unreached, "unreached")
		c.dials++
		c.tried = append(c.tried, ch.ID)
		return again, nil
	}
	if sent {
		c.sends++
		c.ran = refusal.Unknown
		c.tried = append(c.tried, ch.ID)
	}
	if cause := ctx.Err(); cause != nil {
		c.settle(ch, placement.Neutral, "ended")
		return stop, c.ended(cause)
	}
	c.settle(ch, placement.Broken, resultBroken)
	c.answered(ch, true, 0)
	return c.unknown("the connection broke")
}

// unknown settles an attempt that may have run, or ran to no good end.
func (c *call) unknown(why string) (verdict, *refusal.Refusal) {
	if c.repeatable() {
		return again, nil
	}
	return stop, refusal.New(http.StatusBadGateway, refusal.OutcomeUnknown, "%s", why).WhichRan(c.ran)
}

// refused settles an answer that says that the endpoint did not run the request, which
// costs none of the route's attempts. It returns false for other answers.
func (c *call) refused(ch placement.Choice, a *upstream.Answer) bool {
	n := &c.h.cfg.Names
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		c.settle(ch, placement.Gone, "misdirected")
		c.wrong++
	case a.Header.Get(n.NotRun) != "" && a.Status >= 400:
		c.settle(ch, placement.Full, "full")
		c.full++
	default:
		return false
	}
	c.tried = append(c.tried, ch.ID)
	return true
}

// answered passes on what an endpoint of a version made of the request.
func (c *call) answered(ch placement.Choice, failed bool, took time.Duration) {
	a := Answered{Service: c.service, Version: ch.Version, Route: c.route.Name, Failed: failed, Took: took}
	if c.prompt.wildcard {
		a.Model = c.route.Models[c.model]
	}
	c.h.cfg.Versions.Answered(a)
}

// resultOK is a whole answer, resultBroken a connection that broke; the others are in
// docs/OPERATIONS.md.
const (
	resultOK     = "ok"
	resultBroken = "broken"
)

// settle gives the endpoint's place back and notes the step.
func (c *call) settle(ch placement.Choice, o placement.Outcome, result string) {
	c.h.cfg.Table.Done(time.Now(), ch, o)
	if c.tallied() {
		c.h.cfg.Load.Changed()
	}
	c.h.cfg.Poison.End(Attempt{
		Service: c.service, Endpoint: ch.ID, Address: ch.Address, Fingerprint: c.mark,
		Survived: result == resultOK, Broke: result == resultBroken,
	})
	model := ""
	if c.prompt.wildcard {
		model = strconv.Itoa(c.model)
	}
	c.trail = append(c.trail, step{endpoint: ch.ID, model: model, result: result, opinion: c.opinion, version: ch.Version})
	c.opinion = ""
	c.h.cfg.Metrics.attempts.WithLabelValues(result).Inc()
}
