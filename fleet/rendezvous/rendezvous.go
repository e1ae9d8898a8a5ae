// Package rendezvous ranks ids for a key by rendezvous hashing (highest random weight).
//
// VMs that know the same ids compute the same order without communication, and an
// id that is added or removed moves only the keys for which it ranks first. Two VMs
// with different ids may disagree: if an algorithm needs more than a preference, its
// VMs must first agree on the set of ids (see package slot).
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of id for key; the id with the highest weight ranks first.
func Weight(key, id string) uint64 { return HashOf(key).Weight(HashOf(id)) }

// Hash is the hash of a key or an id, from which weights are computed. Callers that compare one
// key with thousands of ids keep the hashes.
type Hash uint64

// HashOf returns the hash of a key or an id.
func HashOf(s string) Hash { return Hash(xxhash.Sum64String(s)) }

// Short returns the lower 32 bits, enough to identify one of thousands of ids in messages.
func (h Hash) Short() uint32 { return uint32(h) }

// Weight returns the weight of an id for the key.
func (key Hash) Weight(id Hash) uint64 { return mix(uint64(key) ^ mix(uint64(id))) }

// mix is the finalizer of SplitMix64. With only the exclusive or of the two hashes, the
// differences between ids would be the same for all keys, and the keys of a removed id
// would all move to a few other ids.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Best returns the id that ranks first for key, "" if ids is empty. It does not allocate.
func Best(key string, ids []string) string {
	best, weight := "", uint64(0)
	for _, id := range ids {
		w := Weight(key, id)
		if best == "" || w > weight || (w == weight && id < best) {
			best, weight = id, w
		}
	}
	return best
}

// Rank returns ids in their order for key, the highest weight first. It doesn't change ids.
func Rank(key string, ids []string) []string {
	return RankBy(key, ids, func(id string) string { return id })
}

// Position returns the position of id in the order of ids for key, from 0, or -1 if ids doesn't
// contain it. It doesn't allocate: for 300 ids it takes 4 us, while Rank takes 66 us.
func Position(key, id string, ids []string) int {
	k := HashOf(key)
	own := k.Weight(HashOf(id))
	place, found := 0, false
	for _, other := range ids {
		w := k.Weight(HashOf(other))
		switch {
		case other == id:
			found = true
		case w > own || w == own && other < id:
			place++
		}
	}
	if !found {
		return -1
	}
	return place
}

// RankBy returns items in the order of their ids for key, the highest weight first. It doesn't
// change items.
func RankBy[T any](key string, items []T, id func(T) string) []T {
	type weighted struct {
		weight uint64
		id     string
		item   T
	}
	all := make([]weighted, 0, len(items))
	for _, item := range items {
		all = append(all, weighted{weight: Weight(key, id(item)), id: id(item), item: item})
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	ranked := make([]T, 0, len(items))
	for _, w := range all {
		ranked = append(ranked, w.item)
	}
	return ranked
}
