// Package service is the client of plain services. It distinguishes an answer, a call
// that was certainly not sent, and a call whose outcome is unknown. It never sends a
// call a second time by itself.
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

	"goldcrestfork/policy/statusline"
	"goldcrestfork/router/answer"
)

const (
	// DialTimeout bounds the connect to an endpoint, for the same reason as
	// engine.DialTimeout.
	DialTimeout = time.Second
	// MaxAnswer bounds an answer, in bytes. An answer is read completely before the
	// caller gets a byte of it, so that a cut answer is never passed on as a short
	// success.
	MaxAnswer = 4 << 20
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 256 << 10
	// requestIDHeader bears the id of a call. A service that repeats it in its answers shows whose they are: on a kept
	// connection a late copy of an earlier answer may come where the next one is due.
	requestIDHeader = "X-Request-Id"
	// idlePerHost is the number of idle connections kept per endpoint for repeatable
	// calls.
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

// Answer is the complete answer of a service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result is how a call ended.
type Result int

// The results of a call.
const (
	// Answered: the complete answer arrived.
	Answered Result = iota
	// NotSent: the connect failed; no byte of the call was sent.
	NotSent
	// Unknown: bytes were sent and no complete answer arrived; the service may have run
	// the call.
	Unknown
)

var resultNames = [...]string{"answered", "not-sent", "unknown"}

// String returns the result's value of the metrics label.
func (r Result) String() string { return resultNames[r] }

// Client calls plain services. It is safe for concurrent use.
type Client struct {
	// repeatable reuses connections; nonRepeatable makes one connection per call and
	// never sends a call twice.
	repeatable    *http.Client
	nonRepeatable *http.Client
	calls         *prometheus.CounterVec
}

// NewClient returns a client and registers its counter with r.
func NewClient(r prometheus.Registerer) *Client {
	dialer := &net.Dialer{Timeout: DialTimeout}
	c := &Client{
		repeatable: &http.Client{CheckRedirect: noRedirect, Transport: answer.NewTransport(&http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: idlePerHost, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
		})},
		// A service may close an idle connection at the moment of its reuse. net/http
		// then sends the request again if it looks repeatable, and a request with an
		// Idempotency-Key header does. A non-idempotent call would run twice. Every such
		// call therefore gets a separate connection, and Do sets no GetBody, without
		// which net/http can't send the body again.
		nonRepeatable: &http.Client{CheckRedirect: noRedirect, Transport: answer.NewTransport(&http.Transport{
			DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
		})},
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "goldcrest_service_calls_total",
			Help: "Calls to plain services by result.",
		}, []string{"result"}),
	}
	r.MustRegister(c.calls)
	return c
}

// noRedirect returns a redirect as the answer: following it would send the call a second
// time.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do makes one call and counts its result.
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
		client = c.nonRepeatable
		// A body other than http.NoBody can't be sent again without GetBody.
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
	if statusline.InHead(resp.Status, resp.Header) {
		return Answer{}, Unknown, errors.New("the head of the answer goes on as another answer's")
	}
	if id := resp.Header.Get(requestIDHeader); id != "" && id != req.Header.Get(requestIDHeader) {
		return Answer{}, Unknown, errors.New("the answer belongs to another request")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswer+1))
	if err != nil {
		return Answer{}, Unknown, err
	}
	if len(body) > MaxAnswer {
		return Answer{}, Unknown, errors.New("answer too large")
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, Answered, nil
}
