package vm

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"goldcrestfork/config"
	"goldcrestfork/router/refusal"
	"goldcrestfork/standin/backend"
	"goldcrestfork/standin/store"
)

const prompt = "how did the week go"

// One of two engines repeats, mixes up, omits or cuts frames. The caller must still get the
// complete text with its end marker: frames are matched by request and position, and a cut
// stream resumes at its position.
func TestAnswersAreCompleteDespiteFrameFaults(t *testing.T) {
	for name, faults := range map[string]backend.EngineFaults{
		"no fault":                              {},
		"frames doubled":                        {Double: true},
		"frames of another request interleaved": {Cross: true},
		"doubled and crossed":                   {Double: true, Cross: true},
		"frame omitted":                         {Skip: 3},
		"cut, the engine keeps the stream":      {CutAfter: 5, Cuts: 1},
		"cut, the engine forgets the stream":    {CutAfter: 5, Cuts: 1, Forget: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestbed(t, 2)
			w.engines[0].SetFaults(faults)
			for i := 0; i < 4 || w.engines[0].Stats().Started == 0; i++ {
				r := w.chat(bakerKey, "asistente", prompt, 20, i%2 == 0, nil)
				require.Equal(t, http.StatusOK, r.status, r.body)
				text, complete := r.text(t)
				require.True(t, complete, r.body)
				require.Equal(t, backend.Answer(prompt, 20), text)
			}
		})
	}
}

func TestRefusals(t *testing.T) {
	w := newTestbed(t, 1)
	for name, c := range map[string]struct {
		reply  reply
		status int
		code   refusal.Code
	}{
		"no key":              {w.send("GET", "/v1/models", "", nil, ""), 401, refusal.Unauthorized},
		"model not allowed":   {w.chat(clerkKey, v2, prompt, 4, false, nil), 403, refusal.ModelNotAllowed},
		"no model":            {w.chat(clerkKey, "", prompt, 4, false, nil), 400, refusal.BadRequest},
		"malformed JSON":      {w.send("POST", "/v1/chat/completions", bakerKey, nil, "{"), 400, refusal.BadRequest},
		"bad deadline":        {w.chat(bakerKey, v1, prompt, 4, false, map[string]string{"X-Deadline-Ms": "-1"}), 400, refusal.BadRequest},
		"service not allowed": {w.send("GET", "/v1/services/conector/till/1", clerkKey, nil, ""), 403, refusal.ServiceNotAllowed},
		"undeclared call":     {w.send("PUT", "/v1/services/conector/till/1", bakerKey, nil, ""), 404, refusal.CallNotDeclared},
		"no idempotency key":  {w.send("POST", "/v1/services/conector/refunds", bakerKey, nil, "{}"), 400, refusal.KeyRequired},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.status, c.reply.status, c.reply.body)
			p := c.reply.problem(t)
			require.Equal(t, c.code, p.Code)
			require.Equal(t, refusal.NotRun, p.Ran)
		})
	}
	require.Zero(t, w.engines[0].Stats().Started)
}

// refund sends one refund with an Idempotency-Key.
func (w *testbed) refund(key, body string, header map[string]string) reply {
	w.t.Helper()
	all := map[string]string{"Idempotency-Key": key}
	for k, v := range header {
		all[k] = v
	}
	return w.send(http.MethodPost, "/v1/services/conector/refunds", bakerKey, all, body)
}

// A client resends a refund because its answer was slow or lost. The refund must be booked
// once and the repeat must get the first answer: the claim is stored before any byte goes
// to the service.
func TestRefundIsBookedOnce(t *testing.T) {
	w := newTestbed(t, 0)
	first := w.refund("r-1", "12 EUR", nil)
	require.Equal(t, http.StatusOK, first.status, first.body)
	again := w.refund("r-1", "12 EUR", nil)
	require.Equal(t, http.StatusOK, again.status, again.body)
	require.Equal(t, first.body, again.body)
	require.Equal(t, "true", again.header.Get("X-Replayed"))

	other := w.refund("r-1", "99 EUR", nil)
	require.Equal(t, http.StatusUnprocessableEntity, other.status)
	require.Equal(t, refusal.KeyReused, other.problem(t).Code)
	require.Equal(t, []string{"12 EUR"}, w.service.Booked())
}

// A connection breaks after the service booked the refund and before its answer. The first
// request and each repeat must report an unknown outcome, and nothing may be booked again.
func TestLostAnswerIsUnknownAndNeverRunAgain(t *testing.T) {
	w := newTestbed(t, 0)
	w.service.SetFaults(backend.ServiceFaults{LoseReplies: 1})
	for range 3 {
		r := w.refund("r-2", "7 EUR", nil)
		p := r.problem(t)
		require.Equal(t, refusal.OutcomeUnknown, p.Code)
		require.Equal(t, refusal.Unknown, p.Ran)
	}
	require.Equal(t, []string{"7 EUR"}, w.service.Booked())
}

// While the store is down, a refund that was never sent must be refused as not run. The
// outcome of one that may have been sent must be reported as unknown: after a wrong "not
// run" the caller would book it elsewhere.
func TestStoreDownRefusalsReportOutcomeCorrectly(t *testing.T) {
	w := newTestbed(t, 0)
	require.Equal(t, http.StatusOK, w.refund("r-3", "5 EUR", nil).status)
	w.store.SetFaults(store.Faults{Down: true})
	require.Equal(t, http.StatusOK, w.refund("r-3", "5 EUR", nil).status, "answered from this VM's memory")
	r := w.refund("r-0", "5 EUR", nil)
	require.Equal(t, refusal.Unknown, r.problem(t).Ran, r.body)
	r = w.refund("r-4", "6 EUR", map[string]string{"X-Attempt": "1"})
	require.Equal(t, refusal.NotRun, r.problem(t).Ran, r.body)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	w.store.SetFaults(store.Faults{})
	require.Equal(t, []string{"5 EUR"}, w.service.Booked())
}

// When no endpoint can be reached, nothing was sent, so the refusal must be "not run" and
// the same key must be usable when the endpoint is back.
func TestUnreachedEndpointIsNotRun(t *testing.T) {
	w := newTestbed(t, 0)
	good := *w.vm.cache.Snapshot().Endpoints["conector-1"]
	bad := good
	bad.Address = closedAddress(t)
	w.put(&bad)
	r := w.refund("r-5", "8 EUR", nil)
	require.Equal(t, refusal.NotRun, r.problem(t).Ran, r.body)
	w.put(&good)
	r = w.refund("r-5", "8 EUR", nil)
	require.Equal(t, http.StatusOK, r.status, r.body)
	require.Equal(t, []string{"8 EUR"}, w.service.Booked())
}

// Both engines restart while the VM takes them for warm, and many requests arrive at once.
// Neither engine may run more requests than its one cold slot allows, and every caller must
// get its answer: a restart breaks the old connections, and the VM queries the engine's
// state on a new one before it sends a request.
func TestColdStartWithoutWarning(t *testing.T) {
	w := newTestbed(t, 2)
	for range 20 { // a tenth as many retries are allowed
		require.Equal(t, http.StatusOK, w.chat(bakerKey, v1, prompt, 4, false, nil).status)
	}
	for i := range w.engines {
		w.restart(i)
		w.engines[i].SetFaults(backend.EngineFaults{TokenDelay: time.Millisecond})
	}
	var callers sync.WaitGroup
	for range 20 {
		callers.Go(func() {
			r := w.chat(bakerKey, v1, prompt, 4, true, nil)
			assert.Equal(t, http.StatusOK, r.status, r.body)
			text, complete := r.text(t)
			assert.True(t, complete)
			assert.Equal(t, backend.Answer(prompt, 4), text)
		})
	}
	callers.Wait()
	for _, e := range w.engines {
		require.LessOrEqual(t, e.Stats().MaxCold, 1)
		require.Positive(t, e.Stats().MaxCold, "requests must have run during the cold start")
	}
}

// For an account with a quality target, a cheap answer rated above the target must be
// returned. One rated below must be discarded completely, and the caller must get the whole
// answer of the better version.
func TestCascade(t *testing.T) {
	for name, c := range map[string]struct {
		rating  float64
		version string
	}{
		"cheap answer good enough": {0.95, v1},
		"cheap answer poor":        {0.2, v2},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestbed(t, 1)
			w.rating.SetFaults(backend.RatingFaults{Ratings: map[string]float64{v1: c.rating}})
			for _, stream := range []bool{true, false} {
				r := w.chat(shopKey, "asistente", prompt, 6, stream, nil)
				require.Equal(t, http.StatusOK, r.status, r.body)
				require.Equal(t, c.version, r.header.Get("X-Model-Version"))
				text, complete := r.text(t)
				require.True(t, complete)
				require.Equal(t, backend.Answer(prompt, 6), text)
				require.NotContains(t, r.body, `"error"`)
			}
		})
	}
}

// A caller disconnects while the service runs its refund. The refund must complete and its
// answer be recorded: the caller's repeat must get it, and nothing may be booked twice.
func TestRefundIsRecordedAfterDisconnect(t *testing.T) {
	w := newTestbed(t, 0)
	w.service.SetFaults(backend.ServiceFaults{Hold: 2 * time.Second})
	ctx, disconnect := context.WithCancel(t.Context())
	left := make(chan struct{})
	go func() {
		defer close(left)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.vm.CallersAddress()+"/v1/services/conector/refunds", strings.NewReader("3 EUR"))
		assert.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+bakerKey)
		req.Header.Set("Idempotency-Key", "r-6")
		_, err = http.DefaultClient.Do(req)
		assert.Error(t, err)
	}()
	eventually(t, func() bool { return len(w.service.Booked()) == 1 })
	require.Equal(t, refusal.InProgress, w.refund("r-6", "3 EUR", nil).problem(t).Code)
	disconnect()
	<-left
	w.service.SetFaults(backend.ServiceFaults{})
	eventually(t, func() bool { return w.refund("r-6", "3 EUR", nil).status == http.StatusOK })
	require.Equal(t, []string{"3 EUR"}, w.service.Booked())
}

// A VM whose settings name a certificate for callers must serve HTTPS only, since plain HTTP
// would expose the accounts' keys.
func TestCallersOverTLS(t *testing.T) {
	w := newTestbed(t, 1)
	v, _ := w.startWith("vm-2", `, "certificate": "DIR/cert", "key": "DIR/key"`)
	w.waitInForce(v, w.vm.cache.Revision())
	roots := x509.NewCertPool()
	require.True(t, roots.AppendCertsFromPEM(w.certificates.CA))
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{
		// The test certificates name VMs, not addresses.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots})
			return err
		},
	}}}
	defer client.CloseIdleConnections()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "https://"+v.CallersAddress()+"/v1/models", nil)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+bakerKey)
	resp, err := client.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, http.StatusBadRequest, w.sendTo(v, http.MethodGet, "/v1/models", bakerKey, nil, "").status)
}

// Callers with short deadlines give up on a slow but sound service. If their timeouts counted
// as its failures, its only endpoint would be ejected or its circuit opened, and a caller
// with time left would be refused.
func TestCallerTimeoutsDoNotEjectEndpoint(t *testing.T) {
	w := newTestbed(t, 0)
	w.service.SetFaults(backend.ServiceFaults{Hold: time.Minute})
	for range 30 {
		r := w.send(http.MethodGet, "/v1/services/conector/till/7", bakerKey, map[string]string{"X-Deadline-Ms": "5"}, "")
		require.NotEqual(t, http.StatusOK, r.status)
	}
	w.service.SetFaults(backend.ServiceFaults{})
	r := w.send(http.MethodGet, "/v1/services/conector/till/7", bakerKey, nil, "")
	require.Equal(t, http.StatusOK, r.status, r.body)
}

// One of two service instances hangs. Repeatable look-ups of class immediate must all be
// answered by the other instance through hedging; a refund must not be repeated because it
// is slow.
func TestSlowLookupIsHedged(t *testing.T) {
	w := newTestbed(t, 0)
	healthy := backend.NewService()
	account := *w.vm.cache.Snapshot().Accounts["baker"]
	account.Class = config.ClassImmediate
	second := *w.vm.cache.Snapshot().Endpoints["conector-1"]
	second.Name, second.Address = "conector-2", w.serve(healthy.Handler())
	w.put(&account, &second)
	lookup := func() reply { return w.send(http.MethodGet, "/v1/services/conector/till/7", bakerKey, nil, "") }
	for range 200 {
		require.Equal(t, http.StatusOK, lookup().status)
	}
	w.service.SetFaults(backend.ServiceFaults{Hold: time.Hour})
	// After the fast look-ups the hedge budget holds eight; the loop uses about four of them.
	for before := w.service.Reads(); w.service.Reads() < before+4; {
		r := lookup()
		require.Equal(t, http.StatusOK, r.status, r.body)
	}
	w.service.SetFaults(backend.ServiceFaults{Hold: time.Second})
	for i := range 4 {
		require.Equal(t, http.StatusOK, w.refund(fmt.Sprint("slow-", i), "1 EUR", nil).status)
	}
	require.Len(t, append(w.service.Booked(), healthy.Booked()...), 4)
}
