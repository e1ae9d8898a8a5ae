package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"goldcrestfork/durable"
)

// idleConnections is the number of idle connections kept to the platform. A VM's
// shards, watches and loops call concurrently; with fewer connections a burst of calls
// would have to dial anew.
const idleConnections = 32

// maxReplyBytes bounds a reply, so that a broken server can't fill the VM's memory.
const maxReplyBytes = 128 << 20

// Client implements durable.Store over HTTP.
type Client struct {
	base    string
	token   string
	timeout time.Duration
	http    *http.Client
}

var _ durable.Store = (*Client)(nil)

// Option configures a Client in New.
type Option func(*Client)

// WithToken sends a bearer token with every call.
func WithToken(token string) Option { return func(c *Client) { c.token = token } }

// WithTimeout bounds each call, and the start of each watch. The default is
// durable.CallTimeout.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithTransport sets the HTTP transport, for TLS settings or tests.
func WithTransport(t http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = t }
}

// New returns a client of the platform at the base URL, such as "http://192.0.2.1:7000".
func New(base string, options ...Option) *Client {
	c := &Client{
		base:    strings.TrimSuffix(base, "/"),
		timeout: durable.CallTimeout,
		http:    &http.Client{Transport: DefaultTransport()},
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// DefaultTransport returns a new transport as a client has it without WithTransport.
func DefaultTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.MaxIdleConnsPerHost = idleConnections
	return t
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// Get implements durable.Store.
func (c *Client) Get(ctx context.Context, key durable.Key) (durable.Object, error) {
	status, header, body, err := c.call(ctx, http.MethodGet, Path(key.Kind, key.Name), nil, nil)
	if err != nil {
		return durable.Object{}, unavailable(err)
	}
	switch status {
	case http.StatusOK:
		return parseObject(key, header, body)
	case http.StatusNotFound:
		return durable.Object{}, durable.ErrNotFound
	}
	return durable.Object{}, readError(status)
}

// List implements durable.Store.
func (c *Client) List(ctx context.Context, kind string) (durable.Listing, error) {
	var l Listing
	if err := c.readJSON(ctx, Path(kind, ""), &l); err != nil {
		return durable.Listing{}, err
	}
	out := durable.Listing{Revision: l.Revision}
	for _, o := range l.Objects {
		key := durable.Key{Kind: kind, Name: o.Name}
		out.Objects = append(out.Objects, durable.Object{Key: key, Version: o.Version, Value: o.Value})
	}
	return out, nil
}

// VMs implements durable.Store.
func (c *Client) VMs(ctx context.Context) ([]durable.VM, error) {
	var rows []VM
	if err := c.readJSON(ctx, "/vms", &rows); err != nil {
		return nil, err
	}
	var out []durable.VM
	for _, r := range rows {
		out = append(out, durable.VM(r))
	}
	return out, nil
}

// Put implements durable.Store.
func (c *Client) Put(ctx context.Context, key durable.Key, value []byte, ifVersion int64) (durable.Object, error) {
	if len(value) > durable.MaxValueBytes {
		return durable.Object{}, durable.ErrTooLarge
	}
	o, err := c.write(ctx, http.MethodPut, key, value, ifVersion)
	if err != nil {
		return durable.Object{}, err
	}
	o.Value = bytes.Clone(value)
	return o, nil
}

// Delete implements durable.Store.
func (c *Client) Delete(ctx context.Context, key durable.Key, ifVersion int64) error {
	_, err := c.write(ctx, http.MethodDelete, key, nil, ifVersion)
	return err
}

func (c *Client) write(ctx context.Context, method string, key durable.Key, value []byte, ifVersion int64) (durable.Object, error) {
	condition := http.Header{}
	if ifVersion == 0 {
		condition.Set("If-None-Match", "*")
	} else {
		condition.Set("If-Match", FormatETag(ifVersion))
	}
	status, header, body, err := c.call(ctx, method, Path(key.Kind, key.Name), condition, value)
	if errors.Is(err, errNotSent) {
		return durable.Object{}, unavailable(err)
	}
	if err != nil {
		return durable.Object{}, unknown(err)
	}
	return parseWriteReply(key, status, header, body)
}

// parseWriteReply converts a complete reply to a write into the result that
// durable.Store documents.
func parseWriteReply(key durable.Key, status int, header http.Header, body []byte) (durable.Object, error) {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		o, err := parseObject(key, header, nil)
		if err != nil {
			return durable.Object{}, unknown(err)
		}
		return o, nil
	case http.StatusPreconditionFailed:
		current, err := parseObject(key, header, body)
		if err != nil {
			return durable.Object{}, unknown(err)
		}
		return durable.Object{}, &durable.ConflictError{Current: current}
	case http.StatusNotFound:
		return durable.Object{}, durable.ErrNotFound
	case http.StatusRequestEntityTooLarge:
		return durable.Object{}, durable.ErrTooLarge
	case http.StatusServiceUnavailable:
		return durable.Object{}, unavailable(statusError(status))
	case http.StatusTooManyRequests:
		return durable.Object{}, durable.ErrOverRate
	}
	if status >= http.StatusInternalServerError {
		return durable.Object{}, unknown(statusError(status))
	}
	return durable.Object{}, unavailable(statusError(status))
}

// readJSON decodes the JSON document at path.
func (c *Client) readJSON(ctx context.Context, path string, into any) error {
	status, _, body, err := c.call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return unavailable(err)
	}
	if status != http.StatusOK {
		return readError(status)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return unavailable(err)
	}
	return nil
}

// errNotSent marks a call that got no connection, so that none of its bytes were sent.
var errNotSent = errors.New("not sent")

// call makes one request and reads the complete reply.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	// Bytes may have been sent only once there was a connection. A refused dial, a failed
	// look-up or handshake and a timeout while dialling all end before that, and the
	// error's text would not tell them apart reliably.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := c.newRequest(ctx, method, path, header, body)
	if err != nil {
		return 0, nil, nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	resp, err := c.http.Do(req)
	if err != nil && !connected.Load() {
		return 0, nil, nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	return resp.StatusCode, resp.Header, reply, err
}

func (c *Client) newRequest(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	return req, nil
}

func parseObject(key durable.Key, header http.Header, body []byte) (durable.Object, error) {
	version, err := ParseETag(header.Get("ETag"))
	if err != nil {
		return durable.Object{}, unavailable(err)
	}
	return durable.Object{Key: key, Version: version, Value: body}, nil
}

func unavailable(err error) error { return fmt.Errorf("%w: %w", durable.ErrUnavailable, err) }

// unknown wraps durable.ErrUnknown only. The cause appears as text, since it may itself
// wrap durable.ErrUnavailable.
func unknown(err error) error { return fmt.Errorf("%w: %v", durable.ErrUnknown, err) }

// readError returns the error of a read that failed with the given status.
func readError(status int) error {
	if status == http.StatusTooManyRequests {
		return durable.ErrOverRate
	}
	return unavailable(statusError(status))
}

func statusError(status int) error { return fmt.Errorf("platform answered %d", status) }
