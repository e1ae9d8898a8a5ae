package vm

import (
	"encoding/json"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/config"
	"goldcrestfork/router/operator/client"
	"goldcrestfork/standin/store"
)

// everywhere asks a VM whether a revision is in force on so many VMs.
func everywhere(t *testing.T, c client.Client, revision int64, vms int) bool {
	data, err := c.Read(t.Context(), "/v1/in-force?revision="+strconv.FormatInt(revision, 10), 0)
	require.NoError(t, err)
	var f config.InForce
	require.NoError(t, json.Unmarshal(data, &f))
	return f.Everywhere() && f.Total == vms
}

// An operator withdraws a version on one VM; it comes into force on the other over
// the peer link. Then the platform goes down and a third VM starts, which knows
// nothing: it takes the configuration from the others and may take work, without
// the withdrawn version. A change is refused truthfully meanwhile.
func TestConfigurationReachesAllVMs(t *testing.T) {
	w := newWorld(t, 1)
	second, _ := w.start("vm-2")
	operators := client.Client{VMs: []string{"http://" + second.OperatorsAddress()}, Key: "secret", HTTP: http.DefaultClient}
	until(t, func() bool { return everywhere(t, operators, w.vm.cache.Revision(), 2) })
	withdraw := client.Change{Method: http.MethodPost, Path: "/v1/model-version/" + v2 + "/withdraw"}
	a, err := operators.Do(t.Context(), withdraw)
	require.NoError(t, err)
	until(t, func() bool { return everywhere(t, operators, a.Revision, 2) })

	w.store.SetFaults(store.Faults{Down: true})
	w.seeds = []string{strconv.Quote(w.vm.fleet.link.Addr())}
	third, _ := w.start("vm-3")
	until(t, func() bool { return third.cache.Staleness(time.Now()).TakesWork() })
	require.Equal(t, a.Revision, third.cache.Revision())
	require.Equal(t, config.VersionWithdrawn, third.cache.Snapshot().Versions[v2].State)
	_, err = operators.Do(t.Context(), client.Change{Method: http.MethodPost, Path: "/v1/model-version/" + v2 + "/serve"})
	require.ErrorContains(t, err, "store-unavailable")
}
