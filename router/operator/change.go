package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"goldcrestfork/config"
)

// applyChanges applies the changes atomically and answers with the outcome.
func (h *handler) applyChanges(w http.ResponseWriter, r *http.Request, changes []config.Change, show func(*config.Snapshot) []config.Object) {
	id, since := r.Header.Get(HeaderChangeID), int64(-1)
	if text := r.Header.Get(HeaderChangeSince); text != "" || id != "" {
		var err error
		if since, err = strconv.ParseInt(text, 10, 64); err != nil || since < 0 || id == "" || len(id) > 64 {
			h.badRequest(w, HeaderChangeID+" (64 bytes at most) and "+HeaderChangeSince+" (a revision) go together")
			return
		}
	}
	if id == "" {
		id = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	revision, s, err := h.Editor.ApplyOnce(ctx, id, since, changes)
	if err != nil {
		h.refuse(w, changeProblem(err))
		return
	}
	a := Answer{Revision: revision, Accepted: AcceptedYes, Warnings: config.Warnings(s)}
	for _, o := range show(s) {
		if o != nil {
			a.Objects = append(a.Objects, mustMarshal(o))
		}
	}
	h.answer(w, a)
}

// showOne returns a function that selects one object of a snapshot for the answer.
func showOne(kind config.Kind, name string) func(*config.Snapshot) []config.Object {
	return func(s *config.Snapshot) []config.Object { return []config.Object{s.Get(kind, name)} }
}

// body reads the request's body. If it returns false, it has written the refusal.
func (h *handler) body(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		h.refuse(w, Problem{Status: http.StatusRequestEntityTooLarge, Code: CodeBodyTooLarge, Accepted: AcceptedNo, Detail: "at most 8 MB"})
		return nil, false
	case err != nil:
		h.badRequest(w, "the body could not be read")
		return nil, false
	}
	return data, true
}

// objects parses the objects in the body. If it returns nil, it has written the refusal.
func (h *handler) objects(w http.ResponseWriter, r *http.Request) []config.Object {
	data, ok := h.body(w, r)
	if !ok {
		return nil
	}
	objects, err := config.Parse("", data)
	if err == nil && len(objects) == 0 {
		err = config.Problems{{Want: "at least one object"}}
	}
	if err != nil {
		h.refuse(w, changeProblem(err))
		return nil
	}
	return objects
}

// put stores one object. Its own revision, If-Match or If-None-Match is the condition.
func (h *handler) put(w http.ResponseWriter, r *http.Request) {
	kind, ok := h.kind(w, r)
	if !ok {
		return
	}
	objects := h.objects(w, r)
	if objects == nil {
		return
	}
	name := r.PathValue("name")
	if len(objects) != 1 || config.KindOf(objects[0]) != kind || config.MetaOf(objects[0]).Name != name {
		h.badRequest(w, "the body must be the one object that the path names")
		return
	}
	condition, ok := h.condition(w, r)
	if !ok {
		return
	}
	change := putChange(objects[0])
	if condition != config.IfAny {
		change.IfRevision = condition
	}
	h.applyChanges(w, r, []config.Change{change}, showOne(kind, name))
}

// putChange stores an object on condition of the revision that it carries, if any, so that
// an object that was read, edited and put back doesn't overwrite changes made in between.
func putChange(o config.Object) config.Change {
	return config.Change{Op: config.OpPut, Object: o, IfRevision: config.MetaOf(o).Revision}
}

// condition parses If-Match and If-None-Match into the expected revision of the object.
func (h *handler) condition(w http.ResponseWriter, r *http.Request) (int64, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return config.IfAbsent, true
	}
	text := strings.Trim(r.Header.Get("If-Match"), `"`)
	if text == "" {
		return config.IfAny, true
	}
	revision, err := strconv.ParseInt(text, 10, 64)
	if err != nil || revision <= 0 {
		h.badRequest(w, "If-Match is not an object's revision")
		return 0, false
	}
	return revision, true
}

// apply stores all objects of the body as one change.
func (h *handler) apply(w http.ResponseWriter, r *http.Request) {
	objects := h.objects(w, r)
	if objects == nil {
		return
	}
	changes := make([]config.Change, len(objects))
	for i, o := range objects {
		changes[i] = putChange(o)
	}
	h.applyChanges(w, r, changes, func(s *config.Snapshot) []config.Object {
		var now []config.Object
		for _, o := range objects {
			now = append(now, s.Get(config.KindOf(o), config.MetaOf(o).Name))
		}
		return now
	})
}

func (h *handler) remove(w http.ResponseWriter, r *http.Request) {
	kind, ok := h.kind(w, r)
	if !ok {
		return
	}
	condition, ok := h.condition(w, r)
	if !ok {
		return
	}
	name := r.PathValue("name")
	change := config.Change{Op: config.OpDelete, Kind: kind, Name: name, IfRevision: condition}
	h.applyChanges(w, r, []config.Change{change}, showOne(kind, name))
}

// label sets the labels in the body; a null value removes a label.
func (h *handler) label(w http.ResponseWriter, r *http.Request) {
	kind, ok := h.kind(w, r)
	if !ok {
		return
	}
	condition, ok := h.condition(w, r)
	if !ok {
		return
	}
	data, ok := h.body(w, r)
	if !ok {
		return
	}
	var labels map[string]*string
	if err := json.Unmarshal(data, &labels); err != nil || len(labels) == 0 {
		h.badRequest(w, "the body must be an object of labels; null removes one")
		return
	}
	name := r.PathValue("name")
	change := config.Change{Op: config.OpLabel, Kind: kind, Name: name, IfRevision: condition, Labels: make(map[string]string)}
	for key, value := range labels {
		if value == nil {
			change.RemoveLabels = append(change.RemoveLabels, key)
			continue
		}
		change.Labels[key] = *value
	}
	h.applyChanges(w, r, []config.Change{change}, showOne(kind, name))
}

// runAction performs the action that the path names, such as withdraw, drain or pause.
func (h *handler) runAction(w http.ResponseWriter, r *http.Request) {
	kind, ok := h.kind(w, r)
	if !ok {
		return
	}
	name, action := r.PathValue("name"), config.Action(r.PathValue("action"))
	change, err := config.NewAction(kind, name, action, r.URL.Query().Get("reason"))
	if err != nil {
		h.refuse(w, changeProblem(err))
		return
	}
	condition, ok := h.condition(w, r)
	if !ok {
		return
	}
	change.IfRevision = condition
	h.applyChanges(w, r, []config.Change{change}, showOne(kind, name))
}

// restore writes this VM's configuration in force to a platform that holds an older one.
func (h *handler) restore(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	revision, s, err := h.Editor.Restore(ctx, r.Header.Get(HeaderChangeID))
	if err != nil {
		h.refuse(w, changeProblem(err))
		return
	}
	h.answer(w, Answer{Revision: revision, Accepted: AcceptedYes, Warnings: config.Warnings(s)})
}
