package engine

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"goldcrestfork/policy/answerhead"
	"goldcrestfork/policy/statusline"
)

// ColdError is returned if a new connection finds the endpoint in cold start. No byte of
// a request was sent.
type ColdError struct{ Report Report }

// Error implements error.
func (e *ColdError) Error() string { return "endpoint is in cold start" }

// warmDialer makes connections that carry a request only to a warm endpoint.
//
// Failure: an endpoint restarts without notice, and each VM that last saw it warm sends
// it a warm endpoint's load before the first answer shows the change. Symptom: the
// endpoint gets many times its cold limit at once and fails. A restart breaks every
// connection to the previous process, so a kept connection leads to the process that
// reported itself warm; a new connection carries no request before the process at its
// other end has reported on it that it is warm. An engine that turns cold without a
// restart of its process is not detected here; its next answer reports it.
type warmDialer struct{ net.Dialer }

func (d *warmDialer) dialWarm(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	r, err := queryState(conn, address)
	if err == nil && r.Cold {
		err = &ColdError{Report: r}
	}
	if err != nil {
		_ = conn.Close()
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	return conn, nil
}

// mayStartKey is the context key of a cold slot's MayStart.
type mayStartKey struct{}

// errSlotLost is returned if the cold slot expired while the connection was made.
var errSlotLost = errors.New("the cold slot is no longer this VM's")

// dialCold connects for a request that holds a cold slot. If the process was paused
// after it got the slot, the slot may belong to another VM by now; dialCold then fails.
func (d *warmDialer) dialCold(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if mayStart, ok := ctx.Value(mayStartKey{}).(func() bool); !ok || !mayStart() {
		_ = conn.Close()
		return nil, &net.OpError{Op: "dial", Net: network, Err: errSlotLost}
	}
	return conn, nil
}

// queryState requests the state of the endpoint at the other end of a connection.
func queryState(conn net.Conn, address string) (Report, error) {
	if err := conn.SetDeadline(time.Now().Add(DialTimeout)); err != nil {
		return Report{}, err
	}
	if _, err := fmt.Fprintf(conn, "GET /load HTTP/1.1\r\nHost: %s\r\n\r\n", address); err != nil {
		return Report{}, err
	}
	buffer := bufio.NewReader(io.LimitReader(conn, maxHeadBytes+maxFrameBytes))
	resp, err := http.ReadResponse(buffer, nil)
	if err != nil {
		return Report{}, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxFrameBytes)); err != nil {
		return Report{}, err
	}
	if err := answerhead.Check(resp.StatusCode, resp.Header); err != nil {
		return Report{}, err
	}
	if resp.StatusCode != http.StatusOK || resp.Close || buffer.Buffered() > 0 || statusline.InHead(resp.Status, resp.Header) {
		return Report{}, errors.New("endpoint does not tell its state")
	}
	return parseReport(resp.Header), conn.SetDeadline(time.Time{})
}

// State requests an endpoint's state on a separate connection.
func (c *Client) State(ctx context.Context, address string) (Report, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return Report{}, err
	}
	defer conn.Close()
	return queryState(conn, address)
}
