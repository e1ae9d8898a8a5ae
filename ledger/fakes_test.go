package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"goldcrestfork/durable"
)

// vmStore is the store as one VM reaches it: the VM may be frozen between any
// two steps, and may die just before or just after any of its calls' effects.
type vmStore struct {
	durable.Store

	mu     sync.Mutex
	thaw   chan struct{} // non-nil while frozen; closed at the thaw
	dead   bool
	dieIn  int // calls until death; 0: lives on
	effect bool
}

var errDead = errors.New("this VM is dead")

// step blocks while the VM is frozen; it tells whether the call is made and
// whether the VM lives to see its reply.
func (v *vmStore) step() (call, reply bool) {
	v.waitThaw()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.dead {
		return false, false
	}
	if v.dieIn == 0 {
		return true, true
	}
	v.dieIn--
	if v.dieIn > 0 {
		return true, true
	}
	v.dead = true
	return v.effect, false
}

func (v *vmStore) waitThaw() {
	v.mu.Lock()
	thaw := v.thaw
	v.mu.Unlock()
	if thaw != nil {
		<-thaw
	}
}

func (v *vmStore) freeze() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.thaw == nil {
		v.thaw = make(chan struct{})
	}
}

func (v *vmStore) resume() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.thaw != nil {
		close(v.thaw)
		v.thaw = nil
	}
}

func (v *vmStore) dieAfter(calls int, effect bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.dieIn, v.effect = calls, effect
}

func (v *vmStore) alive() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.dead
}

func (v *vmStore) Get(ctx context.Context, k durable.Key) (durable.Object, error) {
	if call, reply := v.step(); !call || !reply {
		return durable.Object{}, durable.ErrUnavailable
	}
	o, err := v.Store.Get(ctx, k)
	v.waitThaw()
	return o, err
}

func (v *vmStore) Put(ctx context.Context, k durable.Key, value []byte, at int64) (durable.Object, error) {
	call, reply := v.step()
	if !call {
		return durable.Object{}, durable.ErrUnavailable
	}
	o, err := v.Store.Put(ctx, k, value, at)
	v.waitThaw()
	if !reply {
		return durable.Object{}, durable.ErrUnknown
	}
	return o, err
}

// network carries peer calls between the VMs of a test; each call meets the
// next fault drawn for it.
type network struct {
	mu     sync.Mutex
	peers  map[string]*Ledger
	owners []string // hint by shard; VMs need not agree with it
	faults []netFault
}

type netFault int

const (
	netOK netFault = iota
	netLostRequest
	netLostReply
	netLateRequest // the request arrives after its sender has given up
	netFaults
)

func (n *network) next() netFault {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.faults) == 0 {
		return netOK
	}
	f := n.faults[0]
	n.faults = n.faults[1:]
	return f
}

func (n *network) peer(vm string) *Ledger {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers[vm]
}

// link is the network as one VM sees it.
type link struct {
	net  *network
	self string
	view int // VMs with different views disagree on every owner
}

func (l link) Owner(shard int) (string, bool) {
	vm := l.net.owners[(shard+l.view)%len(l.net.owners)]
	return vm, vm == l.self
}

func (l link) Forward(ctx context.Context, vm string, body []byte) ([]byte, error) {
	peer := l.net.peer(vm)
	if peer == nil {
		return nil, errDead
	}
	switch l.net.next() {
	case netLostRequest:
		<-ctx.Done()
		return nil, ctx.Err()
	case netLostReply:
		_, _ = peer.HandlePeer(context.WithoutCancel(ctx), body)
		return nil, errDead
	case netLateRequest:
		time.AfterFunc(2*forwardTimeout, func() {
			_, _ = peer.HandlePeer(context.Background(), body)
		})
		return nil, errDead
	}
	return peer.HandlePeer(ctx, body)
}
