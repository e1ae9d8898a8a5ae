package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"goldcrestfork/config"
	"goldcrestfork/router/dispatch"
	"goldcrestfork/router/refusal"
	"goldcrestfork/router/service"
)

// plainRequest is one call of a plain service in progress.
type plainRequest struct {
	*Caller
	service    string
	method     string
	path       string
	header     http.Header
	body       []byte
	idempotent bool
}

// handleService serves /v1/services/{name}/… .
func (e *Entry) handleService(w http.ResponseWriter, r *http.Request) {
	caller, bad := e.admit(r)
	if bad != nil {
		e.refuse(w, bad, "")
		return
	}
	w.Header().Set(HeaderRequestID, caller.RequestID)
	if bad := e.servePlain(w, r, caller); bad != nil {
		e.refuse(w, bad, caller.RequestID)
	}
}

func (e *Entry) servePlain(w http.ResponseWriter, r *http.Request, caller *Caller) *refusal.Refusal {
	p, bad := e.parsePlain(r, caller)
	if bad != nil {
		return bad
	}
	body, done, bad := e.readBody(w, r, caller, plainBytes)
	if bad != nil {
		return bad
	}
	defer done()
	p.body = body
	ctx, cancel := context.WithDeadline(r.Context(), p.Deadline)
	defer cancel()
	if !p.idempotent || p.Key != "" {
		return e.plainOnce(ctx, w, p)
	}
	answer, bad := e.callService(ctx, p)
	if bad != nil {
		return bad
	}
	e.billPlain(p)
	e.metrics.answers.WithLabelValues("plain").Inc()
	writeAnswer(w, answer)
	return nil
}

// parsePlain checks a call against the services' declarations.
func (e *Entry) parsePlain(r *http.Request, caller *Caller) (*plainRequest, *refusal.Refusal) {
	s := e.configuration.Snapshot()
	name := r.PathValue("name")
	svc := s.Services[name]
	if svc == nil || !caller.Account.Services.Matches(svc.Labels) {
		return nil, refusal.New(http.StatusForbidden, refusal.ServiceNotAllowed, "the account may not call service %q", name)
	}
	p := &plainRequest{Caller: caller, service: name, method: r.Method, path: "/" + r.PathValue("...")}
	call := findCall(svc, p.method, p.path)
	if call == nil {
		return nil, refusal.New(http.StatusNotFound, refusal.CallNotDeclared, "service %s declares no call %s %s", name, p.method, p.path)
	}
	p.idempotent = call.Idempotent
	if !p.idempotent && p.Key == "" {
		return nil, refusal.New(http.StatusBadRequest, refusal.KeyRequired,
			"%s %s may not be repeated; send an %s, the same on each send of the same action", p.method, p.path, HeaderIdempotencyKey)
	}
	p.header = http.Header{"X-Request-Id": {caller.RequestID}}
	for _, k := range [...]string{"Content-Type", "Accept", HeaderIdempotencyKey} {
		if v := r.Header.Values(k); len(v) > 0 {
			p.header[k] = v
		}
	}
	if r.URL.RawQuery != "" {
		p.path += "?" + r.URL.RawQuery
	}
	return p, nil
}

// findCall returns the declaration that matches a call; the longest path has priority.
func findCall(svc *config.Service, method, path string) *config.Call {
	var best *config.Call
	for i := range svc.Calls {
		c := &svc.Calls[i]
		covers := c.Path == path || strings.HasSuffix(c.Path, "/") && strings.HasPrefix(path, c.Path)
		if c.Method == method && covers && (best == nil || len(c.Path) > len(best.Path)) {
			best = c
		}
	}
	return best
}

// callService makes attempts until there is an answer. A call that may not be repeated
// is sent to a second endpoint only if no byte was sent to the first.
func (e *Entry) callService(ctx context.Context, p *plainRequest) (service.Answer, *refusal.Refusal) {
	n := p.need()
	ran := refusal.NotRun
	for {
		t, bad := e.acquirePlain(ctx, p, n)
		if bad != nil {
			return service.Answer{}, bad.WithRan(ran)
		}
		answer, result, err := e.callHedged(ctx, p, t)
		if result == service.Answered {
			return answer, nil
		}
		if result == service.Unknown {
			ran = refusal.Unknown
		}
		bad = refusal.New(http.StatusBadGateway, refusal.EndpointFailed, "the call failed: %v", err).WithRan(ran).WithRetryAfter(retryDelay)
		if result == service.Unknown && !p.idempotent {
			// The call may have run; sending it again could run it twice.
			bad.Code, bad.RetryAfter = refusal.OutcomeUnknown, 0
			return service.Answer{}, bad
		}
		after, again := e.dispatch.DecideRetry(n, t, dispatch.Failure{NotSent: result == service.NotSent})
		if !again || !sleep(ctx, after) {
			return service.Answer{}, bad
		}
	}
}

// acquirePlain waits for an endpoint. It refuses the call if its caller has
// disconnected.
func (e *Entry) acquirePlain(ctx context.Context, p *plainRequest, n *dispatch.Need) (*dispatch.Ticket, *refusal.Refusal) {
	t, bad := e.dispatch.Acquire(ctx, n)
	if bad != nil {
		return nil, bad
	}
	switch bad = e.checkPlainAllowed(p); {
	case bad != nil:
	case errors.Is(context.Cause(ctx), errStopping):
		bad = refusal.New(http.StatusServiceUnavailable, refusal.Draining, "the VM stops before the call was sent").WithRetryAfter(retryDelay)
	case ctx.Err() != nil:
		bad = refusal.New(statusClientClosedRequest, refusal.DeadlineTooShort, "the caller left before the call was sent")
	}
	if bad != nil {
		t.Cancel()
		return nil, bad
	}
	return t, nil
}

// runCall makes one call. A call that may not be repeated continues when its caller
// disconnects: if it were cancelled, its outcome would stay unknown, whereas its
// recorded answer is available to the caller's next send. It ends when the VM stops.
func (e *Entry) runCall(ctx context.Context, p *plainRequest, t *dispatch.Ticket) (service.Answer, service.Result, error) {
	if !p.idempotent {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), p.Deadline)
		defer cancel()
		defer context.AfterFunc(e.ending, cancel)()
	}
	answer, result, err := e.services.Do(ctx, service.Call{
		Address: t.Address, Method: p.method, Path: p.path, Header: p.header, Body: p.body, Idempotent: p.idempotent,
	})
	abandoned := result == service.Unknown && ctx.Err() != nil
	t.Done(dispatch.Result{
		Abandoned: abandoned,
		Failed:    result == service.Unknown && !abandoned || answer.Status >= http.StatusInternalServerError,
		Unreached: result == service.NotSent,
		Running:   -1,
		Ended:     result != service.Unknown,
	})
	return answer, result, err
}

func (e *Entry) checkPlainAllowed(p *plainRequest) *refusal.Refusal {
	if bad := e.checkAcceptsWork(); bad != nil {
		return bad
	}
	s := e.configuration.Snapshot()
	account, svc := s.Accounts[p.Account.Name], s.Services[p.service]
	if account == nil || svc == nil || !account.Services.Matches(svc.Labels) {
		return refusal.New(http.StatusForbidden, refusal.ServiceNotAllowed, "the account may not call service %q any more", p.service)
	}
	return nil
}

func (p *plainRequest) need() *dispatch.Need {
	return &dispatch.Need{
		RequestID:  p.RequestID,
		Account:    p.Account,
		Class:      p.Class,
		Deadline:   p.Deadline,
		Size:       1,
		Pool:       dispatch.ServicePool(p.service),
		Idempotent: p.idempotent,
	}
}

// passedHeaders are the headers of a service's answer that the caller receives.
var passedHeaders = [...]string{"Content-Type", "Content-Language", "Etag", "Last-Modified", "Location", "Cache-Control"}

func writeAnswer(w http.ResponseWriter, a service.Answer) {
	for _, k := range passedHeaders {
		if v := a.Header.Values(k); len(v) > 0 {
			w.Header()[k] = v
		}
	}
	w.Header().Set("X-Ran", string(refusal.DidRun))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
