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

// KeepAlive is how often a server writes at least an empty line into a watch.
const KeepAlive = 5 * time.Second

// Silence is how long a watch may bring no line before it counts as broken.
// Grounds: two lost keep-alives; without it a watch over a connection that a
// switch forgot would wait for ever, and the VM would miss a withdrawal.
const Silence = 3 * KeepAlive

type watch struct {
	kind   string
	events chan durable.Event
	cancel context.CancelFunc
	once   sync.Once
	closed chan struct{}
	ended  chan struct{}
	err    error // set before ended closes
}

// Watch implements durable.Store. The context bounds the start only.
func (c *Client) Watch(ctx context.Context, kind string, revision int64) (durable.Watch, error) {
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	start, stopTimer := context.WithTimeout(ctx, c.timeout)
	defer stopTimer()
	keep := context.AfterFunc(start, cancel)
	path := Path(kind, "") + "?watch=" + strconv.FormatInt(revision, 10)
	req, err := c.request(life, http.MethodGet, path, nil, nil)
	if err != nil {
		cancel()
		return nil, unavailable(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		cancel()
		return nil, unavailable(err)
	}
	if !keep() {
		cancel()
		_ = resp.Body.Close()
		return nil, unavailable(start.Err())
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
	go w.run(life, resp)
	return w, nil
}

// run reads lines until the stream breaks or the watch is closed.
func (w *watch) run(ctx context.Context, resp *http.Response) {
	defer close(w.ended)
	defer func() { _ = resp.Body.Close() }()
	w.err = durable.ErrUnavailable
	watchdog := time.AfterFunc(Silence, w.cancel)
	defer watchdog.Stop()
	lines := bufio.NewReader(resp.Body)
	for {
		raw, err := lines.ReadBytes('\n')
		if err != nil {
			return
		}
		// Stopped while the event waits for its reader: a slow reader isn't a silent stream.
		watchdog.Stop()
		if !w.deliver(ctx, raw) {
			return
		}
		watchdog.Reset(Silence)
	}
}

// deliver hands one line on; false ends the watch.
func (w *watch) deliver(ctx context.Context, raw []byte) bool {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 {
		return true
	}
	var line Line
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
