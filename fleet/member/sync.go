package member

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"goldcrestfork/fleet/peer"
)

const (
	// methodSync is the peer method that gives all digests a VM knows.
	methodSync = "member.sync"
	// syncInterval is the time between two whole exchanges. 60 s: at 400 VMs one
	// has about 35 KB, so that it adds 0.6 KB/s.
	syncInterval = time.Minute
	// syncTimeout bounds one exchange.
	syncTimeout = 2 * time.Second
	// maxSync bounds the digests of one exchange: ten times the fleet to design for.
	maxSync = 4000
)

var syncDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  4,
		MaxArrayElements: maxSync,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Digests gives what this VM knows of those that are alive or left, itself first.
func (t *Table) Digests() []Digest {
	all := []Digest{t.self}
	for _, r := range t.rows {
		if r.state == Alive || r.state == Left {
			all = append(all, r.digest)
		}
	}
	return all
}

// MergeDigests takes a whole exchange. A VM that starts would otherwise learn of
// the fleet at the pace of the heartbeats, a few digests a message, and of 400
// VMs it would know the last after minutes. What it learns here is no news to
// the others, so it isn't told ahead of its turn.
func (t *Table) MergeDigests(now time.Time, digests []Digest) {
	for _, d := range digests {
		_, known := t.rows[d.ID]
		t.merge(now, d, false)
		if r, ok := t.rows[d.ID]; ok && !known {
			r.hot = 0
		}
	}
}

func decodeSync(data []byte) ([]Digest, error) {
	var all []Digest
	if err := syncDecoding.Unmarshal(data, &all); err != nil {
		return nil, fmt.Errorf("decode sync: %w", err)
	}
	if len(all) > maxSync {
		return nil, errors.New("sync out of bounds")
	}
	for _, d := range all {
		if err := d.check(); err != nil {
			return nil, err
		}
	}
	return all, nil
}

func (s *Service) serveSync(context.Context, string, []byte) ([]byte, error) {
	s.mu.Lock()
	all := s.table.Digests()
	s.mu.Unlock()
	return cbor.Marshal(all)
}

// keepSync pulls a whole exchange as soon as a peer answers, and then now and again.
func (s *Service) keepSync(ctx context.Context) {
	for turn := 0; ; turn++ {
		wait := syncInterval
		if !s.sync(ctx, turn) {
			wait = Tick
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) sync(ctx context.Context, turn int) bool {
	s.mu.Lock()
	to, ok := s.table.syncTarget(turn)
	s.mu.Unlock()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	data, err := s.link.Call(ctx, to, methodSync, nil)
	if err != nil {
		return false
	}
	all, err := decodeSync(data)
	if err != nil {
		s.malformed.Inc()
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.MergeDigests(time.Now(), all)
	return true
}

// syncTarget turns through the pinged VMs that are alive.
func (t *Table) syncTarget(turn int) (peer.Target, bool) {
	for i := range t.targets {
		r := t.rows[t.targets[(turn+i)%len(t.targets)]]
		if r != nil && r.state == Alive {
			return target(r), true
		}
	}
	return peer.Target{}, false
}
