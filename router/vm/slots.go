package vm

import (
	"slices"
	"sync"

	"goldcrestfork/fleet/rendezvous"
)

// slots is this VM's part of the endpoints' slots.
type slots struct {
	fleet *fleet

	mu   sync.Mutex
	cold map[string]int
}

func newSlots(f *fleet) *slots { return &slots{fleet: f, cold: make(map[string]int)} }

// Epoch is the membership epoch that the cold slots follow.
func (s *slots) Epoch() uint64 { return 0 }

// Share implements dispatch.Slots: warm slots are dealt to the live VMs by rank.
func (s *slots) Share(endpoint string, n int) int { return s.dealt(endpoint, n) }

// ColdShare implements dispatch.Slots.
func (s *slots) ColdShare(endpoint string, n int) int { return s.dealt(endpoint, n) }

func (s *slots) dealt(endpoint string, n int) int {
	ids := s.fleet.ids()
	share := n / len(ids)
	if slices.Index(rendezvous.Rank(endpoint, ids), s.fleet.self) < n%len(ids) {
		share++
	}
	return share
}

// TakeCold implements dispatch.Slots.
func (s *slots) TakeCold(endpoint string, n int) (func(), bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cold[endpoint] >= s.dealt(endpoint, n) {
		return nil, false
	}
	s.cold[endpoint]++
	return sync.OnceFunc(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cold[endpoint]--
	}), true
}
