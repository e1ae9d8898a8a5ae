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
	// methodControl carries messages of the control loops.
	methodControl = "control"
	// postTimeout bounds the sending of a message. It equals the interval between two
	// messages, since each message makes up for a lost one before it.
	postTimeout = time.Second
)

func (v *VM) newLoops() *loops.Loops {
	rollOutSettings := rollout.DefaultSettings()
	if v.settings.Rating.URL == "" {
		// Without a rating service there are no ratings to wait for.
		rollOutSettings.MinRated = 0
	}
	return loops.New(loops.Options{
		Self:          loops.VM{ID: processID(v.settings.VM, v.incarnation), DataCentre: v.settings.DataCentre},
		Peers:         controlPeers{v},
		Store:         v.store,
		Configuration: control.NewCachedConfiguration(v.cache, v.editor),
		Endpoints:     orderClient{},
		Recorder:      v.recorder,
		Brakes:        v.brakes,
		Lease:         lease.DefaultSettings(),
		RollOuts:      rollOutSettings,
		Orders:        orders.DefaultSettings(),
		Registerer:    v.registry,
		Log:           v.log,
	})
}

// controlPeers gives the control loops access to the fleet.
type controlPeers struct{ v *VM }

// VMs implements loops.Peers.
func (p controlPeers) VMs() []loops.VM {
	out := []loops.VM{{ID: processID(p.v.settings.VM, p.v.incarnation), DataCentre: p.v.settings.DataCentre}}
	for _, m := range p.v.fleet.liveOthers() {
		out = append(out, loops.VM{ID: processID(m.ID, m.Incarnation), DataCentre: m.DataCentre})
	}
	return out
}

// Send implements loops.Peers.
func (p controlPeers) Send(ctx context.Context, to string, m loops.Message) {
	vm, _, _ := strings.Cut(to, "/")
	go p.v.post(ctx, vm, methodControl, m)
}

// processID names one run of a VM's process. The counts of a VM start at zero in each run,
// so they are kept by this name.
func processID(vm string, incarnation uint64) string { return fmt.Sprintf("%s/%x", vm, incarnation) }

// post sends a message and ignores failures; callers must tolerate a lost message.
func (v *VM) post(ctx context.Context, vm, method string, message any) {
	body, err := cbor.Marshal(message)
	if err != nil {
		panic("vm: cannot encode a message: " + err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, postTimeout)
	defer cancel()
	_, _ = v.fleet.Call(ctx, vm, method, body)
}

func (v *VM) handleControl(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var m loops.Message
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	// A message that Receive forwards may outlive this call.
	v.loops.Receive(context.WithoutCancel(ctx), m)
	return nil, nil
}
