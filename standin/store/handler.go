package store

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/alexedwards/flow"

	"goldcrestfork/durable"
	"goldcrestfork/durable/httpstore"
)

// FaultOrder is the body of POST /faults; it replaces the faults in force.
type FaultOrder struct {
	Down bool `json:"down"`
	// Delay of each call, in Go's notation ("3ms").
	Delay        string `json:"delay"`
	LoseReplies  int    `json:"lose_replies"`
	RefuseWrites int    `json:"refuse_writes"`
	HoldWrites   int    `json:"hold_writes"`
	// HoldFor is how long a held write takes to arrive; empty: until the next order.
	HoldFor     string `json:"hold_for"`
	HistoryLost bool   `json:"history_lost"`
}

// Handler serves the store over HTTP as package httpstore describes, and
// besides: PUT and DELETE /vms/{id} by which a VM enters itself, POST /faults
// and GET /counts.
func Handler(s *Store) http.Handler {
	h := &handler{store: s}
	mux := flow.New()
	mux.HandleFunc("/objects/:kind", h.list, http.MethodGet)
	mux.HandleFunc("/objects/:kind/:name", h.get, http.MethodGet)
	mux.HandleFunc("/objects/:kind/:name", h.put, http.MethodPut)
	mux.HandleFunc("/objects/:kind/:name", h.delete, http.MethodDelete)
	mux.HandleFunc("/vms", h.vms, http.MethodGet)
	mux.HandleFunc("/vms/:id", h.register, http.MethodPut)
	mux.HandleFunc("/vms/:id", h.deregister, http.MethodDelete)
	mux.HandleFunc("/faults", h.faults, http.MethodPost)
	mux.HandleFunc("/counts", h.counts, http.MethodGet)
	return mux
}

type handler struct{ store *Store }

func key(r *http.Request) durable.Key {
	return durable.Key{Kind: r.PathValue("kind"), Name: r.PathValue("name")}
}

func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	o, err := h.store.Get(r.Context(), key(r))
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("ETag", httpstore.FormatETag(o.Version))
	_, _ = w.Write(o.Value)
}

func (h *handler) put(w http.ResponseWriter, r *http.Request) {
	version, err := condition(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, durable.MaxValueBytes+1))
	if err != nil {
		return // the caller went away in its body: no effect, nobody to tell
	}
	o, err := h.store.Put(context.WithoutCancel(r.Context()), key(r), value, version)
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("ETag", httpstore.FormatETag(o.Version))
	w.WriteHeader(http.StatusOK)
}

func (h *handler) delete(w http.ResponseWriter, r *http.Request) {
	version, err := condition(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := h.store.Delete(context.WithoutCancel(r.Context()), key(r), version); err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("ETag", httpstore.FormatETag(version))
	w.WriteHeader(http.StatusOK)
}

func (h *handler) list(w http.ResponseWriter, r *http.Request) {
	if from := r.URL.Query().Get("watch"); from != "" {
		h.watch(w, r, from)
		return
	}
	listing, err := h.store.List(r.Context(), r.PathValue("kind"))
	if err != nil {
		fail(w, err)
		return
	}
	out := httpstore.Listing{Revision: listing.Revision}
	for _, o := range listing.Objects {
		out.Objects = append(out.Objects, httpstore.Object{Name: o.Name, Version: o.Version, Value: o.Value})
	}
	reply(w, out)
}

func (h *handler) watch(w http.ResponseWriter, r *http.Request, from string) {
	revision, err := strconv.ParseInt(from, 10, 64)
	if err != nil {
		http.Error(w, "watch must be a revision", http.StatusBadRequest)
		return
	}
	events, err := h.store.Watch(r.Context(), r.PathValue("kind"), revision)
	if err != nil {
		fail(w, err)
		return
	}
	defer events.Close()
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	for out.Flush() == nil {
		if !writeLine(w, encoder, events, r) {
			return
		}
	}
}

// writeLine waits for one event, or writes an empty line when none comes in time.
func writeLine(w io.Writer, encoder *json.Encoder, events durable.Watch, r *http.Request) bool {
	ctx, cancel := context.WithTimeout(r.Context(), httpstore.KeepAliveInterval)
	defer cancel()
	e, err := events.Next(ctx)
	switch {
	case err == nil:
		line := httpstore.WatchLine{Deleted: e.Deleted}
		line.Object = httpstore.Object{Name: e.Name, Version: e.Version, Value: e.Value}
		return encoder.Encode(line) == nil
	case errors.Is(err, durable.ErrGone):
		_ = encoder.Encode(httpstore.WatchLine{Gone: true})
		return false
	case r.Context().Err() == nil && errors.Is(err, context.DeadlineExceeded):
		_, err = w.Write([]byte("\n"))
		return err == nil
	}
	return false
}

func (h *handler) vms(w http.ResponseWriter, r *http.Request) {
	list, err := h.store.VMs(r.Context())
	if err != nil {
		fail(w, err)
		return
	}
	rows := make([]httpstore.VM, 0, len(list))
	for _, vm := range list {
		rows = append(rows, httpstore.VM(vm))
	}
	reply(w, rows)
}

func (h *handler) register(w http.ResponseWriter, r *http.Request) {
	var row httpstore.VM
	if err := json.NewDecoder(r.Body).Decode(&row); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	row.ID = r.PathValue("id")
	h.store.Register(durable.VM(row))
	w.WriteHeader(http.StatusNoContent)
}

func (h *handler) deregister(w http.ResponseWriter, r *http.Request) {
	h.store.Deregister(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

func (h *handler) faults(w http.ResponseWriter, r *http.Request) {
	var order FaultOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f, err := order.faults()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.store.Release()
	h.store.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (h *handler) counts(w http.ResponseWriter, _ *http.Request) { reply(w, h.store.Counts()) }

func (o FaultOrder) faults() (Faults, error) {
	f := Faults{
		Down:         o.Down,
		LoseReplies:  o.LoseReplies,
		RefuseWrites: o.RefuseWrites,
		HoldWrites:   o.HoldWrites,
		HistoryLost:  o.HistoryLost,
	}
	var err error
	if f.Delay, err = duration(o.Delay); err != nil {
		return f, err
	}
	f.HoldFor, err = duration(o.HoldFor)
	return f, err
}

func duration(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	return time.ParseDuration(s)
}

// condition reads the version that a write is conditional on.
func condition(r *http.Request) (int64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	if tag := r.Header.Get("If-Match"); tag != "" {
		return httpstore.ParseETag(tag)
	}
	return 0, errors.New("a write needs If-Match or If-None-Match: *")
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// fail gives an error of the interface its status.
func fail(w http.ResponseWriter, err error) {
	var conflict *durable.ConflictError
	switch {
	case errors.As(err, &conflict):
		w.Header().Set("ETag", httpstore.FormatETag(conflict.Current.Version))
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = w.Write(conflict.Current.Value)
	case errors.Is(err, durable.ErrUnknown):
		// A lost reply: the connection ends without one.
		panic(http.ErrAbortHandler)
	case errors.Is(err, durable.ErrOverRate):
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case errors.Is(err, durable.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, durable.ErrGone):
		http.Error(w, err.Error(), http.StatusGone)
	case errors.Is(err, durable.ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
