package ledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"goldcrestfork/durable"
	"goldcrestfork/standin/store"
)

// Several VMs decide and claim a few keys under random schedules of outages,
// lost replies, late writes, freezes, deaths at any call and peer calls that
// are lost or late. What callers see must stay true: one value a key, at most
// one run a key, nothing acknowledged is lost, nothing refused takes effect.

const (
	modelVMs   = 3
	modelKeys  = 6
	modelSeal  = 150 // seal and merge every few entries
	modelSteps = 40
	modelShard = 11
)

// All keys live in one shard, so that its head is sealed again and again.
var (
	modelPins   = keysOfShard(modelShard, modelKeys)
	modelClaims = claimsOfShard(modelShard, modelKeys)
)

func claimsOfShard(shard, n int) []ClaimKey {
	var out []ClaimKey
	for i := 0; len(out) < n; i++ {
		if k := (ClaimKey{"acct", fmt.Sprint(i)}); k.digest().Shard() == shard {
			out = append(out, k)
		}
	}
	return out
}

type action struct {
	Kind  int
	VM    int
	Key   int
	Count int
	Flag  bool
	Wait  time.Duration
}

const (
	actDecide = iota
	actClaim
	actFaults
	actHold
	actOutage
	actFreeze
	actDie
	actNetwork
	actSleep
	actKinds
)

func drawAction(t *rapid.T) action {
	return action{
		Kind:  rapid.IntRange(0, actKinds-1).Draw(t, "kind"),
		VM:    rapid.IntRange(0, modelVMs-1).Draw(t, "vm"),
		Key:   rapid.IntRange(0, modelKeys-1).Draw(t, "key"),
		Count: rapid.IntRange(1, 4).Draw(t, "count"),
		Flag:  rapid.Bool().Draw(t, "flag"),
		Wait:  time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond,
	}
}

func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		actions := rapid.SliceOfN(rapid.Custom(drawAction), 5, modelSteps).Draw(rt, "actions")
		seed := rapid.Uint64().Draw(rt, "seed")
		var broken []string
		synctest.Test(t, func(*testing.T) { broken = newModel(seed).run(actions) })
		if len(broken) > 0 {
			rt.Fatalf("%v", broken)
		}
	})
}

type modelVM struct {
	name   string
	store  *vmStore
	ledger *Ledger
	claims *Claims
}

// model is the VMs and what their callers have seen.
type model struct {
	store *store.Store
	net   *network
	vms   []*modelVM
	calls sync.WaitGroup
	rand  *rand.Rand // the schedule's own
	every []*modelVM // all that were ever started

	mu       sync.Mutex
	values   int
	decided  map[Key]string   // acknowledged value
	refused  map[Key][]string // values whose decision was refused
	runs     map[Key]int      // requests that left their VM
	finished map[Key]string   // acknowledged answer
	broken   []string         // what should not have happened
}

func newModel(seed uint64) *model {
	m := &model{
		store:    store.New(),
		net:      &network{peers: map[string]*Ledger{}},
		rand:     rand.New(rand.NewPCG(seed, 1)),
		decided:  map[Key]string{},
		refused:  map[Key][]string{},
		runs:     map[Key]int{},
		finished: map[Key]string{},
	}
	for i := range modelVMs {
		m.net.owners = append(m.net.owners, fmt.Sprintf("vm%d", i))
		m.vms = append(m.vms, nil)
		m.start(i)
	}
	return m
}

// start replaces a VM by a new one in the same place.
func (m *model) start(i int) {
	vm := &modelVM{name: fmt.Sprintf("vm%d", i), store: &vmStore{Store: m.store}}
	s := Settings{VM: vm.name, Incarnation: uint64(len(m.every)), WritesPerSecond: -1}
	vm.ledger = New(vm.store, link{m.net, vm.name, m.rand.IntN(modelVMs)}, nil, s)
	vm.ledger.sealAt = modelSeal
	vm.ledger.jitter = func(d time.Duration) time.Duration { return d / 2 }
	vm.claims = NewClaims(vm.ledger, nil)
	m.net.mu.Lock()
	m.net.peers[vm.name] = vm.ledger
	m.net.mu.Unlock()
	m.vms[i] = vm
	m.every = append(m.every, vm)
}

func (m *model) run(actions []action) []string {
	for _, a := range actions {
		m.act(a)
		time.Sleep(a.Wait / 10)
	}
	m.heal()
	m.calls.Wait()
	m.check()
	return m.broken
}

func (m *model) act(a action) {
	vm := m.vms[a.VM]
	switch a.Kind {
	case actDecide:
		m.calls.Go(func() { m.decide(vm, modelPins[a.Key], a) })
	case actClaim:
		m.calls.Go(func() { m.claim(vm, modelClaims[a.Key], a) })
	case actFaults:
		f := store.Faults{LoseReplies: a.Count, Delay: a.Wait / 100}
		if a.Flag {
			f = store.Faults{RefuseWrites: a.Count, Delay: a.Wait / 100}
		}
		m.store.SetFaults(f)
	case actHold:
		m.store.SetFaults(store.Faults{HoldWrites: a.Count, HoldFor: a.Wait + 1})
	case actOutage:
		m.store.SetFaults(store.Faults{Down: a.Flag})
	case actFreeze:
		vm.store.freeze()
		time.AfterFunc(3*a.Wait, vm.store.resume)
	case actDie:
		vm.store.dieAfter(a.Count, a.Flag)
		m.start(a.VM)
	case actNetwork:
		m.net.mu.Lock()
		for range a.Count {
			m.net.faults = append(m.net.faults, netFault(m.rand.IntN(int(netFaults))))
		}
		m.net.mu.Unlock()
	case actSleep:
		time.Sleep(a.Wait)
	}
}

// unique gives each call a value of its own.
func (m *model) unique() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values++
	return fmt.Sprintf("value-%08d", m.values)
}

func (m *model) fail(format string, args ...any) {
	m.broken = append(m.broken, fmt.Sprintf(format, args...))
}

func (m *model) decide(vm *modelVM, k Key, a action) {
	value := m.unique()
	ctx, cancel := context.Background(), func() {}
	if a.Flag { // an impatient caller
		ctx, cancel = context.WithTimeout(ctx, a.Wait/50+1)
	}
	defer cancel()
	won, mine, err := vm.ledger.Decide(ctx, k, []byte(value), pinHours)
	if !vm.store.alive() {
		return // its caller saw a cut connection
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case errors.Is(err, ErrUnavailable):
		m.refused[k] = append(m.refused[k], value)
	case err != nil:
	case m.decided[k] != "" && m.decided[k] != string(won):
		m.fail("key decided twice: %s and %s", m.decided[k], won)
	case mine != (string(won) == value):
		m.fail("mine is %v for %s, own value %s", mine, won, value)
	default:
		m.decided[k] = string(won)
	}
}

// claim runs one caller's request: claimed, dispatched or not, and finished.
func (m *model) claim(vm *modelVM, k ClaimKey, a action) {
	m.mu.Lock()
	recorded := m.finished[k.digest()]
	m.mu.Unlock()
	start, err := vm.claims.Begin(context.Background(), k, 1)
	vm.store.waitThaw()
	if err != nil || !vm.store.alive() {
		return
	}
	if start.Repeat != nil {
		m.repeat(k.digest(), start.Repeat, recorded)
		return
	}
	if a.Count == 1 {
		_ = vm.claims.CloseNotRun(context.Background(), start.Ticket)
		return
	}
	answer := m.unique()
	m.mu.Lock()
	m.runs[k.digest()]++
	m.mu.Unlock()
	time.Sleep(a.Wait)
	vm.store.waitThaw()
	if !vm.store.alive() {
		return
	}
	err = vm.claims.Finish(context.Background(), start.Ticket, Outcome{Known: a.Flag, Status: 200, Answer: []byte(answer)})
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil && a.Flag && vm.store.alive() {
		m.finished[k.digest()] = answer
	}
	if errors.Is(err, ErrStale) {
		m.fail("the claim of a dispatched request was closed otherwise")
	}
}

// repeat checks what a later caller was told; recorded is the answer that had
// been acknowledged before it called.
func (m *model) repeat(k Key, c *Claim, recorded string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.State == StateDone && m.runs[k] == 0 {
		m.fail("a repeat was told done of a request that never ran")
	}
	if recorded != "" && string(c.Answer) != recorded {
		m.fail("a repeat got state %v answer %q after %q was recorded", c.State, c.Answer, recorded)
	}
}

// heal ends all faults and gives VMs time to settle.
func (m *model) heal() {
	m.store.SetFaults(store.Faults{})
	for _, vm := range m.every {
		vm.store.resume()
	}
	time.Sleep(time.Minute)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for _, vm := range m.every {
		left := vm.claims.Close(ctx)
		vm.ledger.Wait()
		if left > 0 && vm.store.alive() {
			m.fail("a living VM could not settle %d outcomes", left)
		}
	}
	m.store.Release()
	time.Sleep(time.Minute)
}

// check reads the store as a VM does that has just started.
func (m *model) check() {
	for i := range modelKeys {
		k := modelPins[i]
		e := m.read(k)
		if want := m.decided[k]; want != "" && (e == nil || string(e.Value) != want) {
			m.fail("acknowledged value %s is lost: %v", want, e)
		}
		for _, v := range m.refused[k] {
			if e != nil && string(e.Value) == v {
				m.fail("refused value %s took effect", v)
			}
		}
		k = modelClaims[i].digest()
		e = m.read(k)
		if m.runs[k] > 1 {
			m.fail("a request ran %d times", m.runs[k])
		}
		if want := m.finished[k]; want != "" && (e == nil || string(e.Value) != want) {
			m.fail("recorded answer %s is lost: %v", want, e)
		}
		if e != nil && e.State == StateNotRun && m.runs[k] > 0 {
			m.fail("a request that ran is recorded as not run")
		}
	}
}

func (m *model) read(k Key) *Entry {
	l := New(m.store, nil, nil, Settings{VM: "reader"})
	sh := l.shard(k.Shard())
	if err := sh.load(); err != nil && !errors.Is(err, durable.ErrNotFound) {
		m.fail("can't read back: %v", err)
		return nil
	}
	return sh.state.lookup(k, hourOf(time.Now()))
}
