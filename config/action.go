package config

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/qmuntal/stateless"
)

// Action is an operator's action on one object, with the name of its command.
type Action string

// The actions of operators.
const (
	// ActionWithdraw stops all new work for a model version; ActionServe allows it again.
	ActionWithdraw Action = "withdraw"
	ActionServe    Action = "serve"
	// ActionDrain stops new work for a data centre or an endpoint; ActionTakeBack allows it
	// again.
	ActionDrain    Action = "drain"
	ActionTakeBack Action = "take-back"
	// ActionStart, ActionPause, ActionResume and ActionRollBack change the state of a roll-out.
	ActionStart    Action = "start"
	ActionPause    Action = "pause"
	ActionResume   Action = "resume"
	ActionRollBack Action = "roll-back"
)

// OperatorReasonPrefix is the prefix of a roll-out's reason if an operator set the state. The
// controller doesn't change such a state.
const OperatorReasonPrefix = "operator: "

// actions holds the actions of each kind and how they edit the object.
var actions = map[Kind]map[Action]func(Object, string) error{
	KindVersion: {
		ActionWithdraw: versionEdit(VersionWithdrawn),
		ActionServe:    versionEdit(VersionServing),
	},
	KindDataCentre: {
		ActionDrain:    dataCentreEdit(DataCentreOut),
		ActionTakeBack: dataCentreEdit(DataCentreIn),
	},
	KindEndpoint: {
		ActionDrain:    endpointEdit(EndpointLeaving),
		ActionTakeBack: endpointEdit(EndpointServing),
	},
	KindRollOut: {
		ActionStart:    rollOutEdit(ActionStart),
		ActionPause:    rollOutEdit(ActionPause),
		ActionResume:   rollOutEdit(ActionResume),
		ActionRollBack: rollOutEdit(ActionRollBack),
	},
}

// NewAction returns the change for an action. The reason is kept if the kind has a field for
// it. The change edits the object as it is when it is accepted and so never conflicts with
// another one: a withdrawal must not fail for that. The error is of type Problems.
func NewAction(kind Kind, name string, action Action, reason string) (Change, error) {
	edit, ok := actions[kind][action]
	if !ok {
		known := slices.Sorted(maps.Keys(actions[kind]))
		return Change{}, Problems{{Kind: kind, Name: name, Field: "action", Got: fmt.Sprintf("%q", action), Want: "one of " + joinTexts(known)}}
	}
	return Change{Op: OpEdit, Kind: kind, Name: name, Edit: func(o Object) error { return edit(o, reason) }}, nil
}

func versionEdit(state VersionState) func(Object, string) error {
	return func(o Object, _ string) error {
		o.(*ModelVersion).State = state
		return nil
	}
}

func dataCentreEdit(state DataCentreState) func(Object, string) error {
	return func(o Object, _ string) error {
		o.(*DataCentre).State = state
		return nil
	}
}

func endpointEdit(state EndpointState) func(Object, string) error {
	return func(o Object, _ string) error {
		o.(*Endpoint).State = state
		return nil
	}
}

// rollOutEdit returns an edit that applies an operator's action to a roll-out's state machine.
func rollOutEdit(action Action) func(Object, string) error {
	return func(o Object, reason string) error {
		r := o.(*RollOut)
		m := rollOutMachine(r)
		if err := m.Fire(action); err != nil {
			allowed, _ := m.PermittedTriggers()
			return Problems{{Kind: KindRollOut, Name: r.Name, Field: "state", Got: fmt.Sprintf("%q", r.State),
				Want: fmt.Sprintf("a state that takes %s; this one takes %v", action, allowed)}}
		}
		r.State = m.MustState().(RollOutState)
		r.Reason = OperatorReasonPrefix + reason
		return nil
	}
}

// rollOutMachine returns the state machine of operators' actions. Start begins a roll-out at
// its first step, also after a roll-back; resume continues at the step at which it was paused.
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
