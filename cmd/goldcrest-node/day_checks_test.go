package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"goldcrestfork/platform/endpointtest"
)

// overlapTolerance is how long an endpoint may go on with a request that has gone on elsewhere.
const overlapTolerance = 400 * time.Millisecond

// maxLogged bounds the cases whose log lines are written.
const maxLogged = 6

// check checks what callers got against what the endpoints ran.
func (d *day) check() (r dayReport) {
	r.Deployment, r.Seed = d.name, d.seed
	w := d.traffic
	w.mu.Lock()
	defer w.mu.Unlock()
	byAttempt := d.runs.ByAttempt()
	requests := make(map[string][]*dayAttempt)
	failed := make(map[string]bool)
	report := func(count *int, id, format string, args ...any) {
		if *count++; len(failed) < maxLogged {
			failed[id] = true
			d.t.Logf(id+": "+format, args...)
		}
	}
	for _, a := range w.attempts {
		requests[a.request] = append(requests[a.request], a)
		runs := byAttempt[a.id]
		if a.wrong != "" {
			report(&r.WrongAnswers, a.id, "%s", a.wrong)
		}
		if a.route.repeatable() {
			r.addOverlaps(d, a, runs, report)
			continue
		}
		if len(runs) > 1 {
			report(&r.RanTwice, a.id, "ran %d times, answered %d: %v", len(runs), a.status, runs)
		}
		switch a.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if len(runs) > 0 {
				report(&r.RefusedAndRan, a.id, "ran and was answered %d: %v", a.status, runs)
			}
		}
	}
	for _, attempts := range requests {
		r.addRequest(d, attempts, byAttempt, report)
	}
	for _, v := range d.vms {
		v.logLinesOf(d.t, failed)
	}
	return r
}

// reporter counts a case and logs it.
type reporter func(count *int, id, format string, args ...any)

// addOverlaps counts the runs of one attempt that overlap.
func (r *dayReport) addOverlaps(d *day, a *dayAttempt, runs []endpointtest.Run, report reporter) {
	if !a.route.streaming() {
		return
	}
	if len(runs) > 1 {
		r.Repeated++
	}
	for _, o := range endpointtest.Overlaps(runs, overlapTolerance) {
		r.Overlaps++
		d.addIfInTouch(&r.OverlapsInTouch, a.id, o, report)
	}
}

// addIfInTouch counts an overlap if neither the VM that sent the request to its first endpoint nor that endpoint was
// disturbed. The line on any other says what disturbed them.
func (d *day) addIfInTouch(count *int, id string, o endpointtest.Overlap, report reporter) {
	till := o.Second.Arrived.Add(overlapTolerance)
	disturbed := append(d.disturbedBy(o.First.Sender, o.Second.Arrived, till), d.disturbedBy(o.First.Endpoint, o.Second.Arrived, till)...)
	if stalled := d.stalledIn(o.Second.Arrived, till); o.Lasted-stalled <= overlapTolerance {
		disturbed = append(disturbed, fmt.Sprintf("this process didn't run for %s", stalled))
	}
	at := func(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(d.began).Seconds()) }
	text := fmt.Sprintf("%s worked on it for %s after it had come to %s; sent by %s at %s and by %s at %s, begun at %s, stopped at %s",
		o.First.Endpoint, o.Lasted, o.Second.Endpoint, o.First.Sender, at(o.First.Arrived), o.Second.Sender, at(o.Second.Arrived), at(o.First.Began), at(o.First.Stopped))
	if len(disturbed) == 0 {
		report(count, id, "%s", text)
		return
	}
	d.t.Logf("%s, disturbed (%s): %s", id, strings.Join(disturbed, ", "), text)
}

// answeredAfter returns the time from an attempt to the first event, or the whole answer, of the last one of the same request.
func (a *dayAttempt) answeredAfter(last *dayAttempt) time.Duration {
	if last.route.streaming() {
		return last.first.Sub(a.sent)
	}
	return last.ended.Sub(a.sent)
}

// addRequest counts a caller's request with all its attempts.
func (r *dayReport) addRequest(d *day, attempts []*dayAttempt, byAttempt map[string][]endpointtest.Run, report reporter) {
	last := attempts[len(attempts)-1]
	r.Requests++
	switch {
	case last.served():
		r.Served++
		if attempts[0].answeredAfter(last) <= last.route.target {
			r.InTime++
		}
	case last.status == http.StatusServiceUnavailable || last.status == http.StatusTooManyRequests:
		r.Refused++
	default:
		r.Failed++
	}
	ran := 0
	for i, a := range attempts {
		ran += len(byAttempt[a.id])
		if i == 0 || !a.route.streaming() {
			continue
		}
		// The runs of an attempt overlap those of the attempts before it.
		for _, before := range attempts[:i] {
			for _, first := range byAttempt[before.id] {
				for _, second := range byAttempt[a.id] {
					for _, o := range endpointtest.Overlaps([]endpointtest.Run{first, second}, overlapTolerance) {
						r.ResumedOverlaps++
						d.addIfInTouch(&r.ResumedOverlapsInTouch, a.id, o, report)
					}
				}
			}
		}
	}
	if !last.route.repeatable() {
		r.Bookings++
		if ran > 1 {
			r.RanTwiceForCaller++
			var statuses []string
			for _, a := range attempts {
				statuses = append(statuses, http.StatusText(a.status))
			}
			d.t.Logf("%s ran %d times for its caller: %s", last.request, ran, strings.Join(statuses, ", "))
		}
	}
}
