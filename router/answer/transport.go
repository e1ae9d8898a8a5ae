package answer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"goldcrestfork/policy/answerhead"
)

// Transport sends requests by net/http. It is safe for concurrent use.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport over base, which must not be used otherwise.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(nc), nil
	}
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper. The error is an *answerhead.Error if the head of the answer isn't valid;
// the connection carries nothing further then.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	// net/http sends a request again only after the write on the connection before has ended.
	var used *conn
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if used, _ = info.Conn.(*conn); used != nil {
				used.beginWrite()
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if used != nil {
				used.endWrite(info.Err)
			}
		},
	}
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if malformed := textproto.ProtocolError(""); errors.As(err, &malformed) {
		return nil, &answerhead.Error{Part: "field", Value: malformed.Error()}
	}
	if err != nil {
		return nil, err
	}
	if err := answerhead.Check(resp.StatusCode, resp.Header); err != nil {
		if used != nil {
			_ = used.Close() // fails only on a connection that has ended
		}
		_ = resp.Body.Close() // of a connection that has ended
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
