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

// envSettings makes this test's program a VM's daemon with that settings file.
const envSettings = "GOLDCREST_TEST_SETTINGS"

func TestMain(m *testing.M) {
	file := os.Getenv(envSettings)
	if file == "" {
		os.Exit(m.Run())
	}
	if err := daemon(file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// daemon runs one VM and prints its operators' address.
func daemon(file string) error {
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

// bench runs daemons as processes before a platform in this one.
type bench struct {
	t        *testing.T
	store    *store.Store
	platform string
}

// process is one VM.
type process struct {
	*exec.Cmd
	operators string
}

// start runs the VM of a data centre of Norte; its name is that of its certificate.
func (b *bench) start(name, dataCentre string) process {
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

// until repeats a command line until it ends as wanted and prints what is wanted.
func (b *bench) until(code int, want string, args ...string) {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(b.t.Context(), time.Minute)
	defer cancel()
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		got, out := goldcrest(args...)
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

// Three daemons, one in each data centre. One is frozen while a version is
// withdrawn, one is killed and replaced while a data centre is drained, and the
// platform goes down. What was accepted is in force on each VM as soon as it is
// back, nothing is accepted in the outage, and the tool's words are true.
func TestOperatorsDayOverProcesses(t *testing.T) {
	t.Setenv("GOLDCREST_KEY", "trial-operator")
	b := &bench{t: t, store: store.New()}
	platform := httptest.NewServer(store.Handler(b.store))
	t.Cleanup(func() {
		platform.CloseClientConnections()
		platform.Close()
	})
	b.platform = platform.URL
	norte := files(t, "norte")
	t.Chdir(t.TempDir())
	code, out := goldcrest("certificates", "certificates", "norte-vm-1", "norte-vm-2", "norte-vm-3", "norte-vm-4")
	require.Zero(t, code, out)
	first, second, third := b.start("norte-vm-1", "norte-a"), b.start("norte-vm-2", "norte-b"), b.start("norte-vm-3", "norte-c")
	t.Setenv("GOLDCREST_VM", first.operators)
	b.until(exitDone, "on 3 of 3 VMs", "in-force")
	b.until(exitDone, "accepted at revision 1", append([]string{"apply"}, norte...)...)

	require.NoError(t, third.Process.Signal(syscall.SIGSTOP))
	b.until(exitDone, "accepted at revision 2", "withdraw", "asistente-5")
	require.NoError(t, third.Process.Signal(syscall.SIGCONT))
	b.until(exitDone, `"state": "withdrawn"`, "get", "model-version", "asistente-5", "--min-revision", "2", "--vm", third.operators)

	require.NoError(t, second.Process.Kill())
	b.until(exitDone, "accepted at revision 3", "drain", "norte-a")
	fourth := b.start("norte-vm-4", "norte-b")
	b.until(exitDone, `"state": "out"`, "get", "data-centre", "norte-a", "--min-revision", "3", "--vm", fourth.operators)

	b.store.SetFaults(store.Faults{Down: true})
	b.until(exitNotAccepted, "nothing is changed", "take-back", "norte-a")
	b.until(exitDone, `"state": "out"`, "get", "data-centre", "norte-a", "--vm", third.operators)
	b.store.SetFaults(store.Faults{})
	b.until(exitDone, "accepted at revision 4", "take-back", "norte-a")
	for _, vm := range []process{first, third, fourth} {
		b.until(exitDone, `"state": "in"`, "get", "data-centre", "norte-a", "--min-revision", "4", "--vm", vm.operators)
	}
}
