package processtest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// binaries is where TestMain built the daemons.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		var err error
		if binaries, err = os.MkdirTemp("", "processtest"); err != nil {
			panic(err)
		}
		defer os.RemoveAll(binaries)
		build := exec.Command("go", "build", "-o", binaries+string(filepath.Separator),
			"goldcrestfork/cmd/goldcrestd", "goldcrestfork/cmd/standin", "goldcrestfork/standin/platformd")
		if out, err := build.CombinedOutput(); err != nil {
			panic(fmt.Sprintf("%v: %s", err, out))
		}
		return m.Run()
	}())
}

// guard only ends a test that would hang.
const guard = 60 * time.Second

// until polls for a state.
func until(t testing.TB, what string, state func() bool) {
	t.Helper()
	for end := time.Now().Add(guard); !state(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			require.Fail(t, "not reached: "+what)
		}
	}
}

// process is one daemon.
type process struct {
	t    testing.TB
	name string
	cmd  *exec.Cmd
	// serving holds the fields of the line by which it says where it serves.
	serving map[string]string
	ended   chan struct{}
	err     error

	mu  sync.Mutex
	log bytes.Buffer
}

// run starts a process and waits until it serves.
func run(t testing.TB, name, binary string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: exec.Command(filepath.Join(binaries, binary), args...), ended: make(chan struct{})}
	out, err := p.cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, p.cmd.Start())
	serving := make(chan map[string]string, 1)
	go p.read(out, serving)
	t.Cleanup(p.kill)
	select {
	case p.serving = <-serving:
	case <-p.ended:
		require.Fail(t, name+" ended", p.text())
	case <-time.After(guard):
		require.Fail(t, name+" doesn't serve", p.text())
	}
	return p
}

// read keeps the log, finds the line "serving" and reaps the process.
func (p *process) read(out io.Reader, serving chan<- map[string]string) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		p.mu.Lock()
		p.log.WriteString(lines.Text() + "\n")
		p.mu.Unlock()
		var fields map[string]any
		if json.Unmarshal(lines.Bytes(), &fields) != nil || fields["message"] != "serving" {
			continue
		}
		texts := make(map[string]string)
		for k, v := range fields {
			texts[k] = fmt.Sprint(v)
		}
		select {
		case serving <- texts:
		default:
		}
	}
	p.err = p.cmd.Wait()
	close(p.ended)
}

func (p *process) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// signal sends a signal, if the process still runs.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends it as kill -9 does and waits.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// ask asks a stand-in or an operators' listener; an answer that is not 2xx is an error.
func ask(method, address, path string, body, into any) error {
	var in io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return err
		}
		in = bytes.NewReader(text)
	}
	req, err := http.NewRequest(method, "http://"+address+path, in)
	if err != nil {
		return err
	}
	resp, err := controls.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s answered %s", path, resp.Status)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// controls bounds a question to a process that is frozen.
var controls = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
