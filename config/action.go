package config

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/qmuntal/stateless"
)

// Action is what an operator does to one object, named as on the command line.
type Action string

// The actions of operators.
const (
	// ActionWithdraw keeps a model version from all new work; ActionServe ends that.
	ActionWithdraw Action = "withdraw"
	ActionServe    Action = "serve"
	// ActionDrain takes a data centre or an endpoint out; ActionTakeBack brings it back.
	ActionDrain    Action = "drain"
	ActionTakeBack Action = "take-back"
	// ActionStart, ActionPause, ActionResume and ActionRollBack drive a roll-out.
	ActionStart    Action = "start"
	ActionPause    Action = "pause"
	ActionResume   Action = "resume"
	ActionRollBack Action = "roll-back"
)

// OperatorReason starts the reason of a roll-out's state that an operator set;
// the controller leaves such a state alone.
const OperatorReason = "operator: "

// actions lists what each kind takes.
var actions = map[Kind]map[Action]func(Object, string) error{
	KindVersion: {
		ActionWithdraw: setVersion(VersionWithdrawn),
		ActionServe:    setVersion(VersionServing),
	},
	KindDataCentre: {
		ActionDrain:    setDataCentre(DataCentreOut),
		ActionTakeBack: setDataCentre(DataCentreIn),
	},
	KindEndpoint: {
		ActionDrain:    setEndpoint(EndpointLeaving),
		ActionTakeBack: setEndpoint(EndpointServing),
	},
	KindRollOut: {
		ActionStart:    fireRollOut(ActionStart),
		ActionPause:    fireRollOut(ActionPause),
		ActionResume:   fireRollOut(ActionResume),
		ActionRollBack: fireRollOut(ActionRollBack),
	},
}

// NewAction makes the change for an action; the reason is kept where the kind has
// room for it. It is made on the object as it stands when the change is accepted,
// so that it never loses a race: a withdrawal must not.
func NewAction(kind Kind, name string, action Action, reason string) (Change, error) {
	edit, ok := actions[kind][action]
	if !ok {
		known := slices.Sorted(maps.Keys(actions[kind]))
		return Change{}, Problems{{Kind: kind, Name: name, Field: "action", Got: fmt.Sprintf("%q", action), Want: "one of " + join(known)}}
	}
	return Change{Op: OpEdit, Kind: kind, Name: name, Edit: func(o Object) error { return edit(o, reason) }}, nil
}

func setVersion(state VersionState) func(Object, string) error {
	return func(o Object, _ string) error {
		o.(*ModelVersion).State = state
		return nil
	}
}

func setDataCentre(state DataCentreState) func(Object, string) error {
	return func(o Object, _ string) error {
		o.(*DataCentre).State = state
		return nil
	}
}

func setEndpoint(state EndpointState) func(Object, string) error {
	return func(o Object, _ string) error {
		o.(*Endpoint).State = state
		return nil
	}
}

// fireRollOut makes an operator's step of the roll-out's state machine.
func fireRollOut(action Action) func(Object, string) error {
	return func(o Object, reason string) error {
		r := o.(*RollOut)
		m := rollOutMachine(r)
		if err := m.Fire(action); err != nil {
			allowed, _ := m.PermittedTriggers()
			return Problems{{Kind: KindRollOut, Name: r.Name, Field: "state", Got: fmt.Sprintf("%q", r.State),
				Want: fmt.Sprintf("a state that takes %s; this one takes %v", action, allowed)}}
		}
		r.State = m.MustState().(RollOutState)
		r.Reason = OperatorReason + reason
		return nil
	}
}

// rollOutMachine holds what an operator may do in which state. Start begins a
// roll-out from its first step, also after it was rolled back; resume goes on
// from the step at which it was paused.
func rollOutMachine(r *RollOut) *stateless.StateMachine {
	m := stateless.NewStateMachine(r.State)
	fromStart := func(context.Context, ...any) error {
		r.Step = 0
		return nil
	}
	m.Configure(RollOutRunning).
		OnEntryFrom(ActionStart, fromStart).
		Permit(ActionPause, RollOutPaused).
		Permit(ActionRollBack, RollOutRolledBack)
	m.Configure(RollOutPaused).
		Permit(ActionStart, RollOutRunning).
		Permit(ActionResume, RollOutRunning).
		Permit(ActionRollBack, RollOutRolledBack)
	m.Configure(RollOutRolledBack).
		Permit(ActionStart, RollOutRunning)
	m.Configure(RollOutDone).
		Permit(ActionRollBack, RollOutRolledBack)
	return m
}
