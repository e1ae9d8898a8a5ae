package member

import (
	"context"
	"fmt"
	"time"

	"github.com/qmuntal/stateless"
)

// State is what this VM thinks of another.
type State uint8

const (
	// Listed: on the platform's list or in the settings, not heard of yet.
	Listed State = iota
	// Alive: its beat moves.
	Alive
	// Suspect: a VM that pings it gets no answer; it has some ticks to be heard of again.
	Suspect
	// Down: suspect for too long, or silent.
	Down
	// Left: it said so; final for the incarnation.
	Left
)

var stateNames = [...]string{"listed", "alive", "suspect", "down", "left"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("State(%d)", uint8(s))
}

type trigger uint8

const (
	heard     trigger = iota // its beat moved
	suspected                // a watcher gets no answer
	silent                   // no beat for the time allowed in its state
	left                     // its last word
	restarted                // a higher incarnation
)

// member is one row of the table.
type member struct {
	digest Digest
	state  State
	// advanced is when this VM last learnt of a higher beat.
	advanced time.Time
	// changed is when state last changed.
	changed time.Time
	// listed: on the platform's last list; leaving: marked so there.
	listed, leaving bool
	// hot is the number of messages that will still carry the digest ahead of its turn.
	hot int
	// suspicion is passed on while hotSuspicion lasts.
	suspicion    Suspicion
	hotSuspicion int
	// unanswered is the number of ticks in a row whose ping got no answer.
	unanswered int
}

// machine is one state machine for all rows; the row at hand is in the context.
// One machine a row would cost several kilobytes for each of 400 VMs.
type machine struct{ m *stateless.StateMachine }

type rowKey struct{}

func newMachine() machine {
	m := stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) { return row(ctx).state, nil },
		func(ctx context.Context, s stateless.State) error {
			row(ctx).state = s.(State)
			return nil
		}, stateless.FiringImmediate)
	m.Configure(Listed).Permit(heard, Alive).Permit(silent, Down).Permit(left, Left).Ignore(suspected).Permit(restarted, Alive)
	m.Configure(Alive).Permit(suspected, Suspect).Permit(silent, Down).Permit(left, Left).Ignore(heard).PermitReentry(restarted)
	m.Configure(Suspect).Permit(heard, Alive).Permit(silent, Down).Permit(left, Left).Ignore(suspected).Permit(restarted, Alive)
	m.Configure(Down).Permit(heard, Alive).Permit(left, Left).Ignore(suspected).Ignore(silent).Permit(restarted, Alive)
	// A late digest of a VM that left must not bring it back into address answers.
	m.Configure(Left).Ignore(heard).Ignore(suspected).Ignore(silent).Ignore(left).Permit(restarted, Alive)
	return machine{m: m}
}

func row(ctx context.Context) *member { return ctx.Value(rowKey{}).(*member) }

// fire moves the row and says whether its state changed. A trigger that its state
// does not know is a broken invariant.
func (m machine) fire(r *member, t trigger, now time.Time) bool {
	before := r.state
	if err := m.m.FireCtx(context.WithValue(context.Background(), rowKey{}, r), t); err != nil {
		panic(fmt.Sprintf("member %s in state %v: %v", r.digest.ID, r.state, err))
	}
	if r.state == before && t != restarted {
		return false
	}
	r.changed = now
	return true
}
