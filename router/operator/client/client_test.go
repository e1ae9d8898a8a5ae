package client_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"goldcrestfork/config"
	"goldcrestfork/router/operator"
	"goldcrestfork/router/operator/client"
	"goldcrestfork/standin/store"
)

// serveVM serves the API of one VM. While lose is positive, it applies a change, drops the
// answer and decrements lose.
func serveVM(t *testing.T, s *store.Store, lose *atomic.Int32) string {
	cache := config.NewCache(config.Options{Store: s})
	sum := sha256.Sum256([]byte("key"))
	h := operator.New(operator.Options{Configuration: cache, Editor: config.NewEditor(s, cache), KeyHashes: []string{hex.EncodeToString(sum[:])}})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet || lose.Load() == 0 {
			h.ServeHTTP(w, r)
			return
		}
		lose.Add(-1)
		h.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// unreachableVM returns the URL of a VM without a listener.
func unreachableVM(t *testing.T) string {
	server := httptest.NewServer(nil)
	server.Close()
	return server.URL
}

// Each answer to a change is lost on two VMs, and the first VM in the list is unreachable.
// The operator must see one success, and the platform must accept one change although it
// was sent four times.
func TestChangeIsMadeOnceOverLostAnswers(t *testing.T) {
	s := store.New()
	var lose atomic.Int32
	lose.Store(3)
	c := client.Client{VMs: []string{unreachableVM(t), serveVM(t, s, &lose), serveVM(t, s, &lose)}, Key: "key", HTTP: http.DefaultClient}
	body := []byte(`{"kind":"data-centre","name":"norte-a","region":"norte","state":"in"}`)
	a, err := c.Do(t.Context(), client.Change{Method: http.MethodPut, Path: "/v1/data-centre/norte-a", Body: body})
	require.NoError(t, err)
	require.EqualValues(t, 1, a.Revision)
	require.Zero(t, lose.Load())
	require.Equal(t, 1, s.Counts().Puts)
}

// If all answers to a change are lost, the operator must not be told that it was not applied.
func TestLostAnswersEndInUnknown(t *testing.T) {
	s := store.New()
	var lose atomic.Int32
	lose.Store(1 << 30)
	url := serveVM(t, s, &lose)
	ctx, cancel := context.WithCancel(t.Context())
	counting := &http.Client{Transport: cancelAfter{2, new(int), cancel}}
	c := client.Client{VMs: []string{url}, Key: "key", HTTP: counting}
	_, err := c.Do(ctx, client.Change{Method: http.MethodPost, Path: "/v1/data-centre/norte-a/drain"})
	require.ErrorIs(t, err, client.ErrOutcomeUnknown)
	require.ErrorContains(t, err, "--change-id")
}

// cancelAfter cancels the context after the given number of changes.
type cancelAfter struct {
	limit  int
	seen   *int
	cancel context.CancelFunc
}

func (c cancelAfter) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := http.DefaultTransport.RoundTrip(r)
	if r.Method != http.MethodGet {
		if *c.seen++; *c.seen == c.limit {
			c.cancel()
		}
	}
	return response, err
}

// With all VMs unreachable or the platform down, a change was certainly not applied. The
// operator must be told so at once.
func TestChangeKnownNotMadeIsNotUnknown(t *testing.T) {
	c := client.Client{VMs: []string{unreachableVM(t), unreachableVM(t)}, Key: "key", HTTP: http.DefaultClient}
	change := client.Change{Method: http.MethodPost, Path: "/v1/data-centre/norte-a/drain"}
	_, err := c.Do(t.Context(), change)
	require.ErrorIs(t, err, client.ErrUnreachable)

	s := store.New()
	s.SetFaults(store.Faults{Down: true})
	c.VMs = append(c.VMs, serveVM(t, s, new(atomic.Int32)))
	_, err = c.Do(t.Context(), change)
	var p *operator.Problem
	require.ErrorAs(t, err, &p)
	require.Equal(t, operator.AcceptedNo, p.Accepted)
}
