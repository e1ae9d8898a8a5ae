package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"goldcrestfork/platform"
)

const (
	// soakLimited is the endpoint that states a request limit while faults are injected.
	soakLimited = "e3"
	// limitContact is the time after a fault of a VM in which its requests don't count.
	limitContact = 3 * time.Second
	// limitKnown is the time after an answer with the limit from which the VM must keep to it.
	limitKnown = 500 * time.Millisecond
)

// limitRecord records the requests at an endpoint with a request limit, by VM.
type limitRecord struct {
	limit float64 // requests a second

	mu           sync.Mutex
	stated       bool              // whether answers state the limit now
	knownSince   map[int]time.Time // by VM; when an answer with the limit was complete
	excusedUntil map[int]time.Time // by VM
	counted      []time.Time       // arrivals of requests of VMs that know the limit
}

func newLimitRecord(seed uint64) *limitRecord {
	return &limitRecord{limit: 0.5 + float64(seed%7), stated: true, knownSince: make(map[int]time.Time), excusedUntil: make(map[int]time.Time)}
}

// arrive records a request and returns a function that must be called once its answer is complete.
func (l *limitRecord) arrive(rw http.ResponseWriter, vm int) (answered func()) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	since, known := l.knownSince[vm]
	if known && now.Sub(since) > limitKnown && now.After(l.excusedUntil[vm]) {
		l.counted = append(l.counted, now)
	}
	if !l.stated {
		return func() {}
	}
	rw.Header().Set(platform.Names().RateLimit, strconv.FormatFloat(l.limit, 'f', -1, 64))
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if _, ok := l.knownSince[vm]; !ok {
			l.knownSince[vm] = time.Now()
		}
	}
}

// excuse makes the requests of a VM not count until limitContact after the returned function is
// called. A process that has ended knows no limit.
func (l *limitRecord) excuse(vm int, ended bool) (over func()) {
	set := func(until time.Time) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if until.After(l.excusedUntil[vm]) {
			l.excusedUntil[vm] = until
		}
		if ended {
			delete(l.knownSince, vm)
		}
	}
	set(time.Now().Add(time.Hour))
	return func() {
		l.mu.Lock()
		delete(l.excusedUntil, vm)
		l.mu.Unlock()
		set(time.Now().Add(limitContact))
	}
}

// end ends the limit.
func (l *limitRecord) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stated = false
	clear(l.knownSince)
}

// violations returns the windows in which the endpoint got more requests than its limit allows.
func (l *limitRecord) violations() (out []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, from := range l.counted {
		n := 0
		for _, at := range l.counted[i:] {
			if at.Sub(from) < limitWindow {
				n++
			}
		}
		if n > allowedInWindow(l.limit) {
			out = append(out, fmt.Sprintf("%s got %d requests in 4 s, with a limit of %v a second", soakLimited, n, l.limit))
		}
	}
	return out
}
