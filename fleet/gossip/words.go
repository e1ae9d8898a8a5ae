package gossip

import (
	"encoding/binary"
	"iter"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Words are what a VM knows of others, packed: of each a mark of its name, how long ago it last
// said something, and whether it was ready then. Hundreds of VMs speak of many others in each
// datagram.
type Words []byte

// word is one of them.
type word struct {
	mark  uint32
	age   time.Duration
	ready bool
}

const (
	wordBytes = 5
	// ageUnit and mostAge say how ages are packed; what is older isn't told.
	ageUnit = 50 * time.Millisecond
	mostAge = 127 * ageUnit
	// readyBit stands above the age.
	readyBit = 0x80
)

func markOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// add appends a word. The age is rounded up, so that passing it on keeps nobody alive.
func (ws Words) add(w word) Words {
	if w.age > mostAge {
		return ws
	}
	b := byte((max(w.age, 0) + ageUnit - 1) / ageUnit)
	if w.ready {
		b |= readyBit
	}
	return append(binary.BigEndian.AppendUint32(ws, w.mark), b)
}

// all unpacks the words; bytes that make no whole one are passed over.
func (ws Words) all() iter.Seq[word] {
	return func(yield func(word) bool) {
		for len(ws) >= wordBytes {
			b := ws[wordBytes-1]
			w := word{mark: binary.BigEndian.Uint32(ws), age: time.Duration(b&^readyBit) * ageUnit, ready: b&readyBit != 0}
			if !yield(w) {
				return
			}
			ws = ws[wordBytes:]
		}
	}
}
