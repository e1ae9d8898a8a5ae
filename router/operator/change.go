package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"goldcrestfork/config"
	"goldcrestfork/router/listen"
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

// changeBytes is what a change takes beside its values for each byte of its body: as read, as parsed and as
// stored. A change of a large configuration has a value in 20 bytes, with which it takes as much again.
const changeBytes = 4

// body reads the request's body of at most limit bytes. If it returns false, it has written the refusal. done must be
// called when the body and what was made of it are no longer used.
func (h *handler) body(w http.ResponseWriter, r *http.Request, limit int64) (data []byte, done func(), ok bool) {
	held := int64(0)
	release := func(n int64) {
		if h.Bodies != nil {
			h.Bodies.Release(operators, n)
			held -= n
		}
	}
	take := func(n int64) bool {
		if h.Bodies == nil {
			return true
		}
		if !h.Bodies.Take(operators, n) {
			return false
		}
		held += n
		return true
	}
	done = func() { release(held) }
	data, err := h.readBody(w, r, limit, take, release)
	if err == nil && !take(config.ParsedBytes(data)) {
		err = listen.ErrNoRoom
	}
	if err != nil {
		done()
		h.refuse(w, bodyProblem(err, limit))
		return nil, nil, false
	}
	return data, done, true
}

// operators is the account that changes count for.
const operators = ""

// readBody reads the request's body within the bounds on its length and on the time that it takes.
func (h *handler) readBody(w http.ResponseWriter, r *http.Request, limit int64, take func(n int64) bool, release func(n int64)) ([]byte, error) {
	takeCost := func(n int64) bool { return take(changeBytes * n) }
	if r.ContentLength > limit {
		return nil, listen.ErrBodyTooLong
	}
	if !takeCost(max(r.ContentLength, 0)) {
		return nil, listen.ErrNoRoom
	}
	connection := http.NewResponseController(w)
	// It fails only without a connection, in which case reads can't hang.
	_ = connection.SetReadDeadline(time.Now().Add(bodyTimeout))
	data, err := listen.ReadBody(r.Body, r.ContentLength, limit, takeCost, func(n int64) { release(changeBytes * n) })
	if err == nil {
		_ = connection.SetReadDeadline(time.Time{})
	}
	return data, err
}

// bodyProblem returns the refusal for an error of a body of at most limit bytes.
func bodyProblem(err error, limit int64) Problem {
	switch {
	case errors.Is(err, listen.ErrBodyTooLong):
		return Problem{Status: http.StatusRequestEntityTooLarge, Code: CodeBodyTooLarge, Accepted: AcceptedNo, Detail: fmt.Sprintf("at most %d bytes", limit)}
	case errors.Is(err, listen.ErrNoRoom):
		return Problem{Status: http.StatusServiceUnavailable, Code: CodeOverloaded, Accepted: AcceptedNo, Detail: "this VM has no memory for the change now"}
	}
	return Problem{Status: http.StatusBadRequest, Code: CodeBadRequest, Detail: "the body could not be read"}
}

// parseObjects parses the objects in a body. If it returns nil, it has written the refusal.
func (h *handler) parseObjects(w http.ResponseWriter, data []byte) []config.Object {
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
	data, done, ok := h.body(w, r, maxBodyBytes)
	if !ok {
		return
	}
	defer done()
	objects := h.parseObjects(w, data)
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
	data, done, ok := h.body(w, r, maxBodyBytes)
	if !ok {
		return
	}
	defer done()
	objects := h.parseObjects(w, data)
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
	data, done, ok := h.body(w, r, maxLabelsBytes)
	if !ok {
		return
	}
	defer done()
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
