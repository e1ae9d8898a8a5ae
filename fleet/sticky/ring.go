package sticky

import (
	"slices"

	"goldcrestfork/fleet/rendezvous"
)

// copies is how many VMs keep a key: one may go at any moment.
const copies = 2

// Key names what is kept.
type Key = rendezvous.Hash

// KeyOf makes a key from a name.
func KeyOf(name string) Key { return rendezvous.Mark(name) }

// Keeper is a VM that may keep keys.
type Keeper struct{ Name, Address string }

// Ring ranks keepers for keys. VMs that know the same ones agree.
type Ring struct {
	keepers []Keeper
	hashes  []rendezvous.Hash
}

// NewRing returns a ring of some VMs.
func NewRing(keepers ...Keeper) *Ring {
	r := &Ring{keepers: keepers, hashes: make([]rendezvous.Hash, len(keepers))}
	for i, k := range keepers {
		r.hashes[i] = rendezvous.Mark(k.Name)
	}
	return r
}

// same says that the ring has the same VMs in the same order.
func (r *Ring) same(other *Ring) bool { return r == other || slices.Equal(r.keepers, other.keepers) }

// Keepers returns the VMs that keep a key, the first in rank first.
func (r *Ring) Keepers(k Key) []Keeper {
	first, second := -1, -1
	for i := range r.keepers {
		switch {
		case first < 0 || r.before(k, i, first):
			first, second = i, first
		case second < 0 || r.before(k, i, second):
			second = i
		}
	}
	out := make([]Keeper, 0, copies)
	for _, i := range []int{first, second} {
		if i >= 0 {
			out = append(out, r.keepers[i])
		}
	}
	return out
}

// before says that the i-th VM ranks before the j-th.
func (r *Ring) before(k Key, i, j int) bool {
	a, b := k.Weight(r.hashes[i]), k.Weight(r.hashes[j])
	return a > b || a == b && r.keepers[i].Name < r.keepers[j].Name
}
