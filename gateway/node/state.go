package node

import (
	"encoding/json"
	"net/http"
	"time"

	"goldcrestfork/gateway/catalog"
	"goldcrestfork/policy/admission"
	"goldcrestfork/policy/placement"
)

// Dump is the state of a VM, served to operators for diagnosis.
type Dump struct {
	VM       string `json:"vm"`
	Ready    bool   `json:"ready"`
	Stopping bool   `json:"stopping"`
	// PathsLost says that the VM reaches none of its endpoints.
	PathsLost bool  `json:"pathsLost"`
	Active    int64 `json:"active"`
	Config    int64 `json:"configVersion"`
	// ConfigAgeMs is the time in ms since the configuration was last confirmed as the newest.
	ConfigAgeMs int64             `json:"configAgeMs"`
	VMs         []string          `json:"vms"`
	Endpoints   []placement.Row   `json:"endpoints"`
	RollOuts    []catalog.RollOut `json:"rollOuts"`
	IdleConns   int               `json:"idleConnections"`
	// CallerConns are the connections of callers, IdleCallerConns those that carry no request.
	CallerConns     int `json:"callerConnections"`
	IdleCallerConns int `json:"idleCallerConnections"`
	// Sessions is the number of sessions that this VM keeps for the fleet.
	Sessions int `json:"sessionsKept"`
	// Admission is, for each managed service, whether requests are refused for its load, and why.
	Admission map[string]admission.Report `json:"admission,omitempty"`
}

func (n *Node) serveState(w http.ResponseWriter, _ *http.Request) {
	d := Dump{
		VM: n.s.VM, Ready: n.Ready(), Stopping: n.stopping.Load(), PathsLost: n.paths.tracker.Lost(), Active: n.handler.Active(),
		ConfigAgeMs: n.view.ConfigAge().Milliseconds(), VMs: n.gossip.Table().AliveNames(bootClock()),
		Endpoints: n.table.Rows(time.Now()), RollOuts: n.view.RollOuts(), IdleConns: n.pool.Idle(), CallerConns: n.callers.Count(), IdleCallerConns: n.callers.Idle(), Sessions: n.sticky.Sweep(), Admission: n.demand.reports(),
	}
	if c := n.view.Config(); c != nil {
		d.Config = c.Version
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(d); err != nil {
		n.log.Info().Err(err).Msg("state dump not sent")
	}
}
