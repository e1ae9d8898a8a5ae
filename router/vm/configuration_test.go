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

// inForceOnAll reports whether a revision is in force on all of the given number of VMs.
func inForceOnAll(t *testing.T, c client.Client, revision int64, vms int) bool {
	data, err := c.Read(t.Context(), "/v1/in-force?revision="+strconv.FormatInt(revision, 10), 0)
	require.NoError(t, err)
	var f config.InForce
	require.NoError(t, json.Unmarshal(data, &f))
	return f.Everywhere() && f.Total == vms
}

// An operator's change must reach all VMs over the peer link, also a VM that starts while
// the platform is down. That VM must not serve a withdrawn version, and a change during
// the outage must be refused with store-unavailable.
func TestConfigurationReachesAllVMs(t *testing.T) {
	w := newTestbed(t, 1)
	second, _ := w.start("vm-2")
	operators := client.Client{VMs: []string{"http://" + second.OperatorsAddress()}, Key: "secret", HTTP: http.DefaultClient}
	eventually(t, func() bool { return inForceOnAll(t, operators, w.vm.cache.Revision(), 2) })
	withdraw := client.Change{Method: http.MethodPost, Path: "/v1/model-version/" + v2 + "/withdraw"}
	a, err := operators.Do(t.Context(), withdraw)
	require.NoError(t, err)
	eventually(t, func() bool { return inForceOnAll(t, operators, a.Revision, 2) })

	w.store.SetFaults(store.Faults{Down: true})
	w.seeds = []string{strconv.Quote(w.vm.fleet.link.Addr())}
	third, _ := w.start("vm-3")
	eventually(t, func() bool { return third.cache.Staleness(time.Now()).TakesWork() })
	require.Equal(t, a.Revision, third.cache.Revision())
	require.Equal(t, config.VersionWithdrawn, third.cache.Snapshot().Versions[v2].State)
	_, err = operators.Do(t.Context(), client.Change{Method: http.MethodPost, Path: "/v1/model-version/" + v2 + "/serve"})
	require.ErrorContains(t, err, "store-unavailable")
}
