package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
)

// valueOf returns the value of a counter.
func valueOf(t *testing.T, c prometheus.Collector) float64 {
	r := prometheus.NewRegistry()
	require.NoError(t, r.Register(c))
	families, err := r.Gather()
	require.NoError(t, err)
	return families[0].GetMetric()[0].GetCounter().GetValue()
}

// Guards against a load header that is dropped since it has four figures, and one that is malformed, or has more figures than known, and is taken for a load.
func TestLoadHeader(t *testing.T) {
	for stated, want := range map[string]endpointLoad{
		"3,1,16":                   {running: 3, waiting: 1, slots: 16},
		" 3, 1,16 , 250":           {running: 3, waiting: 1, slots: 16, slowdown: 250},
		"0,0,0":                    {},
		"":                         {},
		"3,1":                      {},
		"3,1,16,250,7":             {},
		"3,1,16,":                  {},
		"3,1,16,0":                 {},
		"3,1,16,-5":                {},
		"-3,1,16":                  {},
		"3,x,16":                   {},
		"3,1,1.5":                  {},
		"3,1,16,2.5":               {},
		"3,1,16,1e3":               {},
		"3,1,99999999999999999999": {},
	} {
		got, ok := parseLoadHeader(stated)
		require.Equal(t, want, got, stated)
		require.Equal(t, want != endpointLoad{} || stated == "0,0,0", ok, stated)
	}
}

// Guards against a stated slowdown that isn't recorded, and a malformed load header that isn't counted.
func TestSlowdownIsRecorded(t *testing.T) {
	w := newTestEnv(t, 1)
	head := "1,0,8"
	w.setHandlers(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(testNames.Load, head)
		answerOK(rw, r)
	})
	counted := w.handler.cfg.Metrics.malformedLoad
	require.Equal(t, http.StatusOK, w.send(http.MethodGet, "/safe/a", "").status)
	require.False(t, w.table.Managed("s"))
	require.Zero(t, valueOf(t, counted))
	head = "1,0,8,250,1"
	require.Equal(t, http.StatusOK, w.send(http.MethodGet, "/safe/a", "").status)
	require.False(t, w.table.Managed("s"))
	require.Equal(t, 1.0, valueOf(t, counted))
	head = "1,0,8,800"
	require.Equal(t, http.StatusOK, w.send(http.MethodGet, "/safe/a", "").status)
	require.True(t, w.table.Managed("s"))
	require.Len(t, w.table.Rows(time.Now()), 1)
	require.Equal(t, 1.0, valueOf(t, counted))
}

// Guards against answers that say nothing of their endpoint's speed, and refusals that do.
func TestAnswersAreMeasured(t *testing.T) {
	for name, c := range map[string]struct {
		path, parts string
		answer      http.HandlerFunc
		measured    int
	}{
		"whole answers": {"/safe/a", "", answerOK, 1},
		"first events":  {"/stream/a", "a:40000", events(1, 1, false), 1},
		"pauses":        {"/stream/a", "", events(1, 8, false), 1},
		"refusals":      {"/stream/a", "a:40000", status(http.StatusServiceUnavailable, testNames.NotRun, "1"), 0},
		"plain refusal": {"/safe/a", "", status(http.StatusServiceUnavailable, testNames.NotRun, "1"), 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t, 1)
			w.table.SetAllManaged()
			w.setHandlers(c.answer)
			for range 8 {
				w.send(http.MethodGet, c.path, "", testNames.PromptParts, c.parts)
			}
			require.Len(t, w.table.Paces(time.Now()), c.measured)
		})
	}
}
