package vm

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"goldcrestfork/control"
	"goldcrestfork/control/lease"
	"goldcrestfork/control/loops"
	"goldcrestfork/control/orders"
	"goldcrestfork/policy/rollout"
)

const (
	// methodControl carries the control loops' messages.
	methodControl = "control"
	// postTimeout bounds a message of which the next one makes up for a lost one: the
	// time between two.
	postTimeout = time.Second
)

func (v *VM) newLoops() *loops.Loops {
	comparison := rollout.DefaultSettings()
	if v.settings.Rating.URL == "" {
		// Without a rating service no rating ever comes, and none can be waited for.
		comparison.MinRated = 0
	}
	return loops.New(loops.Options{
		Self:          loops.VM{ID: process(v.settings.VM, v.incarnation), DataCentre: v.settings.DataCentre},
		Peers:         controlPeers{v},
		Store:         v.store,
		Configuration: control.NewCachedConfiguration(v.cache, v.editor),
		Endpoints:     ordered{},
		Recorder:      v.recorder,
		Brakes:        v.brakes,
		Lease:         lease.DefaultSettings(),
		RollOuts:      comparison,
		Orders:        orders.DefaultSettings(),
		Registerer:    v.registry,
		Log:           v.log,
	})
}

// controlPeers is the fleet as the control loops use it.
type controlPeers struct{ v *VM }

// VMs implements loops.Peers.
func (p controlPeers) VMs() []loops.VM {
	out := []loops.VM{{ID: process(p.v.settings.VM, p.v.incarnation), DataCentre: p.v.settings.DataCentre}}
	for _, m := range p.v.fleet.live() {
		out = append(out, loops.VM{ID: process(m.ID, m.Incarnation), DataCentre: m.DataCentre})
	}
	return out
}

// Send implements loops.Peers.
func (p controlPeers) Send(ctx context.Context, to string, m loops.Message) {
	vm, _, _ := strings.Cut(to, "/")
	go p.v.post(ctx, vm, methodControl, m)
}

// process names one start of a VM: its counts begin anew with each.
func process(vm string, incarnation uint64) string { return fmt.Sprintf("%s/%x", vm, incarnation) }

// post sends a message that may be lost.
func (v *VM) post(ctx context.Context, vm, method string, message any) {
	body, err := cbor.Marshal(message)
	if err != nil {
		panic("vm: own message does not encode: " + err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, postTimeout)
	defer cancel()
	_, _ = v.fleet.Call(ctx, vm, method, body)
}

func (v *VM) takeControl(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var m loops.Message
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	// What it passes on outlives the call.
	v.loops.Receive(context.WithoutCancel(ctx), m)
	return nil, nil
}
