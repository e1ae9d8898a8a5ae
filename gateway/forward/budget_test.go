package forward

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against requests that pay for extra attempts at two VMs, or whose extra attempts no VM counts, because they go through another VM.
func TestRequestThroughOtherVMsIsCountedOnce(t *testing.T) {
	full := status(http.StatusServiceUnavailable, testNames.NotRun, "1")
	for name, play := range map[string]struct {
		path     string
		a, b     http.HandlerFunc // nil: not reached
		arrivals int64
	}{
		"no endpoint here":                     {"/safe/x", nil, events(1, 1, false), 1},
		"broken here":                          {"/safe/x", crash, events(1, 1, false), 2},
		"broken here and there":                {"/safe/x", crash, crash, 2},
		"full there, then through a third":     {"/safe/x", nil, full, 2},
		"no endpoint there, through a third":   {"/safe/x", nil, nil, 1},
		"broken here, no endpoint there":       {"/safe/x", crash, nil, 2},
		"stream broken there, through a third": {"/stream/x", nil, events(1, 1, true), 2},
	} {
		t.Run(name, func(t *testing.T) {
			vms := []*testEnv{newTestEnv(t, 1), newTestEnv(t, 1), newTestEnv(t, 3)}
			for i, h := range []http.HandlerFunc{play.a, play.b} {
				if h == nil {
					vms[i].cutOff()
				} else {
					vms[i].setHandlers(h)
				}
			}
			vms[2].setHandlers(events(1, 1, false))
			vms[0].detourTo(vms[1:]...)
			vms[0].send("POST", play.path, "body")
			var arrivals, firsts, extra int64
			for _, v := range vms {
				arrivals += v.totalRuns()
				firsts += v.budget.firsts.Load()
				extra += v.budget.extra.Load()
			}
			require.Equal(t, play.arrivals, arrivals)
			require.EqualValues(t, 1, firsts)
			require.Equal(t, arrivals-1, extra)
		})
	}
}

// Guards against extra attempts that are counted though no endpoint receives them, so that others are denied.
func TestExtraAttemptThatIsNotSentIsNotCounted(t *testing.T) {
	for name, play := range map[string]struct {
		path   string
		answer http.HandlerFunc
	}{
		"after a crash":      {"/safe/x", crash},
		"for a larger model": {"/sized/x", events(1, 1, false, testNames.Confidence, "5")},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t, 4)
			w.setHandlers(func(rw http.ResponseWriter, r *http.Request) {
				for _, e := range w.endpoints {
					e.server.Listener.Close()
				}
				play.answer(rw, r)
			})
			w.send("POST", play.path, "body", testNames.Model, "*")
			require.EqualValues(t, 1, w.totalRuns())
			require.Zero(t, w.budget.extra.Load())
		})
	}
}
