package tally

import (
	"encoding/binary"
	"errors"
	"math"
)

const (
	// entryBytes is the size of an Entry in a datagram, sumBytes that of a Sum.
	entryBytes = 6
	sumBytes   = 8
)

// errPackedLength reports a list whose length is no multiple of its entries' size.
var errPackedLength = errors.New("packed list has an incomplete entry")

// appendRounded appends the upper half of a float32, which keeps a figure to 4 in 1,000 in two bytes:
// with four bytes a datagram doesn't hold the endpoints of a large service during a roll-out.
func appendRounded(b []byte, x float32) []byte {
	bits := math.Float32bits(x)
	if rounded := bits + 0x8000; isFinite(math.Float32frombits(rounded)) {
		bits = rounded
	}
	return binary.BigEndian.AppendUint16(b, uint16(bits>>16))
}

func rounded(b []byte) float32 {
	return math.Float32frombits(uint32(binary.BigEndian.Uint16(b)) << 16)
}

// WorkList is a list of entries, which takes six bytes each in a datagram.
type WorkList []Entry

// MarshalBinary encodes the list for a datagram.
func (l WorkList) MarshalBinary() ([]byte, error) {
	b := make([]byte, 0, entryBytes*len(l))
	for _, e := range l {
		b = appendRounded(binary.BigEndian.AppendUint32(b, e.Endpoint), e.Work)
	}
	return b, nil
}

// UnmarshalBinary decodes a list from a datagram.
func (l *WorkList) UnmarshalBinary(b []byte) error {
	if len(b)%entryBytes != 0 {
		return errPackedLength
	}
	*l = make(WorkList, 0, len(b)/entryBytes)
	for ; len(b) > 0; b = b[entryBytes:] {
		*l = append(*l, Entry{Endpoint: binary.BigEndian.Uint32(b), Work: rounded(b[4:])})
	}
	return nil
}

// SumList is a list of sums, which takes eight bytes each in a datagram.
type SumList []Sum

// MarshalBinary encodes the list for a datagram.
func (l SumList) MarshalBinary() ([]byte, error) {
	b := make([]byte, 0, sumBytes*len(l))
	for _, s := range l {
		b = appendRounded(appendRounded(binary.BigEndian.AppendUint32(b, s.Key), s.A), s.B)
	}
	return b, nil
}

// UnmarshalBinary decodes a list from a datagram.
func (l *SumList) UnmarshalBinary(b []byte) error {
	if len(b)%sumBytes != 0 {
		return errPackedLength
	}
	*l = make(SumList, 0, len(b)/sumBytes)
	for ; len(b) > 0; b = b[sumBytes:] {
		*l = append(*l, Sum{Key: binary.BigEndian.Uint32(b), A: rounded(b[4:]), B: rounded(b[6:])})
	}
	return nil
}
