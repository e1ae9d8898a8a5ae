package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"goldcrestfork/platform"
	"goldcrestfork/platform/endpointtest"
	"goldcrestfork/standin/link"
)

// dayAttempt is one attempt of a caller and what came of it.
type dayAttempt struct {
	id, request string // of the attempt, and of the caller's request
	route       dayRoute
	vm          string
	sent, ended time.Time
	first       time.Time // when the first event of a stream came
	status      int       // 0 for no answer
	whole       bool
	wrong       string // what is wrong with the answer; "" for nothing
	lastEvent   int
	err         error
	reused      bool // the connection had carried a request before
	retryAfter  time.Duration
}

// served reports whether the caller got its whole answer.
func (a *dayAttempt) served() bool { return a.status == http.StatusOK && a.whole }

// dayTraffic is the callers of a day.
type dayTraffic struct {
	d       *day
	callers []*dayCaller

	mu       sync.Mutex
	rand     *rand.Rand
	attempts []*dayAttempt
	requests int
	giveUp   float64 // share of the requests whose callers leave early
	repeat   float64 // share of the callers that repeat at once
	press    float64 // factor on the rate
}

// callersPerDataCentre is the number of callers of each data centre, which keep connections of their own.
const callersPerDataCentre = 12

func newDayTraffic(d *day) *dayTraffic {
	w := &dayTraffic{d: d, rand: rand.New(rand.NewPCG(d.seed, 3)), press: 1}
	for range callersPerDataCentre {
		for _, dataCentre := range d.size.dataCentres {
			w.callers = append(w.callers, &dayCaller{w: w, dataCentre: dataCentre, transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 6 * time.Second, DisableCompression: true}})
		}
	}
	return w
}

func (w *dayTraffic) float() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rand.Float64()
}

func (w *dayTraffic) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rand.IntN(n)
}

// with changes the behaviour of callers until the function that it returns is called.
func (w *dayTraffic) with(change func(w *dayTraffic)) (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := [3]float64{w.giveUp, w.repeat, w.press}
	change(w)
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.giveUp, w.repeat, w.press = before[0], before[1], before[2]
	}
}

// run sends the requests of the day and waits for their ends.
func (w *dayTraffic) run() {
	var requests sync.WaitGroup
	defer requests.Wait()
	total := 0.0
	for _, r := range w.d.size.routes {
		total += r.perSecond
	}
	for next := w.d.began; time.Since(w.d.began) < w.d.length; {
		w.mu.Lock()
		next = next.Add(time.Duration(w.rand.ExpFloat64() / (total * w.d.rate * w.press) * float64(time.Second)))
		at := w.rand.Float64() * total
		caller := w.callers[w.rand.IntN(len(w.callers))]
		w.requests++
		name := fmt.Sprint("q", w.requests)
		w.mu.Unlock()
		route := w.d.size.routes[len(w.d.size.routes)-1]
		for _, r := range w.d.size.routes {
			if at -= r.perSecond; at < 0 {
				route = r
				break
			}
		}
		time.Sleep(time.Until(next))
		requests.Go(func() { caller.request(name, route) })
	}
}

// dayCaller is one caller: it asks the directory which VMs to use and keeps connections.
type dayCaller struct {
	w          *dayTraffic
	dataCentre string
	transport  *http.Transport

	mu        sync.Mutex
	addresses []string
	until     time.Time
}

// vmAt returns the VM with an address for callers.
func (d *day) vmAt(address string) *dayVM {
	for _, v := range d.vms {
		if v.vm.front == address {
			return v
		}
	}
	return nil
}

// maxDirectories is the number of VMs that a caller asks for addresses.
const maxDirectories = 3

// pick returns a VM to use, none of those that have failed if there is another.
func (c *dayCaller) pick(failed map[string]bool) *dayVM {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.until) {
		first := c.w.intN(len(c.w.d.vms))
		for i := range maxDirectories {
			v := c.w.d.vms[(first+i)%len(c.w.d.vms)]
			if a, ok := askDirectory(v.directory, c.dataCentre); ok {
				c.addresses, c.until = a.Addresses, time.Now().Add(time.Duration(a.TTL*float64(time.Second)))
				break
			}
		}
	}
	var vms []*dayVM
	for _, a := range c.addresses {
		if v := c.w.d.vmAt(a); v != nil && !failed[v.name] {
			vms = append(vms, v)
		}
	}
	if len(vms) == 0 {
		vms = c.w.d.vms
	}
	return vms[c.w.intN(len(vms))]
}

func askDirectory(k *link.Link, dataCentre string) (a platform.Addresses, ok bool) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + k.Address() + platform.PathResolve + "?name=h&region=north&zone=" + dataCentre)
	if err != nil {
		return a, false
	}
	defer resp.Body.Close()
	return a, resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(&a) == nil && len(a.Addresses) > 0
}

// maxCallerRetries bounds a caller's attempts beyond the first, and maxResumes those at resuming a stream.
const (
	maxCallerRetries = 1
	maxResumes       = 2
)

// request sends one request, and again where the caller may.
func (c *dayCaller) request(name string, route dayRoute) {
	deadline := time.Now().Add(route.limit)
	events := 0
	if route.streaming() {
		events = 1 + c.w.intN(2*route.events)
	}
	retries := maxCallerRetries
	if c.w.float() < c.w.repeatShare() {
		retries += 3
	}
	failed, last := make(map[string]bool), 0
	for try := 0; ; try++ {
		v := c.pick(failed)
		a := c.send(v, fmt.Sprintf("%s-%d", name, try), name, route, events, last, deadline)
		c.w.mu.Lock()
		c.w.attempts = append(c.w.attempts, a)
		c.w.mu.Unlock()
		left := time.Until(deadline)
		last = max(last, a.lastEvent)
		refused := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests || a.status == http.StatusRequestTimeout || a.status == http.StatusMisdirectedRequest
		switch {
		case a.served() || left <= 0 || errors.Is(a.err, context.Canceled):
			return
		case route.streaming() && a.status == http.StatusOK:
			if try >= maxResumes {
				return
			}
		case try >= retries:
			return
		case refused:
			if a.retryAfter > left/3 {
				return
			}
			time.Sleep(a.retryAfter)
		case a.status == 0 && !route.repeatable() && !a.unread():
			return
		case a.status != 0 && !route.repeatable():
			return
		}
		if a.status == 0 {
			failed[v.name] = true
		}
	}
}

// unread reports whether the caller takes the request for one that the VM has not read: no VM took the connection, or one
// that was kept from an earlier request was reset, as a process's machine does if it ends with bytes unread.
func (a *dayAttempt) unread() bool {
	return errors.Is(a.err, syscall.ECONNREFUSED) || a.reused && errors.Is(a.err, syscall.ECONNRESET)
}

func (w *dayTraffic) repeatShare() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.repeat
}

// leaves returns after which time the caller leaves early; 0 for never.
func (w *dayTraffic) leaves(route dayRoute) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rand.Float64() >= w.giveUp {
		return 0
	}
	return time.Duration(w.rand.Float64() * float64(route.target) / 2)
}

// send makes one attempt through a VM.
func (c *dayCaller) send(v *dayVM, id, request string, route dayRoute, events, last int, deadline time.Time) *dayAttempt {
	n := platform.Names()
	a := &dayAttempt{id: id, request: request, route: route, vm: v.name, sent: time.Now(), lastEvent: last}
	defer func() { a.ended = time.Now() }()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if after := c.w.leaves(route); after > 0 {
		time.AfterFunc(after, cancel)
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(g httptrace.GotConnInfo) { a.reused = g.Reused }})
	method := http.MethodPost
	if route.name == "lookup" {
		method = http.MethodGet
	}
	var body io.Reader = unrepeatable{strings.NewReader("")}
	if method == http.MethodPost {
		body = strings.NewReader(strings.Repeat("x", 600))
	}
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/%s/%d/%s", v.front.Address(), route.name, events, request), body)
	if err != nil {
		a.err = err
		return a
	}
	req.GetBody = nil // the transport must not send the attempt again by itself
	req.Host = "h"
	for name, value := range map[string]string{n.RequestID: id, n.Key: "k", n.Deadline: strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10)} {
		req.Header.Set(name, value)
	}
	if route.streaming() {
		req.Header.Set(n.Model, "*")
		req.Header.Set(n.TokenCounts, fmt.Sprintf("%d,%d", route.shared+route.own, events*dayEngine.TokensPerEvent))
		req.Header.Set(n.PromptParts, fmt.Sprintf("%s-%d:%d,%s:%d", route.name, len(request)%7, route.shared, request, route.own))
		if last > 0 {
			req.Header.Set(n.LastEventID, strconv.Itoa(last))
		}
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	if route.streaming() && resp.StatusCode == http.StatusOK {
		a.readStream(resp.Body, route, events, cancel)
		return a
	}
	b, err := io.ReadAll(resp.Body)
	a.err, a.whole = err, err == nil
	if resp.StatusCode == http.StatusOK && err == nil && (string(b) != endpointtest.WholeAnswer(id) || resp.Header.Get(n.Signature) != "sig-"+id) {
		a.wrong = fmt.Sprintf("signature %q, body %.60q", resp.Header.Get(n.Signature), b)
	}
	return a
}

// readStream reads a stream's events. A caller leaves after a long pause.
func (a *dayAttempt) readStream(body io.Reader, route dayRoute, events int, leave func()) {
	longest := max(2*time.Second, 4*route.target, 8*route.pause)
	pause := time.AfterFunc(longest, leave)
	defer pause.Stop()
	in := bufio.NewReader(body)
	for {
		var event strings.Builder
		for !strings.HasSuffix(event.String(), "\n\n") {
			line, err := in.ReadString('\n')
			event.WriteString(line)
			if err != nil {
				a.err = err
				a.whole = errors.Is(err, io.EOF) && event.Len() == 0
				if a.whole && a.lastEvent < events {
					a.wrong = fmt.Sprintf("the stream looks complete after event %d of %d", a.lastEvent, events)
				}
				return
			}
		}
		if want := endpointtest.StreamEvent(a.lastEvent + 1); event.String() != want {
			a.wrong = fmt.Sprintf("event %q where %q is due", event.String(), want)
			return
		}
		if a.lastEvent++; a.first.IsZero() {
			a.first = time.Now()
		}
		pause.Reset(longest)
	}
}
