// Package client calls the operator API on any of several VMs. A change keeps one id across
// all VMs and repeats, so that it is applied once even if answers are lost.
//
// The package has no locks.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"goldcrestfork/router/operator"
)

const (
	// retryDelay is the wait before a change with an unknown outcome is sent to all VMs
	// again. It is short, since a lost reply can be settled at once; only an outage of
	// the platform lasts longer.
	retryDelay = 500 * time.Millisecond
	// maxAnswerBytes bounds an answer, which may hold a whole configuration in JSON.
	maxAnswerBytes = 32 << 20
)

// Errors of a Client other than *operator.Problem.
var (
	// ErrUnreachable reports that no VM answered. A change was certainly not applied.
	ErrUnreachable = errors.New("no VM answered")
	// ErrOutcomeUnknown reports that the outcome of a change is unknown. The error's text says
	// how to settle it.
	ErrOutcomeUnknown = errors.New("it is unknown whether the change was accepted")
)

// Client calls the API of several VMs in the given order.
type Client struct {
	// VMs are base URLs such as "http://10.0.0.1:9090".
	VMs []string
	// Key is the operator's key.
	Key string
	// HTTP performs the calls. Its timeout should exceed the API's longest wait of 16 s.
	HTTP *http.Client
}

// Change is the request of one change.
type Change struct {
	Method string
	Path   string
	Body   []byte
	// IfRevision is the expected revision of the object; 0 for no condition.
	IfRevision int64
	// ID and Since identify the change. They are empty for a new change, and those of the
	// first attempt for a repeat that settles an unknown outcome.
	ID    string
	Since int64
}

// Read gets a path from the first VM that answers, at minRevision or later. A minRevision of
// 0 accepts any revision.
func (c *Client) Read(ctx context.Context, path string, minRevision int64) ([]byte, error) {
	header := http.Header{}
	if minRevision > 0 {
		header.Set(operator.HeaderMinRevision, strconv.FormatInt(minRevision, 10))
	}
	var last error = ErrUnreachable
	for _, vm := range c.VMs {
		data, err := c.call(ctx, vm, http.MethodGet, path, nil, header)
		if !isRetryable(err) {
			return data, err
		}
		last = fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return nil, last
}

// Do sends a change to one VM after another until one gives a final answer. While the outcome
// is unknown, it repeats the change until ctx ends.
func (c *Client) Do(ctx context.Context, change Change) (*operator.Answer, error) {
	if change.ID == "" {
		since, err := c.revision(ctx)
		if err != nil {
			return nil, err
		}
		change.ID, change.Since = uuid.NewString(), since
	}
	header := change.header()
	for unknown := false; ; {
		var last error
		for _, vm := range c.VMs {
			data, err := c.call(ctx, vm, change.Method, change.Path, change.Body, header)
			if err == nil {
				a := new(operator.Answer)
				return a, json.Unmarshal(data, a)
			}
			if !isRetryable(err) {
				return nil, err
			}
			unknown = unknown || mayBeApplied(err)
			last = err
		}
		if !unknown {
			return nil, last
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return nil, fmt.Errorf("%w; give --change-id %s --since %d with the same command to find out: %w", ErrOutcomeUnknown, change.ID, change.Since, last)
		}
	}
}

func (c *Change) header() http.Header {
	h := http.Header{}
	h.Set(operator.HeaderChangeID, c.ID)
	h.Set(operator.HeaderChangeSince, strconv.FormatInt(c.Since, 10))
	if c.IfRevision > 0 {
		h.Set("If-Match", strconv.Quote(strconv.FormatInt(c.IfRevision, 10)))
	}
	return h
}

// revision returns the configuration's revision from before the change.
func (c *Client) revision(ctx context.Context) (int64, error) {
	data, err := c.Read(ctx, "/v1/revision", 0)
	if err != nil {
		return 0, err
	}
	var a operator.Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return 0, err
	}
	return a.Revision, nil
}

// isRetryable reports whether another VM may give a better answer.
func isRetryable(err error) bool {
	var p *operator.Problem
	if errors.As(err, &p) {
		return p.Status >= http.StatusInternalServerError
	}
	return err != nil
}

// mayBeApplied reports whether a change may have been applied despite the error.
func mayBeApplied(err error) bool {
	var p *operator.Problem
	if errors.As(err, &p) {
		return p.Accepted != operator.AcceptedNo
	}
	var dial *net.OpError
	return !(errors.As(err, &dial) && dial.Op == "dial")
}

// call sends one request to one VM. It returns an *operator.Problem for a refusal.
func (c *Client) call(ctx context.Context, vm, method, path string, body []byte, header http.Header) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, vm+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header = header.Clone()
	r.Header.Set("Authorization", "Bearer "+c.Key)
	answer, err := c.HTTP.Do(r)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxAnswerBytes {
		return nil, fmt.Errorf("%s answered with more than %d bytes", vm, maxAnswerBytes)
	}
	if answer.StatusCode == http.StatusOK {
		return data, nil
	}
	p := new(operator.Problem)
	if err := json.Unmarshal(data, p); err != nil || p.Code == "" {
		return nil, fmt.Errorf("%s answered %s without a reason", vm, answer.Status)
	}
	return nil, p
}
