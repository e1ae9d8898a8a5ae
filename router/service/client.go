// Package service is the client of plain services. It tells an answer from a
// call that certainly did not leave and from one whose fate is unknown, and it
// never sends a call twice by itself.
package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// DialTimeout bounds the connect to an endpoint; grounds as engine.DialTimeout.
	DialTimeout = time.Second
	// MaxAnswer bounds an answer, in bytes. Answers are held whole before a byte
	// goes to the caller, so that a cut one is never handed on as a short success.
	MaxAnswer = 4 << 20
	// idlePerHost keeps connections of repeatable calls open between calls.
	idlePerHost = 32
)

// Call is one call of a plain service at one endpoint.
type Call struct {
	Address    string
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Idempotent bool
}

// Answer is a service's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result says how a call ended.
type Result int

// How a call may end.
const (
	// Answered: the whole answer is there.
	Answered Result = iota
	// NotSent: the connect failed; no byte of the call left.
	NotSent
	// Unknown: bytes left and no whole answer came; the service may have run it.
	Unknown
)

var resultNames = [...]string{"answered", "not-sent", "unknown"}

// String is the metrics label.
func (r Result) String() string { return resultNames[r] }

// Client calls plain services.
type Client struct {
	repeatable *http.Client
	once       *http.Client
	calls      *prometheus.CounterVec
}

// NewClient returns a client and registers its counter with r.
func NewClient(r prometheus.Registerer) *Client {
	dialer := &net.Dialer{Timeout: DialTimeout}
	c := &Client{
		repeatable: &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: idlePerHost, DisableCompression: true,
		}},
		// A kept connection may be closed by the service at the moment it is used
		// again; net/http then sends the request anew when it looks repeatable, and it
		// does look so with an Idempotency-Key header. A work order would run twice.
		// Every such call gets a connection of its own, and Do hides the body's copy
		// (GetBody), without which net/http can't send anything again.
		once: &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{
			DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true,
		}},
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "goldcrest_service_calls_total",
			Help: "Calls to plain services by result.",
		}, []string{"result"}),
	}
	r.MustRegister(c.calls)
	return c
}

// noRedirect hands a redirect on as the answer: following it would send the call a second time.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do makes one call.
func (c *Client) Do(ctx context.Context, call Call) (Answer, Result, error) {
	answer, result, err := c.do(ctx, call)
	c.calls.WithLabelValues(result.String()).Inc()
	return answer, result, err
}

func (c *Client) do(ctx context.Context, call Call) (Answer, Result, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, NotSent, err
	}
	client := c.repeatable
	if !call.Idempotent {
		client = c.once
		// A body that is not http.NoBody and has no GetBody can't be sent again.
		req.Body, req.GetBody = io.NopCloser(bytes.NewReader(call.Body)), nil
	}
	for k, v := range call.Header {
		req.Header[k] = v
	}
	resp, err := client.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return Answer{}, NotSent, err
		}
		return Answer{}, Unknown, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswer+1))
	if err != nil {
		return Answer{}, Unknown, err
	}
	if len(body) > MaxAnswer {
		return Answer{}, Unknown, errors.New("answer too large")
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, Answered, nil
}
