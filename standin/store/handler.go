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

// FaultRequest is the body of POST /faults; it replaces the faults in force.
type FaultRequest struct {
	Down bool `json:"down"`
	// Delay is the delay of each call, in the notation of time.ParseDuration ("3ms").
	Delay        string `json:"delay"`
	LoseReplies  int    `json:"lose_replies"`
	RefuseWrites int    `json:"refuse_writes"`
	HoldWrites   int    `json:"hold_writes"`
	// HoldFor is the time after which a held write reaches the store; empty means at the next
	// POST /faults.
	HoldFor     string `json:"hold_for"`
	HistoryLost bool   `json:"history_lost"`
}

// Handler returns a handler of the store's HTTP interface as package httpstore describes it.
// It also serves PUT and DELETE /vms/{id}, with which a VM registers and deregisters, POST
// /faults and GET /counts.
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

// handler serves the HTTP interface of a store.
type handler struct{ store *Store }

// objectKey returns the key of the object that a request names.
func objectKey(r *http.Request) durable.Key {
	return durable.Key{Kind: r.PathValue("kind"), Name: r.PathValue("name")}
}

func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	o, err := h.store.Get(r.Context(), objectKey(r))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", httpstore.FormatETag(o.Version))
	_, _ = w.Write(o.Value)
}

func (h *handler) put(w http.ResponseWriter, r *http.Request) {
	version, err := parseCondition(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, durable.MaxValueBytes+1))
	if err != nil {
		return // the caller disconnected within its body: no effect and no answer
	}
	o, err := h.store.Put(context.WithoutCancel(r.Context()), objectKey(r), value, version)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", httpstore.FormatETag(o.Version))
	w.WriteHeader(http.StatusOK)
}

func (h *handler) delete(w http.ResponseWriter, r *http.Request) {
	version, err := parseCondition(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := h.store.Delete(context.WithoutCancel(r.Context()), objectKey(r), version); err != nil {
		writeError(w, err)
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
		writeError(w, err)
		return
	}
	out := httpstore.Listing{Revision: listing.Revision}
	for _, o := range listing.Objects {
		out.Objects = append(out.Objects, httpstore.Object{Name: o.Name, Version: o.Version, Value: o.Value})
	}
	writeJSON(w, out)
}

func (h *handler) watch(w http.ResponseWriter, r *http.Request, from string) {
	revision, err := strconv.ParseInt(from, 10, 64)
	if err != nil {
		http.Error(w, "watch must be a revision", http.StatusBadRequest)
		return
	}
	events, err := h.store.Watch(r.Context(), r.PathValue("kind"), revision)
	if err != nil {
		writeError(w, err)
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

// writeLine writes the next event of a watch, or an empty line if there is none within the
// keep-alive interval. It reports whether the watch continues.
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
		writeError(w, err)
		return
	}
	rows := make([]httpstore.VM, 0, len(list))
	for _, vm := range list {
		rows = append(rows, httpstore.VM(vm))
	}
	writeJSON(w, rows)
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
	var order FaultRequest
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

func (h *handler) counts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.store.Counts()) }

// faults converts the request's body to Faults.
func (o FaultRequest) faults() (Faults, error) {
	f := Faults{
		Down:         o.Down,
		LoseReplies:  o.LoseReplies,
		RefuseWrites: o.RefuseWrites,
		HoldWrites:   o.HoldWrites,
		HistoryLost:  o.HistoryLost,
	}
	var err error
	if f.Delay, err = parseDuration(o.Delay); err != nil {
		return f, err
	}
	f.HoldFor, err = parseDuration(o.HoldFor)
	return f, err
}

// parseDuration parses a duration; an empty text is 0.
func parseDuration(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	return time.ParseDuration(s)
}

// parseCondition returns the version that a write is conditional on; 0 means that the object
// must not exist.
func parseCondition(r *http.Request) (int64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	if tag := r.Header.Get("If-Match"); tag != "" {
		return httpstore.ParseETag(tag)
	}
	return 0, errors.New("a write needs If-Match or If-None-Match: *")
}

// writeJSON answers with v as JSON.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// writeError answers with the HTTP status of an error of package durable.
func writeError(w http.ResponseWriter, err error) {
	var conflict *durable.ConflictError
	switch {
	case errors.As(err, &conflict):
		w.Header().Set("ETag", httpstore.FormatETag(conflict.Current.Version))
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = w.Write(conflict.Current.Value)
	case errors.Is(err, durable.ErrUnknown):
		// The connection ends without an answer, since the write's outcome is unknown.
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
