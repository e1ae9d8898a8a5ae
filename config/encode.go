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

// formatVersion is the version of the root's layout. A VM reads roots with a higher version and
// ignores the fields that it does not know, but never writes such a root, since that would lose
// those fields.
const formatVersion = 1

// historyLength is the number of accepted changes that the root holds by id. At the 2,200
// changes a day that the users expect, it covers about 2.8 hours. A later repeat or read-back
// is answered "unknown", since the root no longer shows whether the change was accepted.
const historyLength = 256

// maxDecompressed bounds the size of a decoded root, in bytes, against a damaged or hostile
// value. It is sixteen times the platform's largest value; docs/design/configuration.md gives
// the compression ratio.
const maxDecompressed = 16 << 20

// magic is the prefix of an encoded root, by which other values are refused at once.
var magic = []byte("gcf")

// ErrFormat means that the bytes are not an encoded root.
var ErrFormat = errors.New("not an encoded configuration")

// acceptedChange is an entry of the root's history.
type acceptedChange struct {
	ID       string `cbor:"1,keyasint"`
	Revision int64  `cbor:"2,keyasint"`
	// Removed lists the objects that the change deleted.
	Removed []objectRef `cbor:"3,keyasint,omitempty"`
}

// root is the value of the platform object that holds the whole configuration.
type root struct {
	Format   int              `cbor:"1,keyasint"`
	Snapshot *Snapshot        `cbor:"2,keyasint"`
	History  []acceptedChange `cbor:"3,keyasint,omitempty"`
}

// acceptedAt returns the revision at which the change with this id was accepted, or false if
// the history doesn't hold it.
func (r *root) acceptedAt(id string) (int64, bool) {
	i := slices.IndexFunc(r.History, func(a acceptedChange) bool { return a.ID == id })
	if i < 0 {
		return 0, false
	}
	return r.History[i].Revision, true
}

// historyCovers reports whether the history holds all changes after revision.
func (r *root) historyCovers(revision int64) bool {
	if r.Snapshot.Revision <= revision {
		return true
	}
	return len(r.History) > 0 && r.History[0].Revision <= revision+1
}

// accept adds a change at the next revision.
func (r *root) accept(id string, removed []objectRef) {
	r.Snapshot.Revision++
	r.History = append(r.History, acceptedChange{ID: id, Revision: r.Snapshot.Revision, Removed: removed})
	r.trimHistory()
}

// trimHistory removes the oldest changes beyond historyLength.
func (r *root) trimHistory() {
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
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxDecompressed+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrFormat, err)
	}
	if len(raw) > maxDecompressed {
		return nil, fmt.Errorf("%w: inflates beyond %d bytes", ErrFormat, maxDecompressed)
	}
	r := new(root)
	if err := cbor.Unmarshal(raw, r); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrFormat, err)
	}
	if r.Snapshot == nil || r.Snapshot.Revision < 0 || !r.Snapshot.wellFormed() {
		return nil, fmt.Errorf("%w: incomplete", ErrFormat)
	}
	return r, nil
}

// wellFormed reports whether each object is non-nil and stored under its own name.
func (s *Snapshot) wellFormed() bool {
	return namesMatch(s.Accounts) && namesMatch(s.Versions) && namesMatch(s.RollOuts) &&
		namesMatch(s.DataCentres) && namesMatch(s.Endpoints) && namesMatch(s.Services)
}

func namesMatch[T any, P object[T]](m map[string]P) bool {
	for name, o := range m {
		if o == nil || o.meta().Name != name {
			return false
		}
	}
	return true
}

// Encode encodes a snapshot as the root object's value, without a history of changes.
func Encode(s *Snapshot) ([]byte, error) {
	r := root{Format: formatVersion, Snapshot: s}
	return r.encode()
}

// Decode decodes a root object's value. The error is ErrFormat.
func Decode(data []byte) (*Snapshot, error) {
	r, err := decodeRoot(data)
	if err != nil {
		return nil, err
	}
	return r.Snapshot, nil
}
