package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ShardCount is the number of shards. It must not change while keys are live: it determines the
// shard of a key, so two VMs with different counts would both decide a key. At 300 writes/s one
// shard has 2.3 writes/s, so a decision waits for at most 430 ms; half as many shards would
// double the bytes that the owner of a shard writes, twice as many would double the wait
// (docs/design/ledger.md).
const ShardCount = 128

// Key is the digest of a key: 128 bits of SHA-256. Callers choose their keys; with a short or
// unkeyed fast hash, one caller could produce a collision and get another's answer.
type Key [16]byte

// Space separates the keys of different uses.
type Space string

// Spaces of keys.
const (
	SpaceClaim Space = "claim"
	SpacePin   Space = "pin"
)

// MakeKey returns the digest of the parts of a key. Each part is prefixed with its length, so
// that ("a", "bc") and ("ab", "c") differ.
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

// String returns the digest in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Shard returns the number of the key's shard, from 0 to ShardCount-1.
func (k Key) Shard() int { return int(xxhash.Sum64(k[:]) % ShardCount) }

// State is the state of an entry.
type State uint8

// States of an entry.
const (
	// StateDecided means that the entry holds a value, fixed by the first writer.
	StateDecided State = iota + 1
	// StateOpen means that the key is claimed and that the request may have reached its
	// endpoint.
	StateOpen
	// StateDone means that the request ran; its status and, unless omitted, its answer are
	// recorded.
	StateDone
	// StateNotRun means that no byte of the request was sent; the key may be claimed again.
	StateNotRun
	// StateUnknown means that the request was dispatched and that its outcome can't be
	// determined.
	StateUnknown
)

var stateNames = [...]string{"none", "decided", "open", "done", "not_run", "unknown"}

// String returns the state as metrics and dumps show it.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Entry is the record of one key. Its nonce is that of the writer that decided or claimed the
// key, and state changes keep it, so that a writer which lost a reply can find out at any later
// time whether the entry is its own.
type Entry struct {
	Key    Key    `cbor:"1,keyasint"`
	State  State  `cbor:"2,keyasint"`
	Nonce  uint64 `cbor:"3,keyasint"`
	Expire uint32 `cbor:"4,keyasint"` // last hour of the retention, in hours since 1970
	// Generation counts the claims of a key; a new one starts only after StateNotRun.
	Generation  uint32      `cbor:"5,keyasint,omitempty"`
	Fingerprint Fingerprint `cbor:"6,keyasint,omitempty"`
	// VM and Incarnation identify the process that claimed the key; Status is the HTTP status
	// of the recorded answer.
	VM          string `cbor:"7,keyasint,omitempty"`
	Incarnation uint64 `cbor:"8,keyasint,omitempty"`
	Status      uint16 `cbor:"9,keyasint,omitempty"`
	// Value is the decided value or the recorded answer.
	Value []byte `cbor:"10,keyasint,omitempty"`
	// Omitted is set if the answer was too long to record.
	Omitted bool `cbor:"11,keyasint,omitempty"`
}

// final reports whether no later write can change the entry's content.
func (e Entry) final() bool { return e.State == StateDecided || e.State == StateDone }

// Fingerprint identifies a request under its key, to distinguish a repeat from another request.
type Fingerprint uint64

// FingerprintOf returns the digest of the parts that identify a request, such as method, path
// and body.
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

// hourOf returns the full hours since 1970.
func hourOf(t time.Time) uint32 { return uint32(t.Unix() / int64(time.Hour/time.Second)) }
