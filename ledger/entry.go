package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ShardCount is the number of shards. It is part of where a key lives, so two
// VMs with different counts would decide a key twice: it never changes under
// live keys. Grounds (docs/design/ledger.md): at 300 writes/s a shard has 2.3,
// so a decision gathers for 430 ms at most; half as many shards would double
// the bytes that the VM of a shard writes, twice as many the wait.
const ShardCount = 128

// Key is the digest of a key. 128 bits of SHA-256: callers choose their keys, and
// with a short or unkeyed fast hash one caller could be given another's answer.
type Key [16]byte

// Space keeps keys of different uses apart.
type Space string

// Spaces in use.
const (
	SpaceClaim Space = "claim"
	SpacePin   Space = "pin"
)

// MakeKey digests the parts of a key; parts are length-prefixed, so that
// ("a", "bc") and ("ab", "c") differ.
func MakeKey(space Space, parts ...string) Key {
	h := sha256.New()
	var length [4]byte
	for _, p := range append([]string{string(space)}, parts...) {
		binary.BigEndian.PutUint32(length[:], uint32(len(p)))
		h.Write(length[:])
		h.Write([]byte(p))
	}
	return Key(h.Sum(nil)[:len(Key{})])
}

// String gives the digest in hex.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Shard is where the key lives.
func (k Key) Shard() int { return int(xxhash.Sum64(k[:]) % ShardCount) }

// State is what an entry says.
type State uint8

// States of an entry.
const (
	// StateDecided: a value, fixed by the first writer.
	StateDecided State = iota + 1
	// StateOpen: claimed, and the request may have reached its endpoint.
	StateOpen
	// StateDone: ran, with the recorded status and perhaps answer.
	StateDone
	// StateNotRun: proved that no byte left; the key may be claimed afresh.
	StateNotRun
	// StateUnknown: dispatched, and nobody can tell whether it ran.
	StateUnknown
)

var stateNames = [...]string{"none", "decided", "open", "done", "not_run", "unknown"}

// String gives the state as metrics and dumps show it.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Entry is one key's record. The nonce is that of the writer whose claim or
// value it is and survives later changes of state, so that a writer which lost
// a reply finds out whether the entry is its own, however late it looks.
type Entry struct {
	Key    Key    `cbor:"1,keyasint"`
	State  State  `cbor:"2,keyasint"`
	Nonce  uint64 `cbor:"3,keyasint"`
	Expire uint32 `cbor:"4,keyasint"` // hour since 1970 up to which the entry counts
	// Generation counts the claims of a key; each starts after a proved not-run.
	Generation  uint32      `cbor:"5,keyasint,omitempty"`
	Fingerprint Fingerprint `cbor:"6,keyasint,omitempty"`
	VM          string      `cbor:"7,keyasint,omitempty"`
	Incarnation uint64      `cbor:"8,keyasint,omitempty"`
	Status      uint16      `cbor:"9,keyasint,omitempty"`
	// Value is the decided value or the recorded answer.
	Value []byte `cbor:"10,keyasint,omitempty"`
	// Omitted: the answer was too long to record.
	Omitted bool `cbor:"11,keyasint,omitempty"`
}

// final says that no later write can change what the entry says.
func (e Entry) final() bool { return e.State == StateDecided || e.State == StateDone }

// Fingerprint tells a repeat of a request from another request under its key.
type Fingerprint uint64

// FingerprintOf digests the parts that make two requests the same one, such as
// method, path and body.
func FingerprintOf(parts ...[]byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write(p)
	}
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// hourOf counts hours since 1970.
func hourOf(t time.Time) uint32 { return uint32(t.Unix() / int64(time.Hour/time.Second)) }
