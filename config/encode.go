package config

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// format is the root's layout. A VM reads a higher one, passing over fields it
// does not know, but never edits it: it would drop those fields.
const format = 1

// historyLength is how many accepted changes the root remembers by id. At the
// 2,200 changes a day that the users expect this is about 2.8 hours; a repeat or
// a read-back that comes later is answered "unknown", never guessed.
const historyLength = 256

// maxInflated bounds the decoded root against a damaged or hostile value. It is
// sixteen times the platform's largest value; the measured ratio is in
// docs/design/configuration.md.
const maxInflated = 16 << 20

// magic starts each encoded root, so that a foreign value is refused at once.
var magic = []byte("gcf")

// ErrFormat: the bytes are no root object.
var ErrFormat = errors.New("not an encoded configuration")

// accepted is one accepted change in the root's history.
type accepted struct {
	ID       string `cbor:"1,keyasint"`
	Revision int64  `cbor:"2,keyasint"`
	// Removed are the objects that the change deleted.
	Removed []ref `cbor:"3,keyasint,omitempty"`
}

// root is the value of the one platform object that carries the configuration.
type root struct {
	Format   int        `cbor:"1,keyasint"`
	Snapshot *Snapshot  `cbor:"2,keyasint"`
	History  []accepted `cbor:"3,keyasint,omitempty"`
}

// find returns the revision at which the change was accepted.
func (r *root) find(id string) (int64, bool) {
	i := slices.IndexFunc(r.History, func(a accepted) bool { return a.ID == id })
	if i < 0 {
		return 0, false
	}
	return r.History[i].Revision, true
}

// covers reports whether the history reaches back to all changes after revision.
func (r *root) covers(revision int64) bool {
	if r.Snapshot.Revision <= revision {
		return true
	}
	return len(r.History) > 0 && r.History[0].Revision <= revision+1
}

// accept adds a change at the next revision.
func (r *root) accept(id string, removed []ref) {
	r.Snapshot.Revision++
	r.History = append(r.History, accepted{ID: id, Revision: r.Snapshot.Revision, Removed: removed})
	r.trim()
}

// trim forgets the oldest changes.
func (r *root) trim() {
	if excess := len(r.History) - historyLength; excess > 0 {
		r.History = slices.Delete(r.History, 0, excess)
	}
}

func (r *root) encode() ([]byte, error) {
	raw, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	out := bytes.NewBuffer(slices.Clone(magic))
	w, err := flate.NewWriter(out, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if _, err := w.Write(raw); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	return out.Bytes(), nil
}

func decodeRoot(data []byte) (*root, error) {
	packed, ok := bytes.CutPrefix(data, magic)
	if !ok {
		return nil, ErrFormat
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxInflated+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrFormat, err)
	}
	if len(raw) > maxInflated {
		return nil, fmt.Errorf("%w: inflates beyond %d bytes", ErrFormat, maxInflated)
	}
	r := new(root)
	if err := cbor.Unmarshal(raw, r); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrFormat, err)
	}
	if r.Snapshot == nil || r.Snapshot.Revision < 0 || !r.Snapshot.whole() {
		return nil, fmt.Errorf("%w: incomplete", ErrFormat)
	}
	return r, nil
}

// whole reports that no map holds a nil object or one under another's name.
func (s *Snapshot) whole() bool {
	return named(s.Accounts) && named(s.Versions) && named(s.RollOuts) &&
		named(s.DataCentres) && named(s.Endpoints) && named(s.Services)
}

func named[T any, P object[T]](m map[string]P) bool {
	for name, o := range m {
		if o == nil || o.meta().Name != name {
			return false
		}
	}
	return true
}

// Encode packs a snapshot as the root object's value, without a history of changes.
func Encode(s *Snapshot) ([]byte, error) {
	r := root{Format: format, Snapshot: s}
	return r.encode()
}

// Decode unpacks a root object's value, from the platform or from a peer.
func Decode(data []byte) (*Snapshot, error) {
	r, err := decodeRoot(data)
	if err != nil {
		return nil, err
	}
	return r.Snapshot, nil
}
