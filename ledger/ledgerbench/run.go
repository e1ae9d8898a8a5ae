package main

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"goldcrestfork/ledger"
	"goldcrestfork/standin/store"
)

// seed is the seed of the open load's random choices of a VM.
const seed = 20261202

// Bounds of the latency histogram, in microseconds.
const (
	latencyLowest  = 1
	latencyHighest = 60_000_000
	latencyDigits  = 3
)

// row holds the results of one run; rates are per second.
type row struct {
	requests, failed, puts, conflicts float64
	batch, overRate                   float64
	p50, p99                          time.Duration
	cpu                               time.Duration // processor time per decision, stand-in included
	cpuShare                          float64       // share of one core
	bytes                             float64       // bytes put to the store, per second
}

const header = "vms  mode              requests/s  failed/s  writes/s  conflicts/s  entries/write  p50 ms  p99 ms  KB/s put  cpu us/decision"

func (r row) print(vms int, name string) {
	fmt.Printf("%-4d %-17s %10.0f %9.0f %9.0f %12.0f %14.1f %7.1f %7.1f %9.0f %16.1f\n",
		vms, name, r.requests, r.failed, r.puts, r.conflicts, r.batch,
		ms(r.p50), ms(r.p99), r.bytes/1000, float64(r.cpu.Nanoseconds())/1000)
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// median returns the run with the median of requests per second.
func median(runs int, measure func() row) row {
	var rows []row
	for range runs {
		rows = append(rows, measure())
	}
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.requests, b.requests) })
	return rows[len(rows)/2]
}

// meter records the results and latencies of requests.
type meter struct {
	done, failed atomic.Int64
	mu           sync.Mutex
	latency      *hdrhistogram.Histogram // microseconds
}

func newMeter() *meter {
	return &meter{latency: hdrhistogram.New(latencyLowest, latencyHighest, latencyDigits)}
}

// retryAfter is the wait of a closed loop's caller after a refusal.
const retryAfter = 250 * time.Millisecond

// request claims and finishes one request and reports success. The recorded latency is that of
// the claim, because a caller only waits for the claim before its request runs.
func (m *meter) request(c *ledger.Claims, id string) (ok bool) {
	ctx := context.Background()
	begun := time.Now()
	start, err := c.Begin(ctx, ledger.ClaimKey{Account: "bench", IdempotencyKey: id}, 1)
	took := time.Since(begun)
	if err != nil || start.Ticket == nil {
		m.failed.Add(1)
		return false
	}
	m.mu.Lock()
	_ = m.latency.RecordValue(took.Microseconds())
	m.mu.Unlock()
	if c.Finish(ctx, start.Ticket, ledger.Outcome{Known: true, Status: 201, Answer: []byte(bookingAnswer)}) != nil {
		m.failed.Add(1)
		return false
	}
	m.done.Add(1)
	return true
}

// bookingAnswer has the length of a booking's answer.
const bookingAnswer = `{"order":"wo-2026-118234","plot":"floresti-0412","state":"booked","crew":"c-07","slot":"2026-12-03T07:30"}`

// measure runs load for d and returns the results.
func (f *fleet) measure(d time.Duration, load func(m *meter, claims []*ledger.Claims, stop <-chan struct{})) row {
	var claims []*ledger.Claims
	for _, name := range f.names {
		claims = append(claims, ledger.NewClaims(f.ledgers[name], nil))
	}
	m := newMeter()
	stop := make(chan struct{})
	time.AfterFunc(d, func() { close(stop) })
	before, cpuBefore := f.store.Counts(), cpuTime()
	begun := time.Now()
	load(m, claims, stop)
	took := time.Since(begun).Seconds()
	cpu := cpuTime() - cpuBefore
	f.waitIdle(claims)
	return f.newRow(m, before, cpu, took)
}

func (f *fleet) waitIdle(claims []*ledger.Claims) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, c := range claims {
		c.Close(ctx)
	}
	for _, l := range f.ledgers {
		l.Wait()
	}
}

func (f *fleet) newRow(m *meter, before store.Counts, cpu time.Duration, seconds float64) row {
	after := f.store.Counts()
	written := f.counterTotal("goldcrest_ledger_writes_total", "result", "ok")
	decisions := 2 * float64(m.done.Load())
	return row{
		requests:  float64(m.done.Load()) / seconds,
		failed:    float64(m.failed.Load()) / seconds,
		puts:      float64(after.Writes()-before.Writes()) / seconds,
		conflicts: float64(after.Conflicts-before.Conflicts) / seconds,
		overRate:  float64(after.OverRate-before.OverRate) / seconds,
		batch:     f.counterTotal("goldcrest_ledger_batch_entries", "", "") / max(1, written),
		p50:       time.Duration(m.latency.ValueAtQuantile(50)) * time.Microsecond,
		p99:       time.Duration(m.latency.ValueAtQuantile(99)) * time.Microsecond,
		cpu:       time.Duration(float64(cpu) / max(1, decisions)),
		cpuShare:  cpu.Seconds() / seconds,
		bytes:     float64(after.PutBytes-before.PutBytes) / seconds,
	}
}

// closedLoop returns a load of callers that each send their next request after the previous
// answer.
func closedLoop(callers int) func(*meter, []*ledger.Claims, <-chan struct{}) {
	return func(m *meter, claims []*ledger.Claims, stop <-chan struct{}) {
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() {
				for n := 0; !stopped(stop); n++ {
					if !m.request(claims[i%len(claims)], strconv.Itoa(i)+"/"+strconv.Itoa(n)) {
						time.Sleep(retryAfter)
					}
				}
			})
		}
		wg.Wait()
	}
}

// openLoop returns a load of perSecond requests per second, independent of their answers.
func openLoop(perSecond int) func(*meter, []*ledger.Claims, <-chan struct{}) {
	return func(m *meter, claims []*ledger.Claims, stop <-chan struct{}) {
		var wg sync.WaitGroup
		choose := rand.New(rand.NewPCG(seed, 0))
		begun := time.Now()
		for n := 0; !stopped(stop); n++ {
			time.Sleep(time.Until(begun.Add(time.Duration(n) * time.Second / time.Duration(perSecond))))
			c := claims[choose.IntN(len(claims))]
			wg.Go(func() { m.request(c, strconv.Itoa(n)) })
		}
		wg.Wait()
	}
}

func stopped(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

// cpuTime returns the processor time that this process has used, stand-in included.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
