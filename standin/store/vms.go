package store

import (
	"context"
	"slices"
	"strings"
	"time"

	"goldcrestfork/durable"
)

// snapshot is the list of VMs from a time until the next snapshot.
type snapshot struct {
	from time.Time
	vms  []durable.VM
}

// SetVMs replaces the list of VMs at once, without lag.
func (s *Store) SetVMs(vms []durable.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = []snapshot{{vms: slices.Clone(vms)}}
}

// SetVMLag sets the time after which Register and Deregister show in the list.
func (s *Store) SetVMLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vmLag = lag
}

// Register adds a VM or replaces its row; the list shows the change after the lag.
func (s *Store) Register(vm durable.VM) {
	s.changeVMs(vm.ID, func(rows []durable.VM) []durable.VM { return append(rows, vm) })
}

// Deregister removes a VM; the list shows the change after the lag.
func (s *Store) Deregister(id string) {
	s.changeVMs(id, func(rows []durable.VM) []durable.VM { return rows })
}

// changeVMs removes the row of a VM, applies add, and appends the result as a new snapshot.
func (s *Store) changeVMs(id string, add func([]durable.VM) []durable.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []durable.VM
	if n := len(s.vms); n > 0 {
		rows = slices.Clone(s.vms[n-1].vms)
	}
	rows = add(slices.DeleteFunc(rows, func(vm durable.VM) bool { return vm.ID == id }))
	slices.SortFunc(rows, func(a, b durable.VM) int { return strings.Compare(a.ID, b.ID) })
	s.vms = append(s.vms, snapshot{from: time.Now(), vms: rows})
}

// VMs implements durable.Store and returns the list as it was the lag ago.
func (s *Store) VMs(ctx context.Context) ([]durable.VM, error) {
	if err := s.startCall(ctx, read, func(c *Counts) { c.VMLists++ }); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	shown := time.Now().Add(-s.vmLag)
	for len(s.vms) > 1 && !s.vms[1].from.After(shown) {
		s.vms = s.vms[1:]
	}
	if len(s.vms) == 0 || s.vms[0].from.After(shown) {
		return nil, nil
	}
	return slices.Clone(s.vms[0].vms), nil
}
