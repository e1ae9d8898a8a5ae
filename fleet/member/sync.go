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
	// methodSync is the peer method that returns all digests that a VM knows.
	methodSync = "member.sync"
	// syncInterval is the time between two full synchronisations. At 400 VMs one is
	// about 35 KB, which adds 0.6 KB/s.
	syncInterval = time.Minute
	// syncTimeout bounds one synchronisation.
	syncTimeout = 2 * time.Second
	// maxSync bounds the digests of one synchronisation. It is ten times the largest
	// fleet for which the package is designed, 400 VMs.
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

// Digests returns this VM's digest followed by those of the VMs that are alive or left.
func (t *Table) Digests() []Digest {
	all := []Digest{t.self}
	for _, r := range t.rows {
		if r.state == Alive || r.state == Left {
			all = append(all, r.digest)
		}
	}
	return all
}

// MergeDigests applies the digests of a full synchronisation. By heartbeats alone, with
// a few digests per message, a new VM would need minutes to learn of the last of 400
// VMs. The other VMs already know these digests, so they are not sent early.
func (t *Table) MergeDigests(now time.Time, digests []Digest) {
	for _, d := range digests {
		_, known := t.rows[d.ID]
		t.merge(now, d, false)
		if r, ok := t.rows[d.ID]; ok && !known {
			r.urgentCopies = 0
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

// runSync synchronises with a peer as soon as one answers, and then every syncInterval.
func (s *Service) runSync(ctx context.Context) {
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

// sync fetches and merges one peer's digests, and reports whether it succeeded.
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

// syncTarget returns a pinged VM that is alive, another one each turn.
func (t *Table) syncTarget(turn int) (peer.Target, bool) {
	for i := range t.targets {
		r := t.rows[t.targets[(turn+i)%len(t.targets)]]
		if r != nil && r.state == Alive {
			return target(r), true
		}
	}
	return peer.Target{}, false
}
