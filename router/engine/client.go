// Package engine is the client of model engines. It assembles complete answers from
// streams whose frames may be late, duplicated, mixed with another request's or missing,
// and that may come from another version than requested. Every frame that it passes on
// is the next one of the right request; a stream counts as complete only at its end
// marker.
package engine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"goldcrestfork/policy/answerhead"
	"goldcrestfork/policy/statusline"
	"goldcrestfork/router/answer"
)

const (
	// DialTimeout bounds the connect to an endpoint. Endpoints are in the same or a
	// nearby data centre, so a second covers many round trips.
	DialTimeout = time.Second
	// ColdTimeLimit is how long an endpoint in cold start may run a request; the
	// endpoint ends the request itself after that time. The accounting of cold slots
	// relies on it (slot.Defaults.Job).
	ColdTimeLimit = time.Minute
	// maxFrameBytes bounds one event. A token's frame takes some hundred bytes.
	maxFrameBytes = 256 << 10
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 256 << 10
	// connBufferBytes is the size of each of a connection's buffers. A token's frame
	// takes some 200 bytes; most of net/http's 4 KB would be unused in each open stream.
	connBufferBytes = 1 << 10
	// idlePerHost is the number of idle connections kept per endpoint; an endpoint runs
	// a few dozen concurrent requests.
	idlePerHost = 64
	// StallTimeout ends an attempt whose next token does not arrive. At p95 the targets
	// are 1.1 s to the first token and 42 ms between tokens; ten times the former
	// indicates a fault rather than slowness.
	StallTimeout = 11 * time.Second
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 90 * time.Second
)

// Call is one attempt of one request at one endpoint.
type Call struct {
	// RequestID is the same for all attempts; frames must carry it.
	RequestID string
	// Address is the endpoint's "ip:port".
	Address string
	// Version is the model version that must answer.
	Version string
	// Class is the priority class sent to the engine.
	Class int
	// MayStart is set if the caller holds one of the endpoint's cold slots. It reports
	// whether the slot is still held and is called right before the first byte is sent.
	MayStart func() bool
	// Body is the caller's request.
	Body *Body
	// AtMostOnce marks a request that must not run twice. A refusal of it counts only if it bears the
	// request's id in X-Request-Id: an endpoint may send bytes of no request where an answer is due.
	AtMostOnce bool
}

// Result is how an attempt ended.
type Result int

// The results of an attempt.
const (
	// Complete: the end marker arrived and every token was passed on.
	Complete Result = iota
	// NotSent: the connect failed; no byte of the request was sent.
	NotSent
	// Refused: the endpoint answered that it did not run the request.
	Refused
	// Failed: the endpoint answered with an error.
	Failed
	// Crashed: the connection broke before the answer's headers; the request may have
	// crashed the endpoint.
	Crashed
	// WrongVersion: the endpoint answered as another version; nothing was passed on.
	WrongVersion
	// Cut: the stream ended without its end marker, or a token is missing.
	Cut
	// Forgotten: the endpoint can't resume this stream.
	Forgotten
	// Cold: the endpoint is in cold start and the call held none of its cold slots; no
	// byte was sent.
	Cold
	// CallerGone: the caller disconnected or its deadline passed; the engine's work was
	// cancelled.
	CallerGone
)

var resultNames = [...]string{"complete", "not-sent", "refused", "failed", "crashed", "wrong-version", "cut", "forgotten", "cold", "caller-gone"}

// String returns the result's value of the metrics label.
func (r Result) String() string { return resultNames[r] }

// Report is an endpoint's state as it reports it in the headers of each answer.
type Report struct {
	// Incarnation changes when the endpoint restarts.
	Incarnation string
	// Cold is set if the endpoint is in cold start.
	Cold bool
	// Running is the number of requests that the endpoint was running; -1 if not
	// reported.
	Running int
	// At is when the report was read by this process. A stream ends long after its
	// headers arrived, so the report may be old by then.
	At time.Time
}

// Outcome is the result of one attempt with its details.
type Outcome struct {
	Result Result
	// Err holds details for the log and for the detail sent to the caller.
	Err error
	// RetryAfter is the delay after which the endpoint says that a retry helps.
	RetryAfter time.Duration
	// Report is valid if Reported is set.
	Report   Report
	Reported bool
	// FirstToken is the time from the call to the first token; 0 if none arrived.
	FirstToken time.Duration
	// Tokens is the number of frames with tokens that arrived, and TokenSpan the time from the first
	// of them to the last, or to the end of an attempt that isn't complete.
	Tokens    int
	TokenSpan time.Duration
	// Took is the time from the call to its end.
	Took time.Duration
}

// Client calls engines. It is safe for concurrent use.
type Client struct {
	// warm reuses connections to endpoints that were warm when the connections were
	// made; cold makes one connection per request. again does so too, to warm endpoints,
	// for requests that were sent before: a copy of the answer to that sending bears
	// their id and may still come on its connection.
	warm, cold, again *http.Client
	dialer            *warmDialer
	metrics           *Metrics
}

// NewClient returns a client that shares connections between requests.
func NewClient(m *Metrics) *Client {
	dialer := &warmDialer{net.Dialer{Timeout: DialTimeout}}
	return &Client{
		metrics: m,
		dialer:  dialer,
		warm: &http.Client{Transport: answer.NewTransport(&http.Transport{
			DialContext:         dialer.dialWarm,
			MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxHeadBytes,
			ReadBufferSize:         connBufferBytes,
			WriteBufferSize:        connBufferBytes,
		})},
		cold:  &http.Client{Transport: singleTransport(dialer.dialCold)},
		again: &http.Client{Transport: singleTransport(dialer.dialWarm)},
	}
}

// singleTransport returns a transport that makes one connection per request.
func singleTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *answer.Transport {
	return answer.NewTransport(&http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes})
}

// Close closes idle connections.
func (c *Client) Close() { c.warm.CloseIdleConnections() }

// Stream runs one attempt and passes each new frame of s to emit; an error of emit means
// that the caller disconnected. s is kept from attempt to attempt, so that a resumed
// stream neither loses nor repeats a token.
func (c *Client) Stream(ctx context.Context, call Call, s *Stream, emit func(Frame) error) Outcome {
	attempt, cancel := context.WithCancel(ctx)
	// Returning cancels the engine's work: an engine must not continue to generate for a
	// caller that has disconnected.
	defer cancel()
	// A hung endpoint keeps the connection open and sends nothing. Without the watchdog
	// its caller would wait until its deadline although another endpoint could answer.
	watchdog := time.AfterFunc(StallTimeout, cancel)
	defer watchdog.Stop()
	start := time.Now()
	o := c.stream(attempt, call, s, func(f Frame) error {
		watchdog.Reset(StallTimeout)
		return emit(f)
	})
	o.Took = time.Since(start)
	if o.Result != Complete && o.Tokens > 0 {
		o.TokenSpan = o.Took - o.FirstToken
	}
	if o.Result != Complete && ctx.Err() != nil {
		// In this case the attempt's own result shows nothing about the endpoint.
		o.Result, o.Err = CallerGone, ctx.Err()
	}
	c.metrics.attempts.WithLabelValues(o.Result.String()).Inc()
	return o
}

func (c *Client) stream(ctx context.Context, call Call, s *Stream, emit func(Frame) error) Outcome {
	if call.MayStart != nil {
		ctx = context.WithValue(ctx, mayStartKey{}, call.MayStart)
	}
	req, err := newRequest(ctx, call, s)
	if err != nil {
		return Outcome{Result: NotSent, Err: err}
	}
	start := time.Now()
	resp, err := c.clientFor(call, s).Do(req)
	if err != nil {
		o := classifySendError(err)
		s.sent = s.sent || o.Result == Crashed || o.Result == Failed
		return o
	}
	s.sent = true
	defer resp.Body.Close()
	if statusline.InHead(resp.Status, resp.Header) {
		return Outcome{Result: Failed, Err: errors.New("the head of the endpoint's answer goes on as another answer's")}
	}
	var o Outcome
	if id := resp.Header.Get("X-Request-Id"); id == "" || id == call.RequestID {
		o = Outcome{Reported: true, Report: parseReport(resp.Header)}
	}
	if bad := c.checkHeader(resp, call); bad.Result != Complete {
		bad.Reported, bad.Report = o.Reported, o.Report
		return bad
	}
	o.Result, o.Err = c.relayEvents(resp.Body, call, s, func(f Frame) error {
		if o.FirstToken == 0 {
			o.FirstToken = time.Since(start)
		}
		o.Tokens++
		o.TokenSpan = time.Since(start) - o.FirstToken
		return emit(f)
	})
	return o
}

// clientFor returns the client that makes the connection for a call.
func (c *Client) clientFor(call Call, s *Stream) *http.Client {
	switch {
	case call.MayStart != nil:
		return c.cold
	case s.sent:
		return c.again
	}
	return c.warm
}

func newRequest(ctx context.Context, call Call, s *Stream) (*http.Request, error) {
	var p *resumePoint
	if s.Next > 0 && s.lastAddress != call.Address {
		// Another endpoint has not run this stream and continues from the text.
		p = &resumePoint{Position: s.Next, Text: s.Text()}
	}
	body, err := call.Body.encode(call.Version, p)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	h := req.Header
	h.Set("Content-Type", "application/json")
	h.Set("Accept", "text/event-stream")
	h.Set("X-Request-Id", call.RequestID)
	h.Set("X-Model-Version", call.Version)
	h.Set("X-Priority", strconv.Itoa(call.Class))
	if call.MayStart != nil {
		h.Set("X-Time-Limit-Ms", strconv.FormatInt(ColdTimeLimit.Milliseconds(), 10))
	}
	if s.Next > 0 {
		h.Set("X-Resume-From", strconv.Itoa(s.Next))
	}
	s.lastAddress = call.Address
	return req, nil
}

// classifySendError distinguishes a failed connect, after which the request certainly
// did not run, and an answer that isn't valid from all other errors.
func classifySendError(err error) Outcome {
	var cold *ColdError
	if errors.As(err, &cold) {
		return Outcome{Result: Cold, Err: err, Reported: true, Report: cold.Report}
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Outcome{Result: NotSent, Err: err}
	}
	var invalid *answerhead.Error
	if errors.As(err, &invalid) {
		return Outcome{Result: Failed, Err: err}
	}
	return Outcome{Result: Crashed, Err: err}
}

func parseReport(h http.Header) Report {
	running, err := strconv.Atoi(h.Get("X-Running"))
	if err != nil {
		running = -1
	}
	return Report{
		Incarnation: h.Get("X-Incarnation"),
		Cold:        h.Get("X-State") == "cold",
		Running:     running,
		At:          time.Now(),
	}
}

// checkHeader checks that an answer is a stream of the requested version. Result
// Complete means that the stream may be read.
func (c *Client) checkHeader(resp *http.Response, call Call) Outcome {
	switch {
	case call.AtMostOnce && isRefusal(resp.StatusCode) && resp.Header.Get("X-Request-Id") != call.RequestID:
		return Outcome{Result: Failed, Err: fmt.Errorf("endpoint refused with %d without the request's id", resp.StatusCode)}
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		return Outcome{Result: Refused, RetryAfter: retryAfter(resp.Header), Err: fmt.Errorf("endpoint refused with %d", resp.StatusCode)}
	case resp.StatusCode == http.StatusConflict:
		return Outcome{Result: Refused, Err: errors.New("endpoint doesn't run the version")}
	case resp.StatusCode == http.StatusGone:
		return Outcome{Result: Forgotten, Err: errors.New("endpoint can't resume the stream")}
	case resp.StatusCode != http.StatusOK:
		return Outcome{Result: Failed, Err: fmt.Errorf("endpoint answered %d", resp.StatusCode)}
	}
	// A late order can change an endpoint's version between the choice and the answer,
	// and the caller would silently get a version that it may not use. The headers name
	// the version that runs, and nothing is passed on before this check.
	if v := resp.Header.Get("X-Model-Version"); v != call.Version {
		c.metrics.wrongVersion.Inc()
		return Outcome{Result: WrongVersion, Err: fmt.Errorf("endpoint answered as %q", v)}
	}
	return Outcome{Result: Complete}
}

// isRefusal reports whether a status says that the endpoint did not run the request.
func isRefusal(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusConflict
}

func retryAfter(h http.Header) time.Duration {
	s, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(s) * time.Second
}

// errTokenGap is returned if a stream is missing a token.
var errTokenGap = errors.New("stream left out a token")

// relayEvents reads events up to the end marker and passes the accepted frames to emit.
func (c *Client) relayEvents(body io.Reader, call Call, s *Stream, emit func(Frame) error) (Result, error) {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxFrameBytes}) {
		if err != nil {
			return Cut, err
		}
		if strings.TrimSpace(event.Data) == endMarker {
			if s.Finish == "" {
				return Cut, errors.New("end mark without a finish reason")
			}
			return Complete, nil
		}
		f, err := ParseFrame(event.Data)
		if err != nil {
			return Cut, err
		}
		verdict := s.accept(call.RequestID, f)
		c.metrics.frames[verdict].Inc()
		switch verdict {
		case frameNext:
			if err := emit(f); err != nil {
				return CallerGone, err
			}
		case frameGap:
			return Cut, errTokenGap
		}
	}
	// The connection ended cleanly without the end marker. Treating this as the end
	// would give the caller half an answer as a complete one.
	return Cut, io.ErrUnexpectedEOF
}
