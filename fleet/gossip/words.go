package gossip

import (
	"encoding/binary"
	"iter"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Reports is a packed list of reports on VMs: for each VM the hash of its name, the age of its
// last message, and whether it was ready and had lost its paths to the endpoints then. The encoding
// is compact because in a fleet of hundreds each datagram reports on many VMs.
type Reports []byte

// report is one unpacked entry of Reports.
type report struct {
	hash      uint32
	age       time.Duration
	ready     bool
	pathsLost bool
}

const (
	reportBytes = 5
	// ageUnit is the resolution of a packed age; reports older than maxAge are left out.
	ageUnit = 50 * time.Millisecond
	maxAge  = 63 * ageUnit
	// readyBit and pathsLostBit are the bits above the six bits of the age.
	readyBit     = 0x80
	pathsLostBit = 0x40
)

func hashOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// add appends a report. The age is rounded up, so that forwarding a report repeatedly doesn't
// make a dead VM look alive.
func (rs Reports) add(r report) Reports {
	if r.age > maxAge {
		return rs
	}
	b := byte((max(r.age, 0) + ageUnit - 1) / ageUnit)
	if r.ready {
		b |= readyBit
	}
	if r.pathsLost {
		b |= pathsLostBit
	}
	return append(binary.BigEndian.AppendUint32(rs, r.hash), b)
}

// all unpacks the reports; an incomplete report at the end is ignored.
func (rs Reports) all() iter.Seq[report] {
	return func(yield func(report) bool) {
		for len(rs) >= reportBytes {
			b := rs[reportBytes-1]
			r := report{hash: binary.BigEndian.Uint32(rs), age: time.Duration(b&^(readyBit|pathsLostBit)) * ageUnit, ready: b&readyBit != 0, pathsLost: b&pathsLostBit != 0}
			if !yield(r) {
				return
			}
			rs = rs[reportBytes:]
		}
	}
}
