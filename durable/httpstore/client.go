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

// idleConnections kept to the platform. Grounds: a VM's shards, watches and
// loops call at the same time; fewer would redial in a burst.
const idleConnections = 32

// maxReply bounds a listing in bytes, so that a broken server can't fill the VM's memory.
const maxReply = 128 << 20

// Client implements durable.Store over HTTP.
type Client struct {
	base    string
	token   string
	timeout time.Duration
	http    *http.Client
}

var _ durable.Store = (*Client)(nil)

// Option changes a Client at its making.
type Option func(*Client)

// WithToken sends a bearer token with every call.
func WithToken(token string) Option { return func(c *Client) { c.token = token } }

// WithTimeout bounds each call but a watch; the default is durable.CallTimeout.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithTransport sets the transport, for TLS settings or tests.
func WithTransport(t http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = t }
}

// New returns a client of the platform at base, such as "http://192.0.2.1:7000".
func New(base string, options ...Option) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = idleConnections
	c := &Client{
		base:    strings.TrimSuffix(base, "/"),
		timeout: durable.CallTimeout,
		http:    &http.Client{Transport: transport},
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// CloseIdle closes connections that no call uses.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// Get implements durable.Store.
func (c *Client) Get(ctx context.Context, key durable.Key) (durable.Object, error) {
	status, header, body, err := c.call(ctx, http.MethodGet, Path(key.Kind, key.Name), nil, nil)
	if err != nil {
		return durable.Object{}, unavailable(err)
	}
	switch status {
	case http.StatusOK:
		return object(key, header, body)
	case http.StatusNotFound:
		return durable.Object{}, durable.ErrNotFound
	}
	return durable.Object{}, refused(status)
}

// List implements durable.Store.
func (c *Client) List(ctx context.Context, kind string) (durable.Listing, error) {
	var l Listing
	if err := c.read(ctx, Path(kind, ""), &l); err != nil {
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
	if err := c.read(ctx, "/vms", &rows); err != nil {
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
	if len(value) > durable.MaxValue {
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
		condition.Set("If-Match", Tag(ifVersion))
	}
	status, header, body, err := c.call(ctx, method, Path(key.Kind, key.Name), condition, value)
	if errors.Is(err, errNotSent) {
		return durable.Object{}, unavailable(err)
	}
	if err != nil {
		return durable.Object{}, unknown(err)
	}
	return writeResult(key, status, header, body)
}

// writeResult turns a whole reply to a write into the interface's outcome.
func writeResult(key durable.Key, status int, header http.Header, body []byte) (durable.Object, error) {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		o, err := object(key, header, nil)
		if err != nil {
			return durable.Object{}, unknown(err)
		}
		return o, nil
	case http.StatusPreconditionFailed:
		current, err := object(key, header, body)
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

// read gets a JSON document.
func (c *Client) read(ctx context.Context, path string, into any) error {
	status, _, body, err := c.call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return unavailable(err)
	}
	if status != http.StatusOK {
		return refused(status)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return unavailable(err)
	}
	return nil
}

// errNotSent marks a call for which no connection was had: no byte of it left.
var errNotSent = errors.New("not sent")

// call makes one request and reads its whole reply.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	// The connection's arrival, not the error's text, tells whether bytes may
	// have left: a refused dial, a failed look-up or handshake and a time-out
	// while dialling all end before it.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := c.request(ctx, method, path, header, body)
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
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	return resp.StatusCode, resp.Header, reply, err
}

func (c *Client) request(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Request, error) {
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

func object(key durable.Key, header http.Header, body []byte) (durable.Object, error) {
	version, err := ParseTag(header.Get("ETag"))
	if err != nil {
		return durable.Object{}, unavailable(err)
	}
	return durable.Object{Key: key, Version: version, Value: body}, nil
}

func unavailable(err error) error { return fmt.Errorf("%w: %w", durable.ErrUnavailable, err) }

// unknown flattens its cause, which may itself say "unavailable".
func unknown(err error) error { return fmt.Errorf("%w: %v", durable.ErrUnknown, err) }

// refused gives the error of a read that brought no object.
func refused(status int) error {
	if status == http.StatusTooManyRequests {
		return durable.ErrOverRate
	}
	return unavailable(statusError(status))
}

func statusError(status int) error { return fmt.Errorf("platform answered %d", status) }
