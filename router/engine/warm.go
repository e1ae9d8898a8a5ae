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
)

// ColdError says that a new connection found the endpoint in cold start. No byte
// of a request left.
type ColdError struct{ Report Report }

func (e *ColdError) Error() string { return "endpoint is in cold start" }

// warmDialer makes connections that only ever lead to a warm endpoint.
//
// Failure: an endpoint starts anew without warning, and each VM that last saw it
// warm sends it a warm endpoint's load before the first answer tells otherwise.
// Symptom: many times its cold limit at once, and it breaks. Why this suffices: a
// new start breaks every connection to the old one, so that a kept connection
// leads to the process that called itself warm; and a new connection carries no
// request before the process at its end has said on it that it is warm. What it
// can't see is an engine that goes cold within its process; such an engine's next
// answer says so.
type warmDialer struct{ net.Dialer }

func (d *warmDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	r, err := probe(conn, address)
	if err == nil && r.Cold {
		err = &ColdError{Report: r}
	}
	if err != nil {
		_ = conn.Close()
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	return conn, nil
}

// mayStartKey carries a cold slot's MayStart to the dial.
type mayStartKey struct{}

// errSlotLost: the cold slot ran out while the connection was made.
var errSlotLost = errors.New("the cold slot is no longer this VM's")

// dialCold connects for a request that holds a cold slot. A process that was paused
// after it got the slot finds here that the slot may be another VM's by now.
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

// probe asks the process at the end of a connection for its state.
func probe(conn net.Conn, address string) (Report, error) {
	if err := conn.SetDeadline(time.Now().Add(DialTimeout)); err != nil {
		return Report{}, err
	}
	if _, err := fmt.Fprintf(conn, "GET /load HTTP/1.1\r\nHost: %s\r\n\r\n", address); err != nil {
		return Report{}, err
	}
	buffer := bufio.NewReader(conn)
	resp, err := http.ReadResponse(buffer, nil)
	if err != nil {
		return Report{}, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxFrame)); err != nil {
		return Report{}, err
	}
	if resp.StatusCode != http.StatusOK || resp.Close || buffer.Buffered() > 0 {
		return Report{}, errors.New("endpoint does not tell its state")
	}
	return report(resp.Header), conn.SetDeadline(time.Time{})
}

// State asks an endpoint for its state on a connection of its own.
func (c *Client) State(ctx context.Context, address string) (Report, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return Report{}, err
	}
	defer conn.Close()
	return probe(conn, address)
}
