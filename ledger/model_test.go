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

// Guards the ledger's guarantees: each key has one value, a request runs at most once, nothing
// acknowledged is lost, and nothing refused takes effect. Several VMs decide and claim a few
// keys under random schedules of outages, lost replies, late writes, suspensions, crashes at any
// call, and peer calls that are lost or late.

const (
	modelVMs      = 3
	modelKeys     = 6
	modelSealSize = 150 // a low threshold: seals and merges every few entries
	modelSteps    = 40
	modelShard    = 11
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
	actSuspend
	actCrash
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
		synctest.Test(t, func(*testing.T) { broken = newModel(seed).runActions(actions) })
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

// model holds the VMs and the results that their callers got.
type model struct {
	store   *store.Store
	net     *network
	vms     []*modelVM
	calls   sync.WaitGroup
	rand    *rand.Rand // random source of the schedule
	started []*modelVM // all VMs that were started

	mu              sync.Mutex
	valueCount      int
	decidedValues   map[Key]string   // acknowledged value
	refusedValues   map[Key][]string // values whose decision was refused
	runs            map[Key]int      // dispatched requests
	recordedAnswers map[Key]string   // acknowledged answer
	violations      []string         // violated guarantees
}

func newModel(seed uint64) *model {
	m := &model{
		store:           store.New(),
		net:             &network{peers: map[string]*Ledger{}},
		rand:            rand.New(rand.NewPCG(seed, 1)),
		decidedValues:   map[Key]string{},
		refusedValues:   map[Key][]string{},
		runs:            map[Key]int{},
		recordedAnswers: map[Key]string{},
	}
	for i := range modelVMs {
		m.net.owners = append(m.net.owners, fmt.Sprintf("vm%d", i))
		m.vms = append(m.vms, nil)
		m.start(i)
	}
	return m
}

// start starts a VM, in place of the earlier one with this index.
func (m *model) start(i int) {
	vm := &modelVM{name: fmt.Sprintf("vm%d", i), store: &vmStore{Store: m.store}}
	s := Settings{VM: vm.name, Incarnation: uint64(len(m.started)), WritesPerSecond: -1}
	vm.ledger = New(vm.store, link{m.net, vm.name, m.rand.IntN(modelVMs)}, nil, s)
	vm.ledger.sealAt = modelSealSize
	vm.ledger.jitter = func(d time.Duration) time.Duration { return d / 2 }
	vm.claims = NewClaims(vm.ledger, nil)
	m.net.mu.Lock()
	m.net.peers[vm.name] = vm.ledger
	m.net.mu.Unlock()
	m.vms[i] = vm
	m.started = append(m.started, vm)
}

func (m *model) runActions(actions []action) []string {
	for _, a := range actions {
		m.perform(a)
		time.Sleep(a.Wait / 10)
	}
	m.heal()
	m.calls.Wait()
	m.check()
	return m.violations
}

func (m *model) perform(a action) {
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
	case actSuspend:
		vm.store.suspend()
		time.AfterFunc(3*a.Wait, vm.store.resume)
	case actCrash:
		vm.store.crashAfter(a.Count, a.Flag)
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

// uniqueValue returns a value that no other call gets.
func (m *model) uniqueValue() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.valueCount++
	return fmt.Sprintf("value-%08d", m.valueCount)
}

func (m *model) reportViolation(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

func (m *model) decide(vm *modelVM, k Key, a action) {
	value := m.uniqueValue()
	ctx, cancel := context.Background(), func() {}
	if a.Flag { // a caller with a short timeout
		ctx, cancel = context.WithTimeout(ctx, a.Wait/50+1)
	}
	defer cancel()
	won, mine, err := vm.ledger.Decide(ctx, k, []byte(value), pinHours)
	if !vm.store.alive() {
		return // the caller's connection broke
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case errors.Is(err, ErrUnavailable):
		m.refusedValues[k] = append(m.refusedValues[k], value)
	case err != nil:
	case m.decidedValues[k] != "" && m.decidedValues[k] != string(won):
		m.reportViolation("key decided twice: %s and %s", m.decidedValues[k], won)
	case mine != (string(won) == value):
		m.reportViolation("mine is %v for %s, own value %s", mine, won, value)
	default:
		m.decidedValues[k] = string(won)
	}
}

// claim runs one caller's request: it claims the key, dispatches the request or not, and
// finishes it.
func (m *model) claim(vm *modelVM, k ClaimKey, a action) {
	m.mu.Lock()
	recorded := m.recordedAnswers[k.digest()]
	m.mu.Unlock()
	start, err := vm.claims.Begin(context.Background(), k, 1)
	vm.store.waitUntilResumed()
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
	answer := m.uniqueValue()
	m.mu.Lock()
	m.runs[k.digest()]++
	m.mu.Unlock()
	time.Sleep(a.Wait)
	vm.store.waitUntilResumed()
	if !vm.store.alive() {
		return
	}
	err = vm.claims.Finish(context.Background(), start.Ticket, Outcome{Known: a.Flag, Status: 200, Answer: []byte(answer)})
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil && a.Flag && vm.store.alive() {
		m.recordedAnswers[k.digest()] = answer
	}
	if errors.Is(err, ErrClaimClosed) {
		m.reportViolation("the claim of a dispatched request is closed with another outcome")
	}
}

// repeat checks the result that a later caller got; recorded is the answer that had been
// acknowledged before its call.
func (m *model) repeat(k Key, c *Claim, recorded string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.State == StateDone && m.runs[k] == 0 {
		m.reportViolation("a repeat got the state done for a request that never ran")
	}
	if recorded != "" && string(c.Answer) != recorded {
		m.reportViolation("a repeat got state %v answer %q after %q was recorded", c.State, c.Answer, recorded)
	}
}

// heal ends all faults and waits until the VMs have settled.
func (m *model) heal() {
	m.store.SetFaults(store.Faults{})
	for _, vm := range m.started {
		vm.store.resume()
	}
	time.Sleep(time.Minute)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for _, vm := range m.started {
		left := vm.claims.Close(ctx)
		vm.ledger.Wait()
		if left > 0 && vm.store.alive() {
			m.reportViolation("a living VM could not settle %d outcomes", left)
		}
	}
	m.store.Release()
	time.Sleep(time.Minute)
}

// check compares the store, as a newly started VM reads it, with what callers saw.
func (m *model) check() {
	for i := range modelKeys {
		k := modelPins[i]
		e := m.readEntry(k)
		if want := m.decidedValues[k]; want != "" && (e == nil || string(e.Value) != want) {
			m.reportViolation("acknowledged value %s is lost: %v", want, e)
		}
		for _, v := range m.refusedValues[k] {
			if e != nil && string(e.Value) == v {
				m.reportViolation("refused value %s took effect", v)
			}
		}
		k = modelClaims[i].digest()
		e = m.readEntry(k)
		if m.runs[k] > 1 {
			m.reportViolation("a request ran %d times", m.runs[k])
		}
		if want := m.recordedAnswers[k]; want != "" && (e == nil || string(e.Value) != want) {
			m.reportViolation("recorded answer %s is lost: %v", want, e)
		}
		if e != nil && e.State == StateNotRun && m.runs[k] > 0 {
			m.reportViolation("a request that ran is recorded as not run")
		}
	}
}

func (m *model) readEntry(k Key) *Entry {
	l := New(m.store, nil, nil, Settings{VM: "reader"})
	sh := l.shard(k.Shard())
	if err := sh.loadHead(); err != nil && !errors.Is(err, durable.ErrNotFound) {
		m.reportViolation("can't read back: %v", err)
		return nil
	}
	return sh.state.lookup(k, hourOf(time.Now()))
}
