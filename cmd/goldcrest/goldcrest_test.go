package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"goldcrestfork/config"
	"goldcrestfork/router/operator"
	"goldcrestfork/standin/store"
)

var examples = mustAbs("../../examples")

// goldcrest runs one command line and returns its exit code and what it printed.
func goldcrest(args ...string) (int, string) {
	var out bytes.Buffer
	code := run(args, &out, &out)
	return code, out.String()
}

// files lists a deployment's configuration files.
func files(t *testing.T, deployment string) []string {
	all, err := filepath.Glob(filepath.Join(examples, deployment, "*.jsonc"))
	require.NoError(t, err)
	var objects []string
	for _, file := range all {
		if filepath.Base(file) != "settings.jsonc" {
			objects = append(objects, file)
		}
	}
	require.NotEmpty(t, objects)
	return objects
}

// The annotated deployments are what operators start from: they must be accepted
// whole and have the sizes of the users' brief.
func TestExamplesAreGood(t *testing.T) {
	rows := []struct {
		deployment                                string
		dataCentres, runners, instances, accounts int
	}{
		{"cluj", 4, 12, 4, 10},
		{"norte", 3, 9, 3, 10},
	}
	for _, row := range rows {
		code, out := goldcrest(append([]string{"check-config"}, files(t, row.deployment)...)...)
		require.Zero(t, code, out)
		require.NotContains(t, out, "warning")
		objects, err := readObjects(files(t, row.deployment))
		require.NoError(t, err)
		s, _ := config.Assemble(objects)
		runners := 0
		for _, e := range s.Endpoints {
			if e.Service == "" {
				runners++
			}
		}
		require.Equal(t, []int{row.dataCentres, row.runners, row.instances, row.accounts},
			[]int{len(s.DataCentres), runners, len(s.Endpoints) - runners, len(s.Accounts)})
	}
}

// The settings of the examples are good as soon as the trial's certificates are made.
func TestExampleSettingsAreGood(t *testing.T) {
	for deployment, vm := range map[string]string{"cluj": "cluj-vm-1", "norte": "norte-vm-1"} {
		file, err := filepath.Abs(filepath.Join(examples, deployment, "settings.jsonc"))
		require.NoError(t, err)
		t.Run(deployment, func(t *testing.T) {
			t.Chdir(t.TempDir())
			code, out := goldcrest("check-settings", file)
			require.Equal(t, exitRefused, code)
			require.Contains(t, out, "peers.ca")
			code, out = goldcrest("certificates", "certificates", vm)
			require.Zero(t, code, out)
			code, out = goldcrest("check-settings", file)
			require.Zero(t, code, out)
		})
	}
}

// serveVM serves the operator API of one VM on a platform in memory.
func serveVM(t *testing.T, s *store.Store) string {
	cache := config.NewCache(config.Options{Store: s})
	sum := sha256.Sum256([]byte("trial-operator"))
	h := operator.New(operator.Options{Configuration: cache, Editor: config.NewEditor(s, cache), Fleet: alone{cache}, KeyHashes: []string{hex.EncodeToString(sum[:])}})
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL
}

// alone is a fleet of one VM.
type alone struct{ cache *config.Cache }

func (alone) VMs() []string { return []string{"vm-1"} }

func (a alone) Revisions() map[string]int64 { return map[string]int64{"vm-1": a.cache.Revision()} }

// An operator's day on the command line: each row is one command with the exit
// code and the words that its reader relies on.
func TestOperatorsDay(t *testing.T) {
	s := store.New()
	url := serveVM(t, s)
	t.Setenv("GOLDCREST_VM", url)
	t.Setenv("GOLDCREST_KEY", "trial-operator")
	bad := filepath.Join(t.TempDir(), "bad.jsonc")
	require.NoError(t, os.WriteFile(bad, []byte("{\n\"kind\": \"data-centre\",\n\"nmae\": \"x\"}"), 0o600))
	rows := []struct {
		code int
		want string
		args []string
	}{
		{exitDone, "accepted at revision 1", append([]string{"apply"}, files(t, "norte")...)},
		{exitDone, "norte-b", []string{"list", "data-centre"}},
		{exitDone, `"state": "in"`, []string{"get", "data-centre", "norte-a", "--min-revision", "1"}},
		{exitDone, "accepted at revision 2", []string{"drain", "norte-a"}},
		{exitDone, `"state": "out"`, []string{"get", "data-centre", "norte-a"}},
		{exitDone, "accepted at revision 3", []string{"take-back", "norte-a"}},
		{exitDone, "accepted at revision 4", []string{"drain", "--endpoint", "conector-1"}},
		{exitDone, "accepted at revision 5", []string{"roll-out", "start", "asistente-5", "--reason", "tested"}},
		{exitRefused, "takes [", []string{"roll-out", "resume", "asistente-5"}},
		{exitDone, "accepted at revision 6", []string{"withdraw", "asistente-5"}},
		{exitDone, "revision 6 is in force on 1 of 1 VMs", []string{"in-force", "--wait"}},
		{exitDone, "accepted at revision 7", []string{"label", "client-account", "bakers", "shift=early", "old-"}},
		{exitDone, "bakers", []string{"list", "client-account", "--selector", "shift=early|late"}},
		{exitConflict, "The object now:", []string{"label", "client-account", "bakers", "shift=late", "--if-revision", "1"}},
		{exitRefused, `bad.jsonc:3: data-centre "": nmae: an unknown field found; expected the field "name"`, []string{"apply", bad}},
		{exitRefused, "existing data-centre", []string{"delete", "data-centre", "norte-a"}},
		{exitNotFound, "does not exist", []string{"get", "service", "other"}},
		{exitUnauthorized, "unauthorized", []string{"list", "service", "--key", "wrong"}},
		{exitNotAccepted, "no VM answered", []string{"drain", "norte-a", "--vm", "127.0.0.1:1"}},
		{exitRefused, "GOLDCREST_VM", []string{"drain", "norte-a", "--vm", ""}},
		{exitDone, `"revision": 8`, []string{"--json", "serve", "asistente-5"}},
	}
	for _, row := range rows {
		code, out := goldcrest(row.args...)
		require.Equal(t, row.code, code, "%v: %s", row.args, out)
		require.Contains(t, out, row.want, "%v", row.args)
	}
	s.SetFaults(store.Faults{Down: true})
	code, out := goldcrest("drain", "norte-a")
	require.Equal(t, exitNotAccepted, code, out)
	require.Contains(t, out, "not accepted; nothing is changed")
	require.Equal(t, 8, s.Counts().Puts-s.Counts().Conflicts)
}

// On call has an id and log files, and no VM to ask.
func TestExplainReadsLogs(t *testing.T) {
	path := filepath.Join(t.TempDir(), "vm-a.log")
	line := `{"vm":"a","request":"r1","outcome":"overloaded","status":503,"time":"2026-01-02T03:04:06Z","message":"request"}`
	require.NoError(t, os.WriteFile(path, []byte(line+"\n"), 0o600))
	code, out := goldcrest("explain", "r1", path)
	require.Equal(t, exitDone, code, out)
	require.Contains(t, out, "no endpoint could take it")
	code, out = goldcrest("explain", "r2", path)
	require.Equal(t, exitNotFound, code, out)
	code, out = goldcrest("explain", "r1", path+".missing")
	require.Equal(t, exitRefused, code, out)
}

// mustAbs makes a path that holds after a change of directory.
func mustAbs(path string) string {
	abs, err := filepath.Abs(path)
	if err != nil {
		panic(err)
	}
	return abs
}
