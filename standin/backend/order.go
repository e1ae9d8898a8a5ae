package backend

import (
	"encoding/json"
	"io"
	"net/http"
)

// order is what an engine should load and do; as a report it says what it does.
type order struct {
	Fence       int64    `json:"fence"`
	Versions    []string `json:"versions"`
	Role        string   `json:"role"`
	Incarnation int      `json:"incarnation"`
}

// obey takes an order unless one with a higher fencing number was obeyed before.
func (e *Engine) obey(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.fence, e.versions, e.role = o.Fence, o.Versions, o.Role
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, order{Fence: e.fence, Versions: e.versions, Role: e.role, Incarnation: e.incarnation})
}
