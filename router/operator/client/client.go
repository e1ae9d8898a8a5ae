// Package client asks the operators' API of any of several VMs. A change keeps one
// id over all VMs and repeats, so that it is made once however many answers are lost.
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
	// roundPause is the wait before all VMs are asked again about a change whose fate
	// is unknown; an outage of the platform lasts longer than that, a lost reply not.
	roundPause = 500 * time.Millisecond
	// maxAnswer bounds an answer, in bytes: a whole configuration in JSON.
	maxAnswer = 64 << 20
)

// Errors of a client besides *operator.Problem.
var (
	// ErrUnreachable: no VM answered; a change was certainly not made.
	ErrUnreachable = errors.New("no VM answered")
	// ErrUnknown: it is not known whether the change was made; the error's text says how to find out.
	ErrUnknown = errors.New("it is unknown whether the change was accepted")
)

// Client asks VMs in their order.
type Client struct {
	// VMs are base URLs such as "http://10.0.0.1:9090".
	VMs []string
	// Key is the operator's key.
	Key string
	// HTTP makes the calls; its timeout should be above the API's 16 s.
	HTTP *http.Client
}

// Change is one change as it goes over the wire.
type Change struct {
	Method string
	Path   string
	Body   []byte
	// IfRevision is the condition on the object's revision; 0 for none.
	IfRevision int64
	// ID and Since name the change; empty for a new one. Give those of an earlier
	// attempt to settle its fate.
	ID    string
	Since int64
}

// Read gets a path from the first VM that answers.
func (c *Client) Read(ctx context.Context, path string, minRevision int64) ([]byte, error) {
	header := http.Header{}
	if minRevision > 0 {
		header.Set(operator.HeaderMinRevision, strconv.FormatInt(minRevision, 10))
	}
	var last error = ErrUnreachable
	for _, vm := range c.VMs {
		data, err := c.call(ctx, vm, http.MethodGet, path, nil, header)
		if !passing(err) {
			return data, err
		}
		last = fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return nil, last
}

// Do makes a change, on one VM after the other until one gives a final answer. It
// goes on asking while the fate is unknown, until ctx ends.
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
			if !passing(err) {
				return nil, err
			}
			unknown = unknown || maybeMade(err)
			last = err
		}
		if !unknown {
			return nil, last
		}
		select {
		case <-time.After(roundPause):
		case <-ctx.Done():
			return nil, fmt.Errorf("%w; give --change-id %s --since %d with the same command to find out: %w", ErrUnknown, change.ID, change.Since, last)
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

// revision asks for a revision from before the change.
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

// passing reports that another VM may give a better answer.
func passing(err error) bool {
	var p *operator.Problem
	if errors.As(err, &p) {
		return p.Status >= http.StatusInternalServerError
	}
	return err != nil
}

// maybeMade reports that a change may have been made although no success was seen.
func maybeMade(err error) bool {
	var p *operator.Problem
	if errors.As(err, &p) {
		return p.Accepted != operator.AcceptedNo
	}
	var dial *net.OpError
	return !(errors.As(err, &dial) && dial.Op == "dial")
}

// call makes one call to one VM.
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
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return nil, err
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
