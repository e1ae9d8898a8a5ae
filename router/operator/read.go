package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"goldcrestfork/config"
)

// snapshot returns the configuration in force, at the revision in Min-Revision or later. If
// that revision doesn't arrive in time, it writes the refusal and returns nil.
func (h *handler) snapshot(w http.ResponseWriter, r *http.Request) *config.Snapshot {
	text := r.Header.Get(HeaderMinRevision)
	if text == "" {
		return h.Configuration.Snapshot()
	}
	revision, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		h.badRequest(w, HeaderMinRevision+" is not a revision")
		return nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), waitTimeout)
	defer cancel()
	s, err := h.Configuration.WaitRevision(ctx, revision)
	if err != nil {
		h.refuse(w, Problem{Status: http.StatusGatewayTimeout, Code: CodeRevisionNotHere,
			Detail: "this VM has revision " + strconv.FormatInt(h.Configuration.Snapshot().Revision, 10) + "; ask another VM or later"})
		return nil
	}
	return s
}

func (h *handler) badRequest(w http.ResponseWriter, detail string) {
	h.refuse(w, Problem{Status: http.StatusBadRequest, Code: CodeBadRequest, Detail: detail})
}

// kind parses the kind in the path. If it returns false, it has written the refusal.
func (h *handler) kind(w http.ResponseWriter, r *http.Request) (config.Kind, bool) {
	kind := config.Kind(r.PathValue("kind"))
	if config.NewObject(kind) == nil {
		h.refuse(w, Problem{Status: http.StatusNotFound, Code: CodeNotFound, Detail: "no kind " + strconv.Quote(string(kind))})
		return "", false
	}
	return kind, true
}

func (h *handler) revision(w http.ResponseWriter, r *http.Request) {
	if s := h.snapshot(w, r); s != nil {
		h.answer(w, Answer{Revision: s.Revision})
	}
}

func (h *handler) list(w http.ResponseWriter, r *http.Request) {
	kind, ok := h.kind(w, r)
	if !ok {
		return
	}
	selector, err := config.ParseSelector(r.URL.Query().Get("selector"))
	if err != nil {
		h.badRequest(w, err.Error())
		return
	}
	s := h.snapshot(w, r)
	if s == nil {
		return
	}
	a := Answer{Revision: s.Revision, Objects: []json.RawMessage{}}
	for _, o := range s.List(kind, selector) {
		a.Objects = append(a.Objects, mustMarshal(o))
	}
	h.answer(w, a)
}

func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	kind, ok := h.kind(w, r)
	if !ok {
		return
	}
	s := h.snapshot(w, r)
	if s == nil {
		return
	}
	name := r.PathValue("name")
	o := s.Get(kind, name)
	if o == nil {
		w.Header().Set(HeaderRevision, strconv.FormatInt(s.Revision, 10))
		h.refuse(w, Problem{Status: http.StatusNotFound, Code: CodeNotFound, Detail: string(kind) + " " + strconv.Quote(name) + " does not exist"})
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(config.MetaOf(o).Revision, 10)))
	h.answer(w, Answer{Revision: s.Revision, Objects: []json.RawMessage{mustMarshal(o)}})
}

// inForce answers on how many VMs a revision is in force. The default is this VM's revision.
func (h *handler) inForce(w http.ResponseWriter, r *http.Request) {
	revision := h.Configuration.Snapshot().Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		var err error
		if revision, err = strconv.ParseInt(text, 10, 64); err != nil {
			h.badRequest(w, "revision is not a number")
			return
		}
	}
	f := config.CountInForce(revision, h.Fleet.VMs(), h.Fleet.Revisions())
	h.write(w, http.StatusOK, codeOK, "application/json", f)
}

func (h *handler) bills(w http.ResponseWriter, r *http.Request) {
	day, err := time.Parse(time.DateOnly, r.URL.Query().Get("day"))
	if err != nil {
		h.badRequest(w, "day is not a date such as 2026-01-31")
		return
	}
	bills, err := h.Bills.Bills(r.Context(), r.URL.Query().Get("account"), day)
	if err != nil {
		h.refuse(w, Problem{Status: http.StatusServiceUnavailable, Code: CodeBillsNotRead, Detail: err.Error()})
		return
	}
	h.write(w, http.StatusOK, codeOK, "application/json", bills)
}
