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

// vm serves one VM's API; lose makes it drop that many answers to changes after their effect.
func vm(t *testing.T, s *store.Store, lose *atomic.Int32) string {
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

// gone is a VM that was replaced: nobody listens there any more.
func gone(t *testing.T) string {
	server := httptest.NewServer(nil)
	server.Close()
	return server.URL
}

// The operator's change takes effect and each answer to it is lost, on two VMs;
// the first VM named is gone. The operator sees one success, and the platform
// has accepted one change, although it was sent four times.
func TestChangeIsMadeOnceOverLostAnswers(t *testing.T) {
	s := store.New()
	var lose atomic.Int32
	lose.Store(3)
	c := client.Client{VMs: []string{gone(t), vm(t, s, &lose), vm(t, s, &lose)}, Key: "key", HTTP: http.DefaultClient}
	body := []byte(`{"kind":"data-centre","name":"norte-a","region":"norte","state":"in"}`)
	a, err := c.Do(t.Context(), client.Change{Method: http.MethodPut, Path: "/v1/data-centre/norte-a", Body: body})
	require.NoError(t, err)
	require.EqualValues(t, 1, a.Revision)
	require.Zero(t, lose.Load())
	require.Equal(t, 1, s.Counts().Puts)
}

// Answers are lost for good. The operator must not read that nothing happened.
func TestLostAnswersEndInUnknown(t *testing.T) {
	s := store.New()
	var lose atomic.Int32
	lose.Store(1 << 30)
	url := vm(t, s, &lose)
	ctx, cancel := context.WithCancel(t.Context())
	counting := &http.Client{Transport: cancelAfter{2, new(int), cancel}}
	c := client.Client{VMs: []string{url}, Key: "key", HTTP: counting}
	_, err := c.Do(ctx, client.Change{Method: http.MethodPost, Path: "/v1/data-centre/norte-a/drain"})
	require.ErrorIs(t, err, client.ErrUnknown)
	require.ErrorContains(t, err, "--change-id")
}

// cancelAfter ends the operator's patience after so many changes.
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

// With no VM up, or the platform down, the change was certainly not made, and the
// operator is told so at once.
func TestCertainRefusals(t *testing.T) {
	c := client.Client{VMs: []string{gone(t), gone(t)}, Key: "key", HTTP: http.DefaultClient}
	change := client.Change{Method: http.MethodPost, Path: "/v1/data-centre/norte-a/drain"}
	_, err := c.Do(t.Context(), change)
	require.ErrorIs(t, err, client.ErrUnreachable)

	s := store.New()
	s.SetFaults(store.Faults{Down: true})
	c.VMs = append(c.VMs, vm(t, s, new(atomic.Int32)))
	_, err = c.Do(t.Context(), change)
	var p *operator.Problem
	require.ErrorAs(t, err, &p)
	require.Equal(t, operator.AcceptedNo, p.Accepted)
}
