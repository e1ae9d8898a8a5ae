package forward

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"goldcrestfork/gateway/upstream"
	"goldcrestfork/policy/placement"
	"goldcrestfork/policy/reach"
	"goldcrestfork/router/refusal"
)

// Detours sends requests through other VMs if this one can't connect to endpoints.
type Detours interface {
	// Needed decides whether a request goes through another VM.
	Needed(r reach.Request) bool
	// Next returns a VM for a request of the service that may run in the given regions (all if empty);
	// ok is false if there is none. Those in tried got the request before.
	Next(service string, regions, tried []string) (vm Peer, ok bool)
	// Unusable records that a VM gave no answer or reaches no endpoint either.
	Unusable(vm string)
	// Down records that all VMs that one request was sent to reached no endpoint of its service.
	Down(service string)
}

// Peer is another VM.
type Peer struct {
	Name    string
	Address string // ip:port for callers
}

// forwarded is what one VM tells another about a request that it sends there.
type forwarded struct {
	by string // the VM that the caller sent the request to
	// revision is that of the configuration that admitted the request, attempts the number of
	// attempts that are left.
	revision int64
	attempts int
}

func (f forwarded) String() string {
	return f.by + ";" + strconv.FormatInt(f.revision, 10) + ";" + strconv.Itoa(f.attempts)
}

// parseForwarded parses a forwarded; ok is false if the value is malformed. A caller can send one as
// well: it only restricts what the VM does for the request.
func parseForwarded(s string) (f forwarded, ok bool) {
	parts := strings.Split(s, ";")
	if len(parts) != 3 || parts[0] == "" {
		return f, false
	}
	var errRevision, errAttempts error
	f.by = parts[0]
	f.revision, errRevision = strconv.ParseInt(parts[1], 10, 64)
	f.attempts, errAttempts = strconv.Atoi(parts[2])
	return f, errRevision == nil && errAttempts == nil && f.attempts >= 0
}

// admitForwarded applies what another VM told about the request. A VM with an older configuration
// must not run it: the caller may have seen the effect of the newer one.
func (c *call) admitForwarded() *refusal.Refusal {
	text := c.r.Header.Get(c.h.cfg.Names.Forwarded)
	if text == "" {
		return nil
	}
	f, ok := parseForwarded(text)
	if !ok {
		return refusal.New(http.StatusBadRequest, refusal.BadRequest, "header %s has the malformed value %q", c.h.cfg.Names.Forwarded, text)
	}
	if c.conf.Revision < f.revision {
		return refusal.New(http.StatusServiceUnavailable, refusal.Stale, "configuration %d is older than %d of VM %q", c.conf.Revision, f.revision, f.by).WithRetryAfter(shortRetryAfter)
	}
	c.forwardedBy = f.by
	c.counted = c.r.Header.Get(c.h.cfg.Names.Counted) != ""
	c.maxForwardedAttempts = f.attempts
	return nil
}

// maxAttempts returns the number of endpoints that may run the request.
func (c *call) maxAttempts() int {
	most := max(c.route.MaxAttempts, 1)
	if c.forwardedBy != "" {
		most = min(most, c.maxForwardedAttempts)
	}
	return most
}

// recordPathFailure records that an endpoint took no connection, or ended one without an answer.
func (c *call) recordPathFailure(id string, err error) {
	if c.pathFailures.Failed == 0 {
		c.pathFailures.FirstFailed = c.sentAt
	}
	c.pathFailures.Failed++
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		c.pathFailures.TimedOut = true
	}
	c.unreached = append(c.unreached, id)
}

// dialFailure names, for the log, why no connection could be established.
func dialFailure(err error) string {
	var ne net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	case errors.As(err, &ne) && ne.Timeout():
		return "timeout"
	}
	return "failed"
}

// nextPeer returns a VM to send the request to, in the form of a choice, if the request can't go to an
// endpoint directly. noneLeft says that this VM can connect to no endpoint that may run it.
func (c *call) nextPeer(noneLeft bool) (placement.Choice, bool) {
	d := c.h.cfg.Detours
	met := c.pathFailures
	met.NoneLeft = noneLeft
	if c.forwardedBy != "" || len(c.peersTried) >= reach.MaxDetours || !d.Needed(met) {
		return placement.Choice{}, false
	}
	p, ok := d.Next(c.service, c.route.Regions, c.peersTried)
	if !ok {
		return placement.Choice{}, false
	}
	c.peersTried = append(c.peersTried, p.Name)
	c.via = &p
	return placement.Choice{ID: "vm:" + p.Name, Address: p.Address}, true
}

// peerOrRefuse returns another VM if this one can't connect to the endpoints that may run the request,
// and otherwise a refusal.
func (c *call) peerOrRefuse(detail string) (placement.Choice, *refusal.Refusal) {
	if !c.isUnreachable() {
		return placement.Choice{}, c.refuseFurther(detail)
	}
	if choice, ok := c.nextPeer(true); ok {
		return choice, nil
	}
	return placement.Choice{}, c.refuseUnreachable(detail)
}

// refuseUnreachable is refuseFurther for a request whose endpoints this VM can't connect to.
func (c *call) refuseUnreachable(detail string) *refusal.Refusal {
	refused := c.refuseFurther(detail)
	if c.ran == refusal.NotRun {
		refused.Code = refusal.NoEndpoint
	}
	return refused
}

// isUnreachable reports whether an endpoint could run the request if this VM could connect to it.
func (c *call) isUnreachable() bool {
	v, _ := c.pin.Choose(c.r.Context())
	r := c.placementRequest(v)
	r.Exclude = c.ranAt()
	return c.h.cfg.Table.HasUnreachable(time.Now(), r, c.unreached)
}

// ranAt returns the endpoints in tried that the request reached.
func (c *call) ranAt() (out []string) {
	for _, id := range c.tried {
		if !slices.Contains(c.unreached, id) {
			out = append(out, id)
		}
	}
	return out
}

// sendToPeer sends the request as the caller sent it to another VM, which admits it like any other.
func (c *call) sendToPeer(ctx context.Context, ch placement.Choice, lastEvent string) (*upstream.Answer, error) {
	n := &c.h.cfg.Names
	head := endToEnd(c.r.Header)
	head.Set(n.Deadline, upstream.RemainingMillis(c.deadline, time.Now()))
	head.Set(n.Forwarded, forwarded{by: c.h.cfg.Self, revision: c.conf.Revision, attempts: c.maxAttempts() - c.possibleRuns}.String())
	head.Del(n.Counted)
	if c.counted {
		head.Set(n.Counted, "1")
	}
	if lastEvent != "" {
		head.Set(n.LastEventID, lastEvent)
	}
	c.answer.reset()
	c.sentModel = c.model
	c.conn, c.sentAt = 0, time.Now()
	return c.h.cfg.PeerPool.Send(ctx, ch.Address, &upstream.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: head, Body: c.body,
		ID: c.id, IDHeader: n.RequestID, AtMostOnce: !c.repeatable(),
		OnSend: func(conn int64) { c.conn, c.grant, c.peerGrant = conn, nil, c.grant },
	})
}

// handlePeerError ends an attempt through a VM that got no answer head.
func (c *call) handlePeerError(ctx context.Context, ch placement.Choice, err error) (nextAction, *refusal.Refusal) {
	var e *upstream.Error
	sent := !errors.As(err, &e) || e.Sent
	if sent {
		c.possibleRuns++
		c.ran = refusal.Unknown
		c.counted = true
	}
	if ctx.Err() != nil {
		c.finishAttempt(ch, placement.NoSignal, "ended")
		return giveUp, c.contextRefusal(ctx)
	}
	c.h.cfg.Detours.Unusable(c.via.Name)
	if !sent {
		c.sizingNote = dialFailure(err)
		c.finishAttempt(ch, placement.NoSignal, "unreached")
		return tryNext, nil
	}
	c.finishAttempt(ch, placement.NoSignal, resultBroken)
	return c.outcomeUnknown("the connection to another VM broke")
}

// handlePeerNotRun ends an attempt through a VM that refused the request without having run it. It
// returns false for other answers.
func (c *call) handlePeerNotRun(ch placement.Choice, a *upstream.Answer) bool {
	if !c.believesRefusal(a) || !impliesNotRun(a.Status) {
		c.counted = true
		return false
	}
	var problem struct {
		Code refusal.Code `json:"code"`
	}
	body, err := c.readAnswerBody(c.r.Context(), a)
	if err == nil {
		// A refusal that can't be decoded has no code.
		_ = json.Unmarshal(body.held, &problem)
	}
	c.sizingNote = string(problem.Code)
	if a.Header.Get(c.h.cfg.Names.Counted) != "" {
		c.counted, c.reachedByPeer = true, true
	} else {
		c.grant = c.peerGrant
	}
	c.finishAttempt(ch, placement.NoSignal, "refused")
	if problem.Code == refusal.NoEndpoint {
		c.h.cfg.Detours.Unusable(c.via.Name)
		if c.peersWithoutEndpoint++; c.peersWithoutEndpoint == reach.MaxDetours {
			c.h.cfg.Detours.Down(c.service)
		}
	}
	return true
}
