package httpstore

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"goldcrestfork/durable"
)

// KeepAliveInterval is the longest time between two lines that a server writes to a watch; the
// server writes an empty line if there is no event.
const KeepAliveInterval = 5 * time.Second

// WatchTimeout is the time without a line after which a watch counts as broken; it allows
// for two lost keep-alives. Without it, a watch on a connection that a switch dropped
// silently would wait forever, and the VM would miss a withdrawal.
const WatchTimeout = 3 * KeepAliveInterval

type watch struct {
	kind   string
	events chan durable.Event
	cancel context.CancelFunc
	once   sync.Once
	closed chan struct{}
	ended  chan struct{}
	err    error // set before ended is closed
}

// Watch implements durable.Store. The context bounds only the start of the watch.
func (c *Client) Watch(ctx context.Context, kind string, revision int64) (durable.Watch, error) {
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	startCtx, stopTimer := context.WithTimeout(ctx, c.timeout)
	defer stopTimer()
	stopTimeout := context.AfterFunc(startCtx, cancel)
	path := Path(kind, "") + "?watch=" + strconv.FormatInt(revision, 10)
	req, err := c.newRequest(streamCtx, http.MethodGet, path, nil, nil)
	if err != nil {
		cancel()
		return nil, unavailable(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		cancel()
		return nil, unavailable(err)
	}
	if !stopTimeout() {
		cancel()
		_ = resp.Body.Close()
		return nil, unavailable(startCtx.Err())
	}
	if resp.StatusCode != http.StatusOK {
		cancel()
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusGone {
			return nil, durable.ErrGone
		}
		return nil, unavailable(statusError(resp.StatusCode))
	}
	w := &watch{
		kind:   kind,
		events: make(chan durable.Event),
		cancel: cancel,
		closed: make(chan struct{}),
		ended:  make(chan struct{}),
	}
	go w.run(streamCtx, resp)
	return w, nil
}

// run reads and delivers lines until the stream breaks or the watch is closed.
func (w *watch) run(ctx context.Context, resp *http.Response) {
	defer close(w.ended)
	defer func() { _ = resp.Body.Close() }()
	w.err = durable.ErrUnavailable
	watchdog := time.AfterFunc(WatchTimeout, w.cancel)
	defer watchdog.Stop()
	lines := bufio.NewReader(resp.Body)
	for {
		raw, err := lines.ReadBytes('\n')
		if err != nil {
			return
		}
		// The watchdog stops while the event waits for the caller of Next, since a slow
		// caller doesn't mean a silent stream.
		watchdog.Stop()
		if !w.deliver(ctx, raw) {
			return
		}
		watchdog.Reset(WatchTimeout)
	}
}

// deliver passes the event of one line to Next, and returns false if the watch must end.
func (w *watch) deliver(ctx context.Context, raw []byte) bool {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 {
		return true
	}
	var line WatchLine
	if json.Unmarshal(raw, &line) != nil {
		return false
	}
	if line.Gone {
		w.err = durable.ErrGone
		return false
	}
	select {
	case w.events <- line.event(w.kind):
		return true
	case <-ctx.Done():
		return false
	}
}

// Next implements durable.Watch.
func (w *watch) Next(ctx context.Context) (durable.Event, error) {
	select {
	case e := <-w.events:
		return e, nil
	case <-w.closed:
		return durable.Event{}, durable.ErrUnavailable
	case <-w.ended:
		return durable.Event{}, w.err
	case <-ctx.Done():
		return durable.Event{}, ctx.Err()
	}
}

// Close implements durable.Watch.
func (w *watch) Close() {
	w.once.Do(func() {
		close(w.closed)
		w.cancel()
	})
}
