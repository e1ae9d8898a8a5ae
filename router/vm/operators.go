package vm

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/alexedwards/flow"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"goldcrestfork/config"
	"goldcrestfork/control/loops"
	"goldcrestfork/fleet/member"
	"goldcrestfork/fleet/peer"
	"goldcrestfork/fleet/slot"
	"goldcrestfork/ledger"
	"goldcrestfork/policy/cascade"
	"goldcrestfork/router/dispatch"
)

// operatorsHandler serves the probes, the metrics, the state dump and the operator API.
func (v *VM) operatorsHandler() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "alive\n") }, http.MethodGet)
	mux.HandleFunc("/readyz", v.ready, http.MethodGet)
	mux.Handle("/metrics", promhttp.HandlerFor(v.registry, promhttp.HandlerOpts{}), http.MethodGet)
	mux.HandleFunc("/state", v.state, http.MethodGet)
	mux.Handle("/v1/...", v.operatorAPI())
	return mux
}

// ready reports whether this VM takes new work. The probe /healthz reports only that the
// process runs.
func (v *VM) ready(w http.ResponseWriter, _ *http.Request) {
	d := v.cache.Staleness(time.Now())
	if !d.TakesWork() || v.cache.Revision() == 0 {
		writeText(w, http.StatusServiceUnavailable, "not ready: "+d.Reason+"\n")
		return
	}
	writeText(w, http.StatusOK, "ready\n")
}

// State is the body of the state dump: the state that routing decisions depend on.
type State struct {
	VM            string        `json:"vm"`
	DataCentre    string        `json:"dataCentre"`
	Running       int           `json:"running"`
	Configuration config.State  `json:"configuration"`
	Dispatch      dispatch.Dump `json:"dispatch"`
	Fleet         member.Dump   `json:"fleet"`
	Peers         peer.Dump     `json:"peers"`
	ColdSlots     slot.Dump     `json:"coldSlots"`
	Ledger        ledger.Dump   `json:"ledger"`
	BillsHeld     int           `json:"billsHeld"`
	Cascade       cascade.Dump  `json:"cascade"`
	Control       loops.Dump    `json:"control"`
}

func (v *VM) state(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	// An operator that closed the connection is no error of this VM.
	_ = e.Encode(State{
		VM:            v.settings.VM,
		DataCentre:    v.settings.DataCentre,
		Running:       v.entry.Running(),
		Configuration: v.cache.Dump(time.Now()),
		Dispatch:      v.dispatch.Dump(),
		Fleet:         v.fleet.members.Dump(time.Now()),
		Peers:         v.fleet.link.Dump(),
		ColdSlots:     v.slots.cold.Dump(time.Now()),
		Ledger:        v.ledger.Dump(),
		BillsHeld:     v.bills.Held(),
		Cascade:       v.entry.Cascade(),
		Control:       v.loops.Dump(),
	})
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text))
}
