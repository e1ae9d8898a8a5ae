package rollouts

import (
	"github.com/gravitational/trace"
	"github.com/qmuntal/stateless"

	"goldcrestfork/config"
	"goldcrestfork/policy/rollout"
)

// newMachine returns a state machine with the actions that the controller may take in
// each state. Done and rolled back are final for the controller; only an operator can
// restart such a roll-out.
func newMachine(state config.RollOutState) *stateless.StateMachine {
	m := stateless.NewStateMachine(state)
	m.Configure(config.RollOutRunning).
		PermitReentry(rollout.Advance).
		Permit(rollout.Pause, config.RollOutPaused).
		Permit(rollout.RollBack, config.RollOutRolledBack).
		Permit(rollout.Finish, config.RollOutDone)
	m.Configure(config.RollOutPaused).
		Permit(rollout.RollBack, config.RollOutRolledBack)
	m.Configure(config.RollOutRolledBack)
	m.Configure(config.RollOutDone)
	return m
}

// ReasonPrefix starts each reason that this package writes. It distinguishes a pause by
// the controller from a pause by an operator.
const ReasonPrefix = "controller: "

// apply changes r according to the verdict.
func apply(r *config.RollOut, v rollout.Verdict) error {
	m := newMachine(r.State)
	if err := m.Fire(v.Action); err != nil {
		return trace.BadParameter("roll-out %s is %s and can't %s", r.Name, r.State, v.Action)
	}
	if v.Action == rollout.Advance {
		if r.Step+1 >= len(r.Steps) {
			return trace.BadParameter("roll-out %s has no step after %d", r.Name, r.Step)
		}
		r.Step++
	}
	r.State = m.MustState().(config.RollOutState)
	r.Reason = ReasonPrefix + v.Reason
	return nil
}
