package vm

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/config"
	"goldcrestfork/standin/backend"
)

// newBenchTestbed starts a VM with one engine that has many slots.
func newBenchTestbed(b *testing.B) *testbed {
	w := newTestbed(b, 1)
	e := *w.vm.cache.Snapshot().Endpoints["runner-0"]
	e.Slots = 2000
	w.put(&e)
	return w
}

// urls returns the URLs of the same engine, called directly and through the VM.
func (w *testbed) urls() map[string]string {
	return map[string]string{
		"direct": "http://" + w.vm.cache.Snapshot().Endpoints["runner-0"].Address + chatPath,
		"routed": "http://" + w.vm.CallersAddress() + chatPath,
	}
}

// post sends a completion for n tokens and returns the open response.
func post(b *testing.B, url string, n int) *http.Response {
	body := chatBody(b, v1, prompt, n, true)
	req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url, strings.NewReader(body))
	require.NoError(b, err)
	req.Header.Set("Authorization", "Bearer "+bakerKey)
	req.Header.Set("X-Model-Version", v1)
	req.Header.Set("X-Request-Id", "bench")
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(b, err)
	require.Equal(b, http.StatusOK, resp.StatusCode)
	return resp
}

func discardBody(b *testing.B, resp *http.Response) {
	_, err := io.Copy(io.Discard, resp.Body)
	require.NoError(b, err)
	require.NoError(b, resp.Body.Close())
}

// BenchmarkRequest measures sequential requests of one token. The difference between the
// two runs is the time that the router adds.
func BenchmarkRequest(b *testing.B) {
	w := newBenchTestbed(b)
	for _, way := range []string{"direct", "routed"} {
		b.Run(way, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				discardBody(b, post(b, w.urls()[way], 1))
			}
		})
	}
}

// BenchmarkRequestsPerCore measures concurrent requests, stand-in and client included.
func BenchmarkRequestsPerCore(b *testing.B) {
	w := newBenchTestbed(b)
	for _, way := range []string{"direct", "routed"} {
		b.Run(way, func(b *testing.B) {
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					discardBody(b, post(b, w.urls()[way], 1))
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds()/float64(runtime.GOMAXPROCS(0)), "requests/s/core")
		})
	}
}

// BenchmarkToken measures one stream of many tokens.
func BenchmarkToken(b *testing.B) {
	const tokens = 1000
	w := newBenchTestbed(b)
	for _, way := range []string{"direct", "routed"} {
		b.Run(way, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				discardBody(b, post(b, w.urls()[way], tokens))
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/tokens, "µs/token")
		})
	}
}

// BenchmarkOpenStreams measures the memory of 1000 open streams. Both runs include the
// memory of the stand-in and the client, so the difference between them is the router's.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 1000
	w := newBenchTestbed(b)
	account := *w.vm.cache.Snapshot().Accounts["baker"]
	account.Class = config.ClassImmediate
	w.put(&account)
	w.engines[0].SetFaults(backend.EngineFaults{TokenDelay: 300 * time.Millisecond})
	for _, way := range []string{"direct", "routed"} {
		b.Run(way, func(b *testing.B) {
			for b.Loop() {
				before := memoryInUse()
				open := make([]*http.Response, streams)
				var opening sync.WaitGroup
				for i := range open {
					opening.Go(func() { open[i] = post(b, w.urls()[way], 1000) })
				}
				opening.Wait()
				b.ReportMetric(float64(memoryInUse()-before)/streams/1024, "KB/stream")
				for _, resp := range open {
					_ = resp.Body.Close()
				}
				eventually(b, func() bool { return w.vm.entry.Running() == 0 })
			}
		})
	}
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
