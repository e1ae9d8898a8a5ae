package member

import (
	"context"
	"fmt"
	"time"

	"github.com/qmuntal/stateless"
)

// State is this VM's view of another VM's liveness.
type State uint8

const (
	// Listed is a VM on the platform's list of which no digest has arrived yet.
	Listed State = iota
	// Alive is a VM whose beat increases.
	Alive
	// Suspect is a VM that did not answer pings; it has some ticks to show a higher beat.
	Suspect
	// Down is a VM that was suspect for too long, or silent.
	Down
	// Left is a VM that announced its stop; this state is final for the incarnation.
	Left
)

var stateNames = [...]string{"listed", "alive", "suspect", "down", "left"}

// String returns the state's name, or "State(N)" for an unknown state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("State(%d)", uint8(s))
}

type trigger uint8

const (
	beatAdvanced trigger = iota // the VM's beat increased
	suspected                   // a VM that pings it gets no answer
	silent                      // no beat for the time allowed in its state
	left                        // the VM's last digest arrived
	restarted                   // a higher incarnation was seen
)

// member is one row of the table.
type member struct {
	digest Digest
	state  State
	// advanced is when this VM last learnt of a higher beat.
	advanced time.Time
	// changed is when state last changed.
	changed time.Time
	// listed is true if the VM is on the platform's last list; leaving, if it is marked
	// as leaving there.
	listed, leaving bool
	// urgentCopies is the number of messages that will still carry the digest early.
	urgentCopies int
	// suspicion is passed on in the next suspicionCopies messages.
	suspicion       Suspicion
	suspicionCopies int
	// unanswered is the number of consecutive ticks whose ping got no answer.
	unanswered int
}

// machine is one state machine shared by all rows; the current row is in the context.
// One machine per row would take several kilobytes for each of 400 VMs.
type machine struct{ m *stateless.StateMachine }

type rowKey struct{}

func newMachine() machine {
	m := stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) { return row(ctx).state, nil },
		func(ctx context.Context, s stateless.State) error {
			row(ctx).state = s.(State)
			return nil
		}, stateless.FiringImmediate)
	m.Configure(Listed).Permit(beatAdvanced, Alive).Permit(silent, Down).Permit(left, Left).Ignore(suspected).Permit(restarted, Alive)
	m.Configure(Alive).Permit(suspected, Suspect).Permit(silent, Down).Permit(left, Left).Ignore(beatAdvanced).PermitReentry(restarted)
	m.Configure(Suspect).Permit(beatAdvanced, Alive).Permit(silent, Down).Permit(left, Left).Ignore(suspected).Permit(restarted, Alive)
	m.Configure(Down).Permit(beatAdvanced, Alive).Permit(left, Left).Ignore(suspected).Ignore(silent).Permit(restarted, Alive)
	// A late digest of a VM that left must not put the VM back into address answers.
	m.Configure(Left).Ignore(beatAdvanced).Ignore(suspected).Ignore(silent).Ignore(left).Permit(restarted, Alive)
	return machine{m: m}
}

func row(ctx context.Context) *member { return ctx.Value(rowKey{}).(*member) }

// fire applies a trigger to the row and reports whether its state changed. It panics on
// a trigger that is not defined for the state, which is a broken invariant.
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
