package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/platform"
)

const (
	// soakLoudKey belongs to the account that sends many times its usual load for a while.
	soakLoudKey   = "key-loud"
	soakLoudRank  = 7
	soakLoudCalls = 16 // at a time; with 40, the search for connections' VMs (pathListener) takes longer than requests
	// soakSlots, soakQueue and soakMemory are the requests that an endpoint runs, those that it holds
	// beyond them, and its tokens of memory.
	soakSlots  = 2
	soakQueue  = 4
	soakMemory = 20_000
	// soakLarge is the tokens from which on a request may go to an empty endpoint only.
	soakLarge = soakMemory * 9 / 10
	// soakHold is how long a request holds a slot. The two endpoints without a limit or a rest have room
	// for the usual callers, but not for the loud account as well.
	soakHold = 30 * time.Millisecond
	// soakRestart is how long an endpoint is down after a crash.
	soakRestart = 300 * time.Millisecond
	// soakDeadline is the time limit of callers.
	soakDeadline = 3 * time.Second
	// soakBig is the size of an answer that doesn't fit into the buffers of a connection, and
	// bigPrefix marks the requests that get one.
	soakBig   = 1 << 20
	bigPrefix = "big-"
)

// soakRanks are the priorities of the routes.
var soakRanks = map[bool]int{true: 3, false: 5} // by record.nonRepeatable

// loadRecord holds the load parts of a seed: which switches are on, the endpoints' slots and memory,
// and what the checks need.
type loadRecord struct {
	pressure  bool // the settings' contracts contain the word
	slowdown  bool // endpoints state a fourth load figure
	endpoints map[string]*loadedEndpoint

	mu    sync.Mutex
	ended map[int][][2]time.Time // times in which a VM's process was killed or stopping
	prioritised, sharesRefused, steady,
	returned, malformed int
	broken []string
}

// newLoadRecord chooses the switches by the seed. Seed 1, which CI runs, has both.
func newLoadRecord(seed uint64) *loadRecord {
	l := &loadRecord{
		pressure: seed%4 == 1 || seed%4 == 2, slowdown: seed%4 == 1 || seed%4 == 3,
		endpoints: make(map[string]*loadedEndpoint), ended: make(map[int][][2]time.Time),
	}
	for i := range 4 {
		l.endpoints[fmt.Sprint("e", i)] = &loadedEndpoint{state: newEngineState()}
	}
	return l
}

// on reports whether services are managed, so that endpoints have little room and callers are refused.
func (l *loadRecord) on() bool { return l.pressure || l.slowdown }

func (l *loadRecord) settings() []string {
	if !l.pressure {
		return nil
	}
	return []string{"contracts=other, pressure", "limits.memoryMb=64"}
}

func (l *loadRecord) slots() int {
	if l.on() {
		return soakSlots
	}
	return 8
}

func (l *loadRecord) violate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

// takeBroken returns what the checks found.
func (l *loadRecord) takeBroken() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.broken)
}

func (l *loadRecord) count(n *int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*n++
}

// end records that a VM's process ends until the returned function is called.
func (l *loadRecord) end(vm int) (over func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := len(l.ended[vm])
	l.ended[vm] = append(l.ended[vm], [2]time.Time{time.Now(), time.Now().Add(time.Hour)})
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.ended[vm][i][1] = time.Now()
	}
}

func (l *loadRecord) endedWithin(vm int, from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.ended[vm], func(e [2]time.Time) bool { return e[0].Before(to) && e[1].After(from) })
}

// checkPriority checks the priority that an endpoint got with a request of the given rank.
func (l *loadRecord) checkPriority(stated []string, id string, rank int) {
	switch {
	case len(stated) == 0 && !l.pressure: // a VM that has just started may not know the fourth figure yet
	case len(stated) != 1 || !l.on():
		l.violate("an endpoint got the priorities %q with %s", stated, id)
	case stated[0] != strconv.Itoa(rank) && stated[0] != strconv.Itoa(rank-1):
		l.violate("an endpoint got the priority %s with %s, whose rank is %d", stated[0], id, rank)
	default:
		l.count(&l.prioritised)
	}
}

// checkRefusal checks the refusal of a caller with the given time left, and returns when it may return and whether the
// reason is its account's share.
func (l *loadRecord) checkRefusal(id string, resp *http.Response, body []byte, left time.Duration) (after time.Duration, share bool) {
	refused := readRefusal(body)
	seconds, err := strconv.ParseFloat(resp.Header.Get(platform.Names().Rest), 64)
	share = strings.Contains(refused.Detail, "of the account's requests")
	if !share {
		return time.Duration(seconds * float64(time.Second)), false
	}
	l.count(&l.sharesRefused)
	if !l.on() || refused.Code != "overloaded" {
		l.violate("%s was refused for its account's share: %s", id, body)
	}
	if err != nil || seconds <= 0 || seconds > left.Seconds()/3+0.001 {
		l.violate("%s was told to return after %q s with %s left", id, resp.Header.Get(platform.Names().Rest), left)
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// refusalText is the body of a refusal.
type refusalText struct{ Code, Detail string }

// readRefusal returns the body of a refusal, nothing if it is something else.
func readRefusal(body []byte) (r refusalText) {
	if json.Unmarshal(body, &r) != nil {
		return refusalText{}
	}
	return r
}

// loadedEndpoint is an endpoint with a number of slots, a queue and a memory.
type loadedEndpoint struct {
	mu        sync.Mutex
	state     *engineState
	downUntil time.Time
	arrivals, rejections,
	crashes, crashesByLarge int // the latter beside a request that needs an empty endpoint
}

// engineState is one life of an endpoint, up to a crash.
type engineState struct {
	running, tokens int
	large           int // requests with over soakLarge tokens
	waiting         []*heldRequest
	crashed         chan struct{}
}

func newEngineState() *engineState { return &engineState{crashed: make(chan struct{})} }

// heldRequest is a request at an endpoint.
type heldRequest struct {
	state            *engineState
	priority, tokens int
	started          chan struct{}
}

var (
	errEndpointFull = errors.New("no slot and no place in the queue")
	errEndpointDown = errors.New("crashed")
)

// enter takes a request in. An endpoint crashes if its requests hold more tokens than it has.
func (e *loadedEndpoint) enter(r *http.Request) (*heldRequest, error) {
	n := platform.Names()
	h := &heldRequest{priority: 5, started: make(chan struct{})}
	if p, err := strconv.Atoi(r.Header.Get(n.Priority)); err == nil {
		h.priority = p
	}
	prompt, output, _ := strings.Cut(r.Header.Get(n.TokenCounts), ",")
	for _, figure := range []string{prompt, output} {
		tokens, _ := strconv.Atoi(figure) // 0 if the caller states none
		h.tokens += tokens
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.downUntil) {
		return nil, errEndpointDown
	}
	e.arrivals++
	s := e.state
	h.state = s
	switch {
	case s.running >= soakSlots && len(s.waiting) >= soakQueue:
		e.rejections++
		return nil, errEndpointFull
	case s.tokens+h.tokens > soakMemory:
		e.crashes++
		if s.large > 0 || h.tokens > soakLarge {
			e.crashesByLarge++
		}
		close(s.crashed)
		e.state, e.downUntil = newEngineState(), time.Now().Add(soakRestart)
		return nil, errEndpointDown
	case s.running < soakSlots:
		s.running++
		close(h.started)
	default:
		s.waiting = append(s.waiting, h)
	}
	s.tokens += h.tokens
	if h.tokens > soakLarge {
		s.large++
	}
	return h, nil
}

// run waits for a slot and holds it for a time. It returns an error if the endpoint crashes or the
// sender leaves.
func (e *loadedEndpoint) run(ctx context.Context, h *heldRequest, hold time.Duration) error {
	defer e.leave(h)
	select {
	case <-h.started:
	case <-h.state.crashed:
		return errEndpointDown
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-time.After(hold):
		return nil
	case <-h.state.crashed:
		return errEndpointDown
	case <-ctx.Done():
		return ctx.Err()
	}
}

// leave ends a request and starts the most urgent one that waits.
func (e *loadedEndpoint) leave(h *heldRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := h.state
	s.tokens -= h.tokens
	if h.tokens > soakLarge {
		s.large--
	}
	if i := slices.Index(s.waiting, h); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return
	}
	s.running--
	if len(s.waiting) == 0 {
		return
	}
	next := slices.MinFunc(s.waiting, func(a, b *heldRequest) int { return a.priority - b.priority })
	s.waiting = slices.DeleteFunc(s.waiting, func(x *heldRequest) bool { return x == next })
	s.running++
	close(next.started)
}

// slowdownNow is the percentage of the usual time that work takes at an endpoint now. It changes 20
// times a second.
func slowdownNow(name string) int {
	return []int{100, 250, 130}[(int(time.Now().UnixMilli()/50)+len(name)+int(name[1]))%3]
}

// lyingEndpoint states a slowdown that has nothing to do with its own.
const lyingEndpoint = "e1"

// stateLoad writes the load header of an answer.
func (l *loadRecord) stateLoad(rw http.ResponseWriter, name string, random func(int) int) {
	e := l.endpoints[name]
	e.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", e.state.running, len(e.state.waiting), soakSlots)
	e.mu.Unlock()
	if l.slowdown {
		percent := slowdownNow(name)
		if name == lyingEndpoint {
			percent = 1 + random(2000)
		}
		switch random(10) {
		case 0:
			l.count(&l.malformed)
			load = []string{"", ",,,", load + ",", load + ",fast", load + ",-100", load + ",1e3", load + ",99999999999999999999", "1,2"}[random(8)]
		case 1:
			load = fmt.Sprintf("%s,%d,7", load, percent)
		default:
			load = fmt.Sprintf("%s,%d", load, percent)
		}
	}
	rw.Header().Set(platform.Names().Load, load)
}

// callOptions is how a caller differs from the usual one.
type callOptions struct {
	key      string        // one of those in the configuration if it is empty
	deadline time.Duration // soakDeadline if it is 0
	returns  bool          // comes back once after a refusal
	read     func(io.Reader) ([]byte, error)
}

// setLoadHeaders sets what callers state about a request's load, and a priority that isn't theirs to set.
func (w *soakTestbed) setLoadHeaders(h http.Header) {
	n := platform.Names()
	h.Set(n.Priority, "9")
	prompt := 200 + w.randomInt(3000)
	if w.randomInt(100) == 0 {
		prompt = soakMemory - 1000 // fits only into an empty endpoint
	}
	h.Set(n.TokenCounts, fmt.Sprintf("%d,%d", prompt, 1+w.randomInt(500)))
	h.Set(n.LengthHint, fmt.Sprint(1+w.randomInt(300)))
}

// flood sends requests of the loud account until ctx ends.
func (w *soakTestbed) flood(ctx context.Context) {
	var callers sync.WaitGroup
	for c := range soakLoudCalls {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			for i := 0; ctx.Err() == nil; i++ {
				w.callWith(context.Background(), client, fmt.Sprintf("loud%d-%d", c, i), callOptions{key: soakLoudKey, returns: c%2 == 0})
				time.Sleep(time.Duration(w.randomInt(10)) * time.Millisecond)
			}
		})
	}
	callers.Wait()
}

// smallBufferClient returns a client whose connections take few bytes that nobody reads.
func smallBufferClient() *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err == nil {
			err = c.(*net.TCPConn).SetReadBuffer(16 << 10)
		}
		return c, err
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true, ReadBufferSize: 4 << 10}}
}

// readSteadily reads an answer slowly, without a pause that is longer than some milliseconds.
func readSteadily(r io.Reader) (body []byte, err error) {
	piece := make([]byte, 16<<10)
	for {
		n, err := r.Read(piece)
		body = append(body, piece[:n]...)
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// slowCallers sends requests with large answers until ctx ends: some callers read steadily, the others
// read nothing until done is closed.
func (w *soakTestbed) slowCallers(ctx context.Context, done <-chan struct{}, callers *sync.WaitGroup) {
	for c := range 2 {
		callers.Go(func() {
			client := smallBufferClient()
			for i := 0; ctx.Err() == nil; i++ {
				w.callWith(context.Background(), client, fmt.Sprintf("%ssteady%d-%d", bigPrefix, c, i), callOptions{read: readSteadily})
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for i := 0; ctx.Err() == nil && i < 6; i++ {
		go w.callWith(context.Background(), smallBufferClient(), fmt.Sprintf("%sstalled-%d", bigPrefix, i), callOptions{read: func(io.Reader) ([]byte, error) {
			<-done
			return nil, errors.New("not read")
		}})
		time.Sleep(300 * time.Millisecond)
	}
}

// checkHeldBytes waits until no VM holds bytes for callers, while those that read nothing are still there.
func (w *soakTestbed) checkHeldBytes() {
	const metric = "goldcrest_forward_held_bytes"
	for i, v := range w.vms {
		held := ""
		require.Eventually(w.t, func() bool {
			held = v.metric(metric)
			return held == "0" || held == "" && !w.load.pressure
		}, 40*time.Second, 50*time.Millisecond, "VM %d still holds bytes", i)
	}
}

// metric returns the value of a metric without labels, "" if there is none.
func (v *vm) metric(name string) string {
	resp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/metrics", v.metrics))
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body) // a part of the answer has no such line or the right one
	for line := range strings.Lines(string(body)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), name+" "); ok {
			return value
		}
	}
	return ""
}

// logLoad logs what the load parts met. The caller holds w.mu.
func (w *soakTestbed) logLoad(seed uint64) {
	l := w.load
	l.mu.Lock()
	defer l.mu.Unlock()
	w.t.Logf("seed %d: pressure %v, fourth figure %v: %d priorities, %d refused for their share, %d came back, %d malformed figures, %d answers were read slowly",
		seed, l.pressure, l.slowdown, l.prioritised, l.sharesRefused, l.returned, l.malformed, l.steady)
	statuses := map[string]map[string]int{"loud": {}, "usual": {}, "large": {}}
	for id, r := range w.records {
		status := strings.TrimSpace(fmt.Sprint(r.status, " ", r.code))
		if r.share {
			status = "share"
		}
		switch {
		case r.key == soakLoudKey:
			statuses["loud"][status]++
		case strings.HasPrefix(id, bigPrefix):
			statuses["large"][status]++
		case !strings.HasPrefix(id, "calm-") && !strings.HasPrefix(id, "drained-"):
			statuses["usual"][status]++
		}
	}
	w.t.Logf("seed %d: requests by status: %v", seed, statuses)
	for i := range len(l.endpoints) {
		e := l.endpoints[fmt.Sprint("e", i)]
		e.mu.Lock()
		w.t.Logf("seed %d: e%d took %d requests, rejected %d, crashed %d times for its memory, %d of them with a request that needs all of it", seed, i, e.arrivals, e.rejections, e.crashes, e.crashesByLarge)
		e.mu.Unlock()
	}
}
