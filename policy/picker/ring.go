package picker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ringPoints is the number of points of an endpoint on its pool's ring. With eight, the
// most loaded of 12 endpoints gets about 1.7 times the mean share of prefixes, which the
// load scorer evens out.
const ringPoints = 8

// ring maps a prefix to endpoints by consistent hashing. All VMs with the same
// configuration find the same endpoint for a prefix, without messages between them and
// without cache events.
type ring []ringPoint

// ringPoint is a point of an endpoint on the ring.
type ringPoint struct {
	hash uint64
	e    *Endpoint
}

// newRing returns the ring of the given endpoints, sorted by hash.
func newRing(members []*Endpoint) ring {
	points := make(ring, 0, len(members)*ringPoints)
	for _, e := range members {
		h := xxhash.Sum64String(e.Name)
		for range ringPoints {
			h = mix(h)
			points = append(points, ringPoint{hash: h, e: e})
		}
	}
	slices.SortFunc(points, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	return points
}

// walk calls yield for the ring's points, starting at the position of the key, until
// yield returns false.
func (r ring) walk(key uint64, yield func(*Endpoint) bool) {
	if len(r) == 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(r, mix(key), func(p ringPoint, k uint64) int {
		return cmp.Compare(p.hash, k)
	})
	for i := range r {
		if !yield(r[(at+i)%len(r)].e) {
			return
		}
	}
}

// mix is the finalizer of splitmix64.
func mix(h uint64) uint64 {
	h += 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
