package rollouts

import (
	"github.com/gravitational/trace"
	"github.com/qmuntal/stateless"

	"goldcrestfork/config"
	"goldcrestfork/policy/rollout"
)

// newMachine holds which action may follow which state. Done and rolled back are
// final for the controller: only an operator starts such a roll-out again.
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

// ReasonPrefix marks the reasons this package writes; by it a pause of the
// controller's is told from an operator's.
const ReasonPrefix = "controller: "

// apply changes r as the verdict says.
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
