// Package engine is the client of model engines. It makes whole answers out of
// streams that may come late, doubled, crossed with another request's, cut, or
// from a version that was not asked for. Whatever it passes on is the next token
// of the right request; a stream counts as complete only at its end mark.
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
)

const (
	// DialTimeout bounds the connect to an endpoint. Grounds: endpoints are in the
	// same or a close data centre (brief); a second is many round trips.
	DialTimeout = time.Second
	// ColdTimeLimit is how long an endpoint in cold start may run a request; it ends
	// the request by itself then. Cold slots are reckoned by it (slot.Defaults.Job).
	ColdTimeLimit = time.Minute
	// maxFrame bounds one event, in bytes; a token's frame takes some hundred.
	maxFrame = 256 << 10
	// connBuffer is each buffer of a connection, in bytes. A token's frame takes some
	// 200; net/http's 4 KB would stand half empty in each open stream.
	connBuffer = 1 << 10
	// idlePerHost keeps connections to one endpoint open between requests; an endpoint bears a few dozen at once.
	idlePerHost = 64
	// StallTimeout ends an attempt whose next token does not come. Grounds: the
	// letter asks for the first token within 1.1 s and 42 ms between tokens at p95;
	// ten times the former is no slowness but a fault.
	StallTimeout = 11 * time.Second
	// idleTimeout closes an unused connection.
	idleTimeout = 90 * time.Second
)

// Call is one attempt of one request at one endpoint.
type Call struct {
	// RequestID is the same over all attempts; frames must carry it.
	RequestID string
	// Address is the endpoint's "ip:port".
	Address string
	// Version is the model version that must answer.
	Version string
	// Class is the priority class the engine is told.
	Class int
	// MayStart is set when the caller holds one of the endpoint's cold slots, and says
	// whether it still does; it is asked right before the first byte.
	MayStart func() bool
	// Body is the caller's request.
	Body *Body
}

// Result says how an attempt ended.
type Result int

// How an attempt may end.
const (
	// Complete: end mark received, every token passed on.
	Complete Result = iota
	// NotSent: the connect failed; no byte of the request left.
	NotSent
	// Refused: the endpoint says that it did not run the request.
	Refused
	// Failed: the endpoint answered with an error.
	Failed
	// Crashed: the connection broke before the answer's head; the request may have broken the endpoint.
	Crashed
	// WrongVersion: the endpoint answered as another version; nothing was passed on.
	WrongVersion
	// Cut: the stream ended without its end mark, or left out a token.
	Cut
	// Forgotten: the endpoint can't resume this stream.
	Forgotten
	// Cold: the endpoint is in cold start and the call held none of its cold slots; no byte left.
	Cold
	// CallerGone: the caller left or its deadline passed; the engine's work was cancelled.
	CallerGone
)

var resultNames = [...]string{"complete", "not-sent", "refused", "failed", "crashed", "wrong-version", "cut", "forgotten", "cold", "caller-gone"}

// String is the metrics label.
func (r Result) String() string { return resultNames[r] }

// Report is what an endpoint says of itself with each answer.
type Report struct {
	// Incarnation changes when the endpoint starts anew.
	Incarnation string
	// Cold says that it is in cold start.
	Cold bool
	// Running is its number of requests, as it saw it then; -1 when it didn't say.
	Running int
	// At is when it was read here: a stream ends long after its head came.
	At time.Time
}

// Outcome is the end of one attempt.
type Outcome struct {
	Result Result
	// Err tells more for the log and the caller's detail.
	Err error
	// RetryAfter is when the endpoint says coming back helps.
	RetryAfter time.Duration
	// Report is valid when Reported is set.
	Report   Report
	Reported bool
	// FirstToken is the time from the call to the first token; 0 when none came.
	FirstToken time.Duration
}

// Client calls engines.
type Client struct {
	// warm keeps connections to endpoints that were warm when they were made; cold
	// makes one for each request.
	warm, cold *http.Client
	dialer     *warmDialer
	metrics    *Metrics
}

// NewClient returns a client that shares connections between requests.
func NewClient(m *Metrics) *Client {
	dialer := &warmDialer{net.Dialer{Timeout: DialTimeout}}
	return &Client{
		metrics: m,
		dialer:  dialer,
		warm: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.dial,
			MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
			ReadBufferSize:      connBuffer,
			WriteBufferSize:     connBuffer,
		}},
		cold: &http.Client{Transport: &http.Transport{
			DialContext:        dialer.dialCold,
			DisableKeepAlives:  true,
			DisableCompression: true,
		}},
	}
}

// Close drops unused connections.
func (c *Client) Close() { c.warm.CloseIdleConnections() }

// Stream runs one attempt and hands each new token of s to emit; an error of
// emit means that the caller has gone. s carries over from attempt to attempt,
// so that a resumed stream neither loses nor repeats a token.
func (c *Client) Stream(ctx context.Context, call Call, s *Stream, emit func(Frame) error) Outcome {
	attempt, cancel := context.WithCancel(ctx)
	// Leaving this function cancels the engine's work: an engine must not go on
	// generating for a caller that has gone.
	defer cancel()
	// A hung endpoint keeps the connection open and sends nothing; without the
	// watchdog its caller would wait until its deadline although another endpoint
	// could answer.
	watchdog := time.AfterFunc(StallTimeout, cancel)
	defer watchdog.Stop()
	o := c.stream(attempt, call, s, func(f Frame) error {
		watchdog.Reset(StallTimeout)
		return emit(f)
	})
	if o.Result != Complete && ctx.Err() != nil {
		// The attempt's own end tells nothing about the endpoint then.
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
	client := c.warm
	if call.MayStart != nil {
		client = c.cold
	}
	resp, err := client.Do(req)
	if err != nil {
		return sendFailure(err)
	}
	defer resp.Body.Close()
	o := Outcome{Reported: true, Report: report(resp.Header)}
	if bad := c.checkHead(resp, call); bad.Result != Complete {
		bad.Reported, bad.Report = o.Reported, o.Report
		return bad
	}
	o.Result, o.Err = c.relay(resp.Body, call, s, func(f Frame) error {
		if o.FirstToken == 0 {
			o.FirstToken = time.Since(start)
		}
		return emit(f)
	})
	return o
}

func newRequest(ctx context.Context, call Call, s *Stream) (*http.Request, error) {
	var p *resumePoint
	if s.Next > 0 && s.lastAddress != call.Address {
		// Another endpoint never saw this stream: it continues from the text.
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

// sendFailure tells a connect that failed, after which nothing can have run, from all else.
func sendFailure(err error) Outcome {
	var cold *ColdError
	if errors.As(err, &cold) {
		return Outcome{Result: Cold, Err: err, Reported: true, Report: cold.Report}
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Outcome{Result: NotSent, Err: err}
	}
	return Outcome{Result: Crashed, Err: err}
}

func report(h http.Header) Report {
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

// checkHead refuses an answer that is not a stream of the version asked for.
// Result Complete means that the stream may be read.
func (c *Client) checkHead(resp *http.Response, call Call) Outcome {
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		return Outcome{Result: Refused, RetryAfter: retryAfter(resp.Header), Err: fmt.Errorf("endpoint refused with %d", resp.StatusCode)}
	case resp.StatusCode == http.StatusConflict:
		return Outcome{Result: Refused, Err: errors.New("endpoint doesn't run the version")}
	case resp.StatusCode == http.StatusGone:
		return Outcome{Result: Forgotten, Err: errors.New("endpoint can't resume the stream")}
	case resp.StatusCode != http.StatusOK:
		return Outcome{Result: Failed, Err: fmt.Errorf("endpoint answered %d", resp.StatusCode)}
	}
	// An order that came late can flip an endpoint's version between the choice and
	// the answer; the caller would get a version it may not use, unseen. The head
	// names the version that runs, and nothing is passed on before this check.
	if v := resp.Header.Get("X-Model-Version"); v != call.Version {
		c.metrics.wrongVersion.Inc()
		return Outcome{Result: WrongVersion, Err: fmt.Errorf("endpoint answered as %q", v)}
	}
	return Outcome{Result: Complete}
}

func retryAfter(h http.Header) time.Duration {
	s, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(s) * time.Second
}

// errCut ends the reading of a stream that left out a token.
var errCut = errors.New("stream left out a token")

// relay reads events until the end mark.
func (c *Client) relay(body io.Reader, call Call, s *Stream, emit func(Frame) error) (Result, error) {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxFrame}) {
		if err != nil {
			return Cut, err
		}
		if strings.TrimSpace(event.Data) == endMark {
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
			return Cut, errCut
		}
	}
	// The connection ended cleanly but the end mark is missing: taking this for the
	// end would hand the caller half an answer as a whole one.
	return Cut, io.ErrUnexpectedEOF
}
