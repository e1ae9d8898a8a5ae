package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"goldcrestfork/durable"
)

// vmStore is one VM's connection to the store. The VM can be suspended between any two steps,
// and can crash just before or just after the effect of any of its calls.
type vmStore struct {
	durable.Store

	mu                  sync.Mutex
	resumed             chan struct{} // non-nil while suspended; closed by resume
	crashed             bool
	callsUntilCrash     int // 0: the VM doesn't crash
	lastCallTakesEffect bool
}

var errCrashed = errors.New("this VM has crashed")

// nextCall blocks while the VM is suspended. It reports whether the call is made and whether the
// VM gets its reply.
func (v *vmStore) nextCall() (call, reply bool) {
	v.waitUntilResumed()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.crashed {
		return false, false
	}
	if v.callsUntilCrash == 0 {
		return true, true
	}
	v.callsUntilCrash--
	if v.callsUntilCrash > 0 {
		return true, true
	}
	v.crashed = true
	return v.lastCallTakesEffect, false
}

func (v *vmStore) waitUntilResumed() {
	v.mu.Lock()
	resumed := v.resumed
	v.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

func (v *vmStore) suspend() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.resumed == nil {
		v.resumed = make(chan struct{})
	}
}

func (v *vmStore) resume() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.resumed != nil {
		close(v.resumed)
		v.resumed = nil
	}
}

func (v *vmStore) crashAfter(calls int, effect bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.callsUntilCrash, v.lastCallTakesEffect = calls, effect
}

func (v *vmStore) alive() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.crashed
}

func (v *vmStore) Get(ctx context.Context, k durable.Key) (durable.Object, error) {
	if call, reply := v.nextCall(); !call || !reply {
		return durable.Object{}, durable.ErrUnavailable
	}
	o, err := v.Store.Get(ctx, k)
	v.waitUntilResumed()
	return o, err
}

func (v *vmStore) Put(ctx context.Context, k durable.Key, value []byte, at int64) (durable.Object, error) {
	call, reply := v.nextCall()
	if !call {
		return durable.Object{}, durable.ErrUnavailable
	}
	o, err := v.Store.Put(ctx, k, value, at)
	v.waitUntilResumed()
	if !reply {
		return durable.Object{}, durable.ErrUnknown
	}
	return o, err
}

// network carries peer calls between the VMs of a test. Each call gets the next fault in
// faults.
type network struct {
	mu     sync.Mutex
	peers  map[string]*Ledger
	owners []string // owner by shard; VMs need not agree with it
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

func (n *network) nextFault() netFault {
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
	net         *network
	self        string
	ownerOffset int // VMs with different offsets disagree on every owner
}

func (l link) Owner(shard int) (string, bool) {
	vm := l.net.owners[(shard+l.ownerOffset)%len(l.net.owners)]
	return vm, vm == l.self
}

func (l link) Forward(ctx context.Context, vm string, body []byte) ([]byte, error) {
	peer := l.net.peer(vm)
	if peer == nil {
		return nil, errCrashed
	}
	switch l.net.nextFault() {
	case netLostRequest:
		<-ctx.Done()
		return nil, ctx.Err()
	case netLostReply:
		_, _ = peer.HandlePeer(context.WithoutCancel(ctx), body)
		return nil, errCrashed
	case netLateRequest:
		time.AfterFunc(2*forwardTimeout, func() {
			_, _ = peer.HandlePeer(context.Background(), body)
		})
		return nil, errCrashed
	}
	return peer.HandlePeer(ctx, body)
}
