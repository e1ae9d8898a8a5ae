package backend

import (
	"encoding/json"
	"io"
	"net/http"
)

// order names the versions that an engine should load and the role it should have. As a
// report it holds those that are in force.
type order struct {
	Fence       int64    `json:"fence"`
	Versions    []string `json:"versions"`
	Role        string   `json:"role"`
	Incarnation int      `json:"incarnation"`
}

// handleOrder applies an order, or refuses it if one with a higher fencing number was applied
// before.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&o); err != nil {
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

// handleOrderReport serves the engine's present versions and role.
func (e *Engine) handleOrderReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, order{Fence: e.fence, Versions: e.versions, Role: e.role, Incarnation: e.incarnation})
}
