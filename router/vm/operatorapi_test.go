package vm

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"goldcrestfork/config"
	"goldcrestfork/router/operator"
	"goldcrestfork/router/operator/client"
)

// An operator withdraws a version over the VM's API. When the answer is there,
// the version is withdrawn in the configuration that requests are judged by.
func TestOperatorsDriveTheVM(t *testing.T) {
	w := newWorld(t, 1)
	c := client.Client{VMs: []string{"http://" + w.vm.OperatorsAddress()}, Key: "secret", HTTP: http.DefaultClient}
	a, err := c.Do(t.Context(), client.Change{Method: http.MethodPost, Path: "/v1/model-version/" + v2 + "/withdraw"})
	require.NoError(t, err)
	require.Equal(t, config.VersionWithdrawn, w.vm.cache.Snapshot().Versions[v2].State)

	data, err := c.Read(t.Context(), "/v1/in-force", 0)
	require.NoError(t, err)
	var f config.InForce
	require.NoError(t, json.Unmarshal(data, &f))
	require.Equal(t, a.Revision, f.Revision)
	require.True(t, f.Everywhere())

	data, err = c.Read(t.Context(), "/v1/bills?day=2026-01-31", 0)
	require.NoError(t, err)
	require.JSONEq(t, "[]", string(data))

	c.Key = "baker-key"
	_, err = c.Read(t.Context(), "/v1/data-centre", 0)
	var p *operator.Problem
	require.ErrorAs(t, err, &p)
	require.Equal(t, operator.CodeUnauthorized, p.Code)
}
