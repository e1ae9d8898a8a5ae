package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"goldcrestfork/platform"
)

const (
	// soakResting is the endpoint that refuses requests and asks for soakRest.
	soakResting = "e2"
	soakRest    = 2 * time.Second
	// restKnown is the time after a refusal from which a VM must keep to the rest, and
	// maxDuringRest the most requests that it may send then.
	restKnown     = 500 * time.Millisecond
	maxDuringRest = 2
)

// restRecord records the requests at an endpoint that asks for rest, by VM.
type restRecord struct {
	mu       sync.Mutex
	askedAt  map[int][]askedRest // by VM
	arrivals map[int][]time.Time
	excused  map[int][][2]time.Time // times in which a VM had a fault
}

// askedRest is a refusal that asked for rest.
type askedRest struct {
	at      time.Time
	request string
}

func newRestRecord() *restRecord {
	return &restRecord{askedAt: make(map[int][]askedRest), arrivals: make(map[int][]time.Time), excused: make(map[int][][2]time.Time)}
}

func (r *restRecord) arrive(vm int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[vm] = append(r.arrivals[vm], time.Now())
}

// ask writes a refusal that asks for rest.
func (r *restRecord) ask(rw http.ResponseWriter, vm int, request string) {
	rw.Header().Set(platform.Names().NotRun, "1")
	rw.Header().Set(platform.Names().Rest, fmt.Sprint(soakRest.Seconds()))
	rw.WriteHeader(http.StatusServiceUnavailable)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.askedAt[vm] = append(r.askedAt[vm], askedRest{time.Now(), request})
}

// excuse makes the rests of a VM not count that overlap the time until over is called.
func (r *restRecord) excuse(vm int) (over func()) {
	from := time.Now()
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.excused[vm] = append(r.excused[vm], [2]time.Time{from, time.Now()})
	}
}

// violations returns the rests in which the endpoint got more requests from a VM than allowed.
func (r *restRecord) violations() (out []string, rests int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for vm, list := range r.askedAt {
		for _, asked := range list {
			from, to := asked.at.Add(restKnown), asked.at.Add(soakRest)
			excused := false
			for _, fault := range r.excused[vm] {
				excused = excused || fault[0].Before(to) && fault[1].After(asked.at)
			}
			if excused {
				continue
			}
			rests++
			n := 0
			for _, at := range r.arrivals[vm] {
				if at.After(from) && at.Before(to) {
					n++
				}
			}
			if n > maxDuringRest {
				out = append(out, fmt.Sprintf("%s got %d requests from VM %d during a rest, asked for with the answer to %s", soakResting, n, vm, asked.request))
			}
		}
	}
	return out, rests
}
