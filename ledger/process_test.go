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

// Three VMs, as processes over loopback, bring the same orders to one service,
// each in its own sequence, as callers do who send an order again elsewhere. A
// VM is killed while its order runs, another is frozen there while the others
// pass its order, and the store goes down for a while. No order may run twice,
// and a VM that says "done" must be right.

const (
	processVMs    = 3
	processOrders = 60
	killAt        = 7  // the order at which its VM is killed; another takes its place
	freezeAt      = 15 // the order at which its VM is frozen
	thawAt        = 30
	outageAt      = 35
	outageCalls   = 8 // calls that the store refuses before it is back
)

// modelSeed of the model test's schedules.
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
	// The same schedules in each run of CI; -rapid.seed on the command line wins.
	if err := flag.Set("rapid.seed", modelSeed); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// vmProcess brings all orders, starting at a place of its own.
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
			return struct{}{}, bring(claims, order)
		})
		if err != nil {
			return err
		}
	}
	claims.Close(context.Background())
	return nil
}

// bring claims, runs and finishes one order, or leaves it to whom it belongs;
// an error says "not run", and the order is brought again.
func bring(claims *ledger.Claims, order string) error {
	ctx := context.Background()
	start, err := claims.Begin(ctx, ledger.ClaimKey{Account: "cluj", IdempotencyKey: order}, 1)
	if err != nil {
		return err
	}
	if start.Repeat != nil {
		if start.Repeat.State == ledger.StateDone && string(start.Repeat.Answer) != order {
			return backoff.Permanent(errors.New("told done with another order's answer"))
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

// service counts what runs and brings the failures about at certain orders.
type service struct {
	store  *store.Store
	refuse atomic.Int64 // calls until the outage ends
	urls   [2]string
	exited sync.WaitGroup

	mu     sync.Mutex
	runs   map[string]int
	total  int
	vms    [processVMs]*exec.Cmd
	killed string
	frozen *exec.Cmd
	failed []string
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
	case freezeAt:
		s.frozen = s.vms[vm]
		s.signal(s.frozen, syscall.SIGSTOP)
	case thawAt:
		s.signal(s.frozen, syscall.SIGCONT)
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

// platform serves the store; the outage ends after a number of calls.
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
	require.Len(t, s.runs, processOrders, "every order ran")
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
