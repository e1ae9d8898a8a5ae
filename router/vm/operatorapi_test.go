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

// A change through a VM's operator API must be in force on that VM when the answer arrives,
// and a caller's key must not be accepted as an operator's.
func TestWithdrawThroughOperatorAPI(t *testing.T) {
	w := newTestbed(t, 1)
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
