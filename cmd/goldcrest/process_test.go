package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"goldcrestfork/router/settings"
	"goldcrestfork/router/vm"
	"goldcrestfork/standin/store"
)

// envSettings names the environment variable that holds the path of a settings file.
// If it is set, the test binary runs a VM with these settings instead of the tests.
const envSettings = "GOLDCREST_TEST_SETTINGS"

func TestMain(m *testing.M) {
	file := os.Getenv(envSettings)
	if file == "" {
		os.Exit(m.Run())
	}
	if err := runDaemon(file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runDaemon runs one VM and prints the address of its operator API.
func runDaemon(file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	v, err := vm.New(s, zerolog.Nop())
	if err != nil {
		return err
	}
	fmt.Println(v.OperatorsAddress())
	return v.Run(context.Background())
}

// testbed runs VMs as child processes against a platform stand-in in the test process.
type testbed struct {
	t        *testing.T
	store    *store.Store
	platform string
}

// process is the process of one VM.
type process struct {
	*exec.Cmd
	operators string // address of the operator API
}

// startVM starts a VM with the settings of the example "norte". The name must be that
// of one of the VM certificates.
func (b *testbed) startVM(name, dataCentre string) process {
	b.t.Helper()
	example, err := os.ReadFile(filepath.Join(examples, "norte", "settings.jsonc"))
	require.NoError(b.t, err)
	text := strings.NewReplacer(
		"norte-vm-1", name, `"dataCentre": "norte-a"`, fmt.Sprintf("%q: %q", "dataCentre", dataCentre),
		"10.20.0.1:8080", "127.0.0.1:0", "10.20.0.1:9090", "127.0.0.1:0", "10.20.0.1:7946", "127.0.0.1:0",
		`"10.20.0.2:7946"`, "", `"url": "http://10.20.0.100:7000"`, fmt.Sprintf(`"url": %q, "register": true`, b.platform),
	).Replace(string(example))
	file := filepath.Join(b.t.TempDir(), "settings.jsonc")
	require.NoError(b.t, os.WriteFile(file, []byte(text), 0o600))
	p := process{Cmd: exec.Command(os.Args[0])}
	p.Env = append(os.Environ(), envSettings+"="+file)
	p.Stderr = os.Stderr
	out, err := p.StdoutPipe()
	require.NoError(b.t, err)
	require.NoError(b.t, p.Start())
	b.t.Cleanup(func() {
		_ = p.Process.Kill()
		_ = p.Wait()
	})
	lines := bufio.NewScanner(out)
	require.True(b.t, lines.Scan(), "the daemon did not start")
	p.operators = lines.Text()
	return p
}

// awaitCommand repeats a command until it ends with the given exit code and its
// output contains want.
func (b *testbed) awaitCommand(code int, want string, args ...string) {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(b.t.Context(), time.Minute)
	defer cancel()
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		got, out := runCommand(args...)
		if got == code && strings.Contains(out, want) {
			return
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			b.t.Fatalf("%v: %d, %s", args, got, out)
		}
	}
}

// Guards against an accepted change that a resumed or replaced VM lacks, and against a
// change that is accepted, or whose outcome is reported wrongly, while the platform is
// down. Of three VMs in three data centres, one is suspended while a version is withdrawn,
// and one is killed and replaced while a data centre is drained.
func TestOperatorsDayOverProcesses(t *testing.T) {
	t.Setenv("GOLDCREST_KEY", "trial-operator")
	b := &testbed{t: t, store: store.New()}
	platform := httptest.NewServer(store.Handler(b.store))
	t.Cleanup(func() {
		platform.CloseClientConnections()
		platform.Close()
	})
	b.platform = platform.URL
	norte := configFiles(t, "norte")
	t.Chdir(t.TempDir())
	code, out := runCommand("certificates", "certificates", "norte-vm-1", "norte-vm-2", "norte-vm-3", "norte-vm-4")
	require.Zero(t, code, out)
	first, second, third := b.startVM("norte-vm-1", "norte-a"), b.startVM("norte-vm-2", "norte-b"), b.startVM("norte-vm-3", "norte-c")
	t.Setenv("GOLDCREST_VM", first.operators)
	b.awaitCommand(exitOK, "on 3 of 3 VMs", "in-force")
	b.awaitCommand(exitOK, "accepted at revision 1", append([]string{"apply"}, norte...)...)

	require.NoError(t, third.Process.Signal(syscall.SIGSTOP))
	b.awaitCommand(exitOK, "accepted at revision 2", "withdraw", "asistente-5")
	require.NoError(t, third.Process.Signal(syscall.SIGCONT))
	b.awaitCommand(exitOK, `"state": "withdrawn"`, "get", "model-version", "asistente-5", "--min-revision", "2", "--vm", third.operators)

	require.NoError(t, second.Process.Kill())
	b.awaitCommand(exitOK, "accepted at revision 3", "drain", "norte-a")
	fourth := b.startVM("norte-vm-4", "norte-b")
	b.awaitCommand(exitOK, `"state": "out"`, "get", "data-centre", "norte-a", "--min-revision", "3", "--vm", fourth.operators)

	b.store.SetFaults(store.Faults{Down: true})
	b.awaitCommand(exitNotAccepted, "nothing is changed", "take-back", "norte-a")
	b.awaitCommand(exitOK, `"state": "out"`, "get", "data-centre", "norte-a", "--vm", third.operators)
	b.store.SetFaults(store.Faults{})
	b.awaitCommand(exitOK, "accepted at revision 4", "take-back", "norte-a")
	for _, vm := range []process{first, third, fourth} {
		b.awaitCommand(exitOK, `"state": "in"`, "get", "data-centre", "norte-a", "--min-revision", "4", "--vm", vm.operators)
	}
}
