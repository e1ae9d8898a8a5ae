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

var examples = absolutePath("../../examples")

// runCommand runs one command line and returns its exit code and output.
func runCommand(args ...string) (int, string) {
	var out bytes.Buffer
	code := run(args, &out, &out)
	return code, out.String()
}

// configFiles lists the configuration files of an example deployment.
func configFiles(t *testing.T, deployment string) []string {
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

// Guards against example deployments that check-config refuses or that differ in size
// from the deployments that the requirements describe. Operators start from these files.
func TestExamplesAreValid(t *testing.T) {
	rows := []struct {
		deployment                                string
		dataCentres, runners, instances, accounts int
	}{
		{"cluj", 4, 12, 4, 10},
		{"norte", 3, 9, 3, 10},
	}
	for _, row := range rows {
		code, out := runCommand(append([]string{"check-config"}, configFiles(t, row.deployment)...)...)
		require.Zero(t, code, out)
		require.NotContains(t, out, "warning")
		objects, err := readObjects(configFiles(t, row.deployment))
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

// Guards against example settings that check-settings refuses once the certificates
// exist, or accepts without them.
func TestExampleSettingsAreValid(t *testing.T) {
	for deployment, vm := range map[string]string{"cluj": "cluj-vm-1", "norte": "norte-vm-1"} {
		file, err := filepath.Abs(filepath.Join(examples, deployment, "settings.jsonc"))
		require.NoError(t, err)
		t.Run(deployment, func(t *testing.T) {
			t.Chdir(t.TempDir())
			code, out := runCommand("check-settings", file)
			require.Equal(t, exitRefused, code)
			require.Contains(t, out, "peers.ca")
			code, out = runCommand("certificates", "certificates", vm)
			require.Zero(t, code, out)
			code, out = runCommand("check-settings", file)
			require.Zero(t, code, out)
		})
	}
}

// serveVM serves the operator API of one VM that uses an in-memory platform.
func serveVM(t *testing.T, s *store.Store) string {
	cache := config.NewCache(config.Options{Store: s})
	sum := sha256.Sum256([]byte("trial-operator"))
	h := operator.New(operator.Options{Configuration: cache, Editor: config.NewEditor(s, cache), Fleet: singleVM{cache}, KeyHashes: []string{hex.EncodeToString(sum[:])}})
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL
}

// singleVM is a fleet of one VM.
type singleVM struct{ cache *config.Cache }

func (singleVM) VMs() []string { return []string{"vm-1"} }

func (a singleVM) Revisions() map[string]int64 { return map[string]int64{"vm-1": a.cache.Revision()} }

// Guards against commands that return a wrong exit code or omit the text on which
// operators rely. Each row is one command; the rows build on each other's changes.
func TestOperatorCommands(t *testing.T) {
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
		{exitOK, "accepted at revision 1", append([]string{"apply"}, configFiles(t, "norte")...)},
		{exitOK, "norte-b", []string{"list", "data-centre"}},
		{exitOK, `"state": "in"`, []string{"get", "data-centre", "norte-a", "--min-revision", "1"}},
		{exitOK, "accepted at revision 2", []string{"drain", "norte-a"}},
		{exitOK, `"state": "out"`, []string{"get", "data-centre", "norte-a"}},
		{exitOK, "accepted at revision 3", []string{"take-back", "norte-a"}},
		{exitOK, "accepted at revision 4", []string{"drain", "--endpoint", "conector-1"}},
		{exitOK, "accepted at revision 5", []string{"roll-out", "start", "asistente-5", "--reason", "tested"}},
		{exitRefused, "takes [", []string{"roll-out", "resume", "asistente-5"}},
		{exitOK, "accepted at revision 6", []string{"withdraw", "asistente-5"}},
		{exitOK, "revision 6 is in force on 1 of 1 VMs", []string{"in-force", "--wait"}},
		{exitOK, "accepted at revision 7", []string{"label", "client-account", "bakers", "shift=early", "old-"}},
		{exitOK, "bakers", []string{"list", "client-account", "--selector", "shift=early|late"}},
		{exitConflict, "The object now:", []string{"label", "client-account", "bakers", "shift=late", "--if-revision", "1"}},
		{exitRefused, `bad.jsonc:3: data-centre "": nmae: an unknown field found; expected the field "name"`, []string{"apply", bad}},
		{exitRefused, "existing data-centre", []string{"delete", "data-centre", "norte-a"}},
		{exitNotFound, "does not exist", []string{"get", "service", "other"}},
		{exitUnauthorized, "unauthorized", []string{"list", "service", "--key", "wrong"}},
		{exitNotAccepted, "no VM answered", []string{"drain", "norte-a", "--vm", "127.0.0.1:1"}},
		{exitRefused, "GOLDCREST_VM", []string{"drain", "norte-a", "--vm", ""}},
		{exitOK, `"revision": 8`, []string{"--json", "serve", "asistente-5"}},
	}
	for _, row := range rows {
		code, out := runCommand(row.args...)
		require.Equal(t, row.code, code, "%v: %s", row.args, out)
		require.Contains(t, out, row.want, "%v", row.args)
	}
	s.SetFaults(store.Faults{Down: true})
	code, out := runCommand("drain", "norte-a")
	require.Equal(t, exitNotAccepted, code, out)
	require.Contains(t, out, "not accepted; nothing is changed")
	require.Equal(t, 8, s.Counts().Puts-s.Counts().Conflicts)
}

// Guards against an explain command that needs a running VM: an engineer on call may
// have only the id of a request and log files.
func TestExplainReadsLogs(t *testing.T) {
	path := filepath.Join(t.TempDir(), "vm-a.log")
	line := `{"vm":"a","request":"r1","outcome":"overloaded","status":503,"time":"2026-01-02T03:04:06Z","message":"request"}`
	require.NoError(t, os.WriteFile(path, []byte(line+"\n"), 0o600))
	code, out := runCommand("explain", "r1", path)
	require.Equal(t, exitOK, code, out)
	require.Contains(t, out, "no endpoint could take it")
	code, out = runCommand("explain", "r2", path)
	require.Equal(t, exitNotFound, code, out)
	code, out = runCommand("explain", "r1", path+".missing")
	require.Equal(t, exitRefused, code, out)
}

// absolutePath returns a path that stays valid after a change of the working directory.
func absolutePath(path string) string {
	abs, err := filepath.Abs(path)
	if err != nil {
		panic(err)
	}
	return abs
}
