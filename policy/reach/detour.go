package reach

import (
	"maps"
	"sync"
	"time"
)

// Request is what a request of a caller has met so far.
type Request struct {
	// Failed is the number of endpoints that took no connection or ended one without an answer, and
	// FirstFailed when the request met the first of them.
	Failed      int
	FirstFailed time.Time
	// TimedOut says that one of them didn't answer at all.
	TimedOut bool
	// NoneLeft says that this VM can connect to none of the endpoints that may run the request.
	NoneLeft bool
}

// maxFailed is the number of endpoints that a request tries in a row before it leaves by another VM.
// One that refuses connections has crashed, mostly.
const maxFailed = 2

// NeedsDetour decides whether a request goes through another VM. An endpoint that doesn't answer at
// all takes as long as a caller with little time waits, so that one is enough unless others answered
// meanwhile.
func (t *Tracker) NeedsDetour(r Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost || r.NoneLeft {
		return true
	}
	if r.Failed == 0 || t.receivedAt.After(r.FirstFailed) {
		return false
	}
	return r.TimedOut || r.Failed >= maxFailed
}

const (
	// vmPause is how long a VM gets no requests of this one after it gave no answer, or said that it
	// reaches no endpoint either.
	vmPause = time.Second
	// servicePause is how long no request of a service goes through another VM after several of them
	// reached none of its endpoints: those are down for all.
	servicePause = 500 * time.Millisecond
)

// MaxDetours bounds the VMs that one request is sent to.
const MaxDetours = 3

// Detours holds which VMs and services are left out of detours. It is safe for concurrent use.
type Detours struct {
	mu       sync.Mutex
	vms      map[string]time.Time // name → end of its pause
	services map[string]time.Time
}

// NewDetours returns Detours without pauses.
func NewDetours() *Detours {
	return &Detours{vms: make(map[string]time.Time), services: make(map[string]time.Time)}
}

// MayUse reports whether requests may go through a VM.
func (d *Detours) MayUse(now time.Time, vm string) bool { return d.ended(now, d.vms, vm) }

// MayServe reports whether requests for a service may go through other VMs.
func (d *Detours) MayServe(now time.Time, service string) bool {
	return d.ended(now, d.services, service)
}

func (d *Detours) ended(now time.Time, pauses map[string]time.Time, name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !now.Before(pauses[name])
}

// Unusable records that a VM gave no answer or reaches no endpoint either.
func (d *Detours) Unusable(now time.Time, vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pause(now, d.vms, vm, vmPause)
}

// Down records that the VMs which one request was sent to reached no endpoint of its service.
func (d *Detours) Down(now time.Time, service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pause(now, d.services, service, servicePause)
}

// pause starts a pause and forgets those that are over, since VMs and services come and go.
func pause(now time.Time, pauses map[string]time.Time, name string, length time.Duration) {
	maps.DeleteFunc(pauses, func(_ string, until time.Time) bool { return !now.Before(until) })
	pauses[name] = now.Add(length)
}
