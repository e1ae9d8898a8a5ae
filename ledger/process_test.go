package ledger_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/cenkalti/backoff/v5"
	"github.com/stretchr/testify/require"

	"goldcrestfork/durable/httpstore"
	"goldcrestfork/ledger"
	"goldcrestfork/standin/store"
)

// Guards against orders that run twice and against a wrong answer "done". Three VMs, as
// processes over loopback, submit the same orders to one service, each in its own sequence, as
// callers do that send an order again to another VM. One VM is killed while its order runs,
// another is suspended while the others pass its order, and the store is down for a while.

const (
	processVMs    = 3
	processOrders = 60
	killAt        = 7  // number of the run at which its VM is killed; a new process replaces it
	suspendAt     = 15 // number of the run at which its VM is suspended
	resumeAt      = 30
	outageAt      = 35
	outageCalls   = 8 // calls that the store refuses during the outage
)

// modelSeed is the rapid seed of the model test's schedules.
const modelSeed = "20261202"

const (
	envStore   = "LEDGER_TEST_STORE"
	envService = "LEDGER_TEST_SERVICE"
	envVM      = "LEDGER_TEST_VM"
)

func TestMain(m *testing.M) {
	if os.Getenv(envVM) != "" {
		if err := vmProcess(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	// Every CI run uses the same schedules; -rapid.seed on the command line takes precedence.
	if err := flag.Set("rapid.seed", modelSeed); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// vmProcess runs one VM: it submits all orders, starting at an offset of its own.
func vmProcess() error {
	number, err := strconv.Atoi(os.Getenv(envVM))
	if err != nil {
		return err
	}
	l := ledger.New(httpstore.New(os.Getenv(envStore)), nil, nil,
		ledger.Settings{VM: "vm" + strconv.Itoa(number), Incarnation: uint64(os.Getpid())})
	claims := ledger.NewClaims(l, nil)
	for i := range processOrders {
		order := strconv.Itoa((i + number*processOrders/processVMs) % processOrders)
		_, err := backoff.Retry(context.Background(), func() (struct{}, error) {
			return struct{}{}, submitOrder(claims, order)
		})
		if err != nil {
			return err
		}
	}
	claims.Close(context.Background())
	return nil
}

// submitOrder claims, runs and finishes one order, or leaves it to the VM that has claimed it.
// After an error other than a permanent one the order did not run, and the caller submits it
// again.
func submitOrder(claims *ledger.Claims, order string) error {
	ctx := context.Background()
	start, err := claims.Begin(ctx, ledger.ClaimKey{Account: "cluj", IdempotencyKey: order}, 1)
	if err != nil {
		return err
	}
	if start.Repeat != nil {
		if start.Repeat.State == ledger.StateDone && string(start.Repeat.Answer) != order {
			return backoff.Permanent(errors.New("a repeat got another order's answer"))
		}
		return nil
	}
	resp, err := http.Post(os.Getenv(envService)+"?order="+order+"&vm="+os.Getenv(envVM), "", nil)
	if err != nil {
		_ = claims.Finish(ctx, start.Ticket, ledger.Outcome{})
		return nil
	}
	answer, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	_ = claims.Finish(ctx, start.Ticket, ledger.Outcome{Known: err == nil, Status: resp.StatusCode, Answer: answer})
	return nil
}

// service counts the runs of each order and triggers the failures at certain runs.
type service struct {
	store  *store.Store
	refuse atomic.Int64 // calls until the end of the outage
	urls   [2]string
	exited sync.WaitGroup

	mu        sync.Mutex
	runs      map[string]int
	total     int
	vms       [processVMs]*exec.Cmd
	killed    string
	suspended *exec.Cmd
	failed    []string
}

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	order := r.URL.Query().Get("order")
	vm, _ := strconv.Atoi(r.URL.Query().Get("vm"))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[order]++
	s.total++
	switch s.total {
	case killAt:
		s.killed = order
		s.signal(s.vms[vm], syscall.SIGKILL)
		s.start(vm)
	case suspendAt:
		s.suspended = s.vms[vm]
		s.signal(s.suspended, syscall.SIGSTOP)
	case resumeAt:
		s.signal(s.suspended, syscall.SIGCONT)
	case outageAt:
		s.store.SetFaults(store.Faults{Down: true})
		s.refuse.Store(outageCalls)
	}
	_, _ = io.WriteString(w, order)
}

func (s *service) signal(vm *exec.Cmd, sig syscall.Signal) {
	if err := vm.Process.Signal(sig); err != nil {
		s.failed = append(s.failed, err.Error())
	}
}

// platform serves the store and ends the outage after a number of calls.
func (s *service) platform() http.Handler {
	h := store.Handler(s.store)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r)
		if s.refuse.Load() > 0 && s.refuse.Add(-1) == 0 {
			s.store.SetFaults(store.Faults{})
		}
	})
}

// start starts a VM's process. Callers hold s.mu.
func (s *service) start(vm int) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), envStore+"="+s.urls[0], envService+"="+s.urls[1], envVM+"="+strconv.Itoa(vm))
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		s.failed = append(s.failed, err.Error())
		return
	}
	s.vms[vm] = cmd
	s.exited.Go(func() {
		err := cmd.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		if err != nil && s.vms[vm] == cmd {
			s.failed = append(s.failed, fmt.Sprintf("vm %d: %v", vm, err))
		}
	})
}

func TestProcesses(t *testing.T) {
	s := &service{store: store.New(), runs: map[string]int{}}
	platform := httptest.NewServer(s.platform())
	defer platform.Close()
	endpoint := httptest.NewServer(s)
	defer endpoint.Close()
	s.urls = [2]string{platform.URL, endpoint.URL}
	s.mu.Lock()
	for vm := range processVMs {
		s.start(vm)
	}
	s.mu.Unlock()
	s.exited.Wait()

	s.mu.Lock()
	defer s.mu.Unlock()
	require.Empty(t, s.failed)
	require.Len(t, s.runs, processOrders, "not every order ran")
	for order, runs := range s.runs {
		require.Equal(t, 1, runs, "order %s", order)
	}
	claims := ledger.NewClaims(ledger.New(s.store, nil, nil, ledger.Settings{VM: "reader"}), nil)
	for order := range s.runs {
		start, err := claims.Begin(t.Context(), ledger.ClaimKey{Account: "cluj", IdempotencyKey: order}, 1)
		require.NoError(t, err)
		require.NotNil(t, start.Repeat)
		want := ledger.StateDone
		if order == s.killed {
			want = ledger.StateUnknown
		}
		require.Equal(t, want, start.Repeat.State, "order %s", order)
	}
}
