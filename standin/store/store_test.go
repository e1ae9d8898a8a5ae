package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/durable"
	"goldcrestfork/durable/httpstore"
	"goldcrestfork/durable/storetest"
	"goldcrestfork/standin/store"
)

// faults implements the faults of package storetest with those of the stand-in.
type faults struct{ *store.Store }

func (f faults) SetOutage(down bool)      { f.SetFaults(store.Faults{Down: down}) }
func (f faults) HoldWrite()               { f.SetFaults(store.Faults{HoldWrites: 1}) }
func (f faults) LoseHistory()             { f.SetFaults(store.Faults{HistoryLost: true}) }
func (f faults) SetDelay(d time.Duration) { f.SetFaults(store.Faults{Delay: d}) }
func (f faults) LoseReply(effect bool) {
	if effect {
		f.SetFaults(store.Faults{LoseReplies: 1})
		return
	}
	f.SetFaults(store.Faults{RefuseWrites: 1})
}

func TestContractInMemory(t *testing.T) {
	storetest.Run(t, func(*testing.T) storetest.Fixture {
		s := store.New()
		return storetest.Fixture{Store: s, Faults: faults{s}}
	})
}

func TestContractOverHTTP(t *testing.T) {
	storetest.Run(t, func(t *testing.T) storetest.Fixture {
		s := store.New()
		return storetest.Fixture{Store: serve(t, store.Handler(s)), Faults: faults{s}}
	})
}

func serve(t *testing.T, h http.Handler) *httpstore.Client {
	t.Helper()
	server := httptest.NewServer(h)
	client := httpstore.New(server.URL)
	t.Cleanup(func() {
		client.CloseIdle()
		server.CloseClientConnections()
		server.Close()
	})
	return client
}

// Guards against a client that takes a failed write for one without effect. Only 429
// and 503, by which the platform refuses a call beforehand, and the statuses of the client's
// own errors prove that the write had no effect; after any other status it is unknown.
func TestWriteStatuses(t *testing.T) {
	for _, c := range []struct {
		status int
		want   error
	}{
		{http.StatusTooManyRequests, durable.ErrUnavailable},
		{http.StatusTooManyRequests, durable.ErrOverRate},
		{http.StatusServiceUnavailable, durable.ErrUnavailable},
		{http.StatusForbidden, durable.ErrUnavailable},
		{http.StatusInternalServerError, durable.ErrUnknown},
		{http.StatusBadGateway, durable.ErrUnknown},
		{http.StatusGatewayTimeout, durable.ErrUnknown},
		{http.StatusRequestEntityTooLarge, durable.ErrTooLarge},
		{http.StatusOK, durable.ErrUnknown},                 // without an entity tag
		{http.StatusPreconditionFailed, durable.ErrUnknown}, // without the current version
	} {
		client := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
		}))
		_, err := client.Put(t.Context(), durable.Key{Kind: "k", Name: "n"}, nil, 1)
		require.ErrorIs(t, err, c.want, c.status)
	}
}

// Guards against confusing two broken connections: a refused connection sent no byte, so the
// write had no effect; if the reply is cut off, the write may have taken effect.
func TestWriteConnections(t *testing.T) {
	key := durable.Key{Kind: "k", Name: "n"}
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	_, err := httpstore.New(server.URL).Put(t.Context(), key, nil, 1)
	require.ErrorIs(t, err, durable.ErrUnavailable)
	require.NotErrorIs(t, err, durable.ErrUnknown)

	cut := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("ETag", httpstore.FormatETag(5))
		w.Header().Set("Content-Length", "100")
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = w.Write([]byte("part"))
	}))
	_, err = cut.Put(t.Context(), key, nil, 1)
	require.ErrorIs(t, err, durable.ErrUnknown)
	require.NotErrorIs(t, err, durable.ErrUnavailable)
}

// The limit of writes must refuse a second write within a tenth of a second, but no read.
func TestRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		s.SetRateLimits(10, 20)
		key := durable.Key{Kind: "k", Name: "n"}
		o, err := s.Put(t.Context(), key, nil, 0)
		require.NoError(t, err)
		_, err = s.Put(t.Context(), key, nil, o.Version)
		require.ErrorIs(t, err, durable.ErrOverRate)
		_, err = s.Get(t.Context(), key)
		require.NoError(t, err, "reads have a limit of their own")
		time.Sleep(100 * time.Millisecond)
		_, err = s.Put(t.Context(), key, nil, o.Version)
		require.NoError(t, err)
		require.Equal(t, 1, s.Counts().OverRate)
	})
}

// The list of VMs must show each change after the lag and not before, in the order of ids.
func TestVMListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lag = 3 * time.Second
		s := store.New()
		s.SetVMLag(lag)
		requireVMs := func(ids ...string) {
			t.Helper()
			rows, err := s.VMs(t.Context())
			require.NoError(t, err)
			require.Len(t, rows, len(ids))
			for i, row := range rows {
				require.Equal(t, ids[i], row.ID)
			}
		}
		s.Register(durable.VM{ID: "b"})
		time.Sleep(time.Second)
		s.Register(durable.VM{ID: "a"})
		requireVMs()
		time.Sleep(2 * time.Second)
		requireVMs("b")
		s.Deregister("b")
		time.Sleep(time.Second)
		requireVMs("a", "b")
		time.Sleep(2 * time.Second)
		requireVMs("a")
	})
}

// Separate processes register VMs, set faults and read the counts over HTTP.
func TestHandlerExtras(t *testing.T) {
	s := store.New()
	h := store.Handler(s)
	do := func(method, path, body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		req := httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body))
		h.ServeHTTP(w, req)
		return w
	}
	require.Equal(t, http.StatusNoContent, do("PUT", "/vms/vm-1", `{"address":"192.0.2.1:7"}`).Code)
	require.Contains(t, do("GET", "/vms", "").Body.String(), "192.0.2.1:7")
	require.Equal(t, http.StatusNoContent, do("DELETE", "/vms/vm-1", "").Code)
	require.Equal(t, "[]\n", do("GET", "/vms", "").Body.String())
	require.Equal(t, http.StatusNoContent, do("POST", "/faults", `{"down":true}`).Code)
	require.Equal(t, http.StatusServiceUnavailable, do("GET", "/objects/k/n", "").Code)
	require.Equal(t, http.StatusBadRequest, do("POST", "/faults", `{"delay":"soon"}`).Code)
	require.Equal(t, http.StatusBadRequest, do("PUT", "/objects/k/n", "x").Code)
	require.Contains(t, do("GET", "/counts", "").Body.String(), `"Gets":1`)
	s.SetFaults(store.Faults{})
	s.SetRateLimits(0, 0.001)
	do("GET", "/objects/k/n", "")
	over := do("GET", "/objects/k/n", "")
	require.Equal(t, http.StatusTooManyRequests, over.Code)
	require.NotEmpty(t, over.Header().Get("Retry-After"))
}
