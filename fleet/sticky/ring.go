package sticky

import (
	"slices"

	"goldcrestfork/fleet/rendezvous"
)

// replicas is the number of keepers of a key, so that the failure of one doesn't lose the key.
const replicas = 2

// Key identifies an entry; it is the hash of a name.
type Key = rendezvous.Hash

// KeyOf returns the key of a name.
func KeyOf(name string) Key { return rendezvous.HashOf(name) }

// Keeper is a VM that can store keys. Address is passed to Config.Send.
type Keeper struct{ Name, Address string }

// Ring ranks keepers for keys by rendezvous hashing. Rings of the same keepers agree.
type Ring struct {
	keepers []Keeper
	hashes  []rendezvous.Hash
}

// NewRing returns a ring of the given VMs.
func NewRing(keepers ...Keeper) *Ring {
	r := &Ring{keepers: keepers, hashes: make([]rendezvous.Hash, len(keepers))}
	for i, k := range keepers {
		r.hashes[i] = rendezvous.HashOf(k.Name)
	}
	return r
}

// Len returns the number of VMs.
func (r *Ring) Len() int { return len(r.keepers) }

// equal reports whether the rings have the same VMs in the same order.
func (r *Ring) equal(other *Ring) bool { return r == other || slices.Equal(r.keepers, other.keepers) }

// Keepers returns the keepers of a key, the highest-ranked first; fewer if the ring is smaller.
func (r *Ring) Keepers(k Key) []Keeper {
	first, second := -1, -1
	for i := range r.keepers {
		switch {
		case first < 0 || r.ranksBefore(k, i, first):
			first, second = i, first
		case second < 0 || r.ranksBefore(k, i, second):
			second = i
		}
	}
	out := make([]Keeper, 0, replicas)
	for _, i := range []int{first, second} {
		if i >= 0 {
			out = append(out, r.keepers[i])
		}
	}
	return out
}

// ranksBefore reports whether the i-th VM ranks before the j-th one for the key.
func (r *Ring) ranksBefore(k Key, i, j int) bool {
	a, b := k.Weight(r.hashes[i]), k.Weight(r.hashes[j])
	return a > b || a == b && r.keepers[i].Name < r.keepers[j].Name
}
