package config

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// deltaMagic starts an encoded delta.
var deltaMagic = []byte("gcd")

// errNoDelta: a delta does not lead to the sender's configuration; the whole one is needed.
var errNoDelta = errors.New("delta does not fit")

// ref names one object.
type ref struct {
	Kind Kind   `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint"`
}

// delta leads from one revision to a later one. A change touches a few objects,
// and a VM that serves it to ten others would otherwise send the whole
// configuration ten times.
type delta struct {
	Have int64 `cbor:"1,keyasint"`
	// Changed holds the objects last changed after Have, at the new revision.
	Changed *Snapshot `cbor:"2,keyasint"`
	// History holds the changes after Have, and with them what was deleted.
	History []accepted `cbor:"3,keyasint"`
	// Sum is the fingerprint of the whole new configuration.
	Sum uint64 `cbor:"4,keyasint"`
}

// fingerprint identifies a configuration by the name and revision of each object;
// an object's content changes with its revision only. The order does not matter.
func (s *Snapshot) fingerprint() uint64 {
	sum := uint64(s.Revision)
	for _, kind := range Kinds {
		for _, o := range s.unsorted(kind) {
			m := o.meta()
			sum += xxhash.Sum64String(fmt.Sprintf("%s/%s@%d", kind, m.Name, m.Revision))
		}
	}
	return sum
}

// delta returns the way from revision have, or false when the history is too short.
func (r *root) delta(have int64) ([]byte, bool) {
	if have <= 0 || r.Format > format || !r.covers(have) {
		return nil, false
	}
	d := delta{Have: have, Changed: &Snapshot{Revision: r.Snapshot.Revision}, Sum: r.Snapshot.fingerprint()}
	for _, kind := range Kinds {
		for _, o := range r.Snapshot.unsorted(kind) {
			if o.meta().Revision > have {
				d.Changed.put(o)
			}
		}
	}
	for _, a := range r.History {
		if a.Revision > have {
			d.History = append(d.History, a)
		}
	}
	encoded, err := cbor.Marshal(&d)
	if err != nil {
		return nil, false
	}
	return append(slices.Clone(deltaMagic), encoded...), true
}

// apply makes the root that a delta leads to; the old one stays as it is.
func (r *root) apply(encoded []byte) (*root, error) {
	var d delta
	if err := cbor.Unmarshal(bytes.TrimPrefix(encoded, deltaMagic), &d); err != nil {
		return nil, fmt.Errorf("%w: %v", errNoDelta, err)
	}
	if d.Changed == nil || !d.Changed.whole() || d.Have != r.Snapshot.Revision || r.Format > format {
		return nil, errNoDelta
	}
	next := &root{Format: r.Format, Snapshot: r.Snapshot.shallow(), History: slices.Concat(r.History, d.History)}
	next.trim()
	next.Snapshot.Revision = d.Changed.Revision
	for _, a := range d.History {
		for _, gone := range a.Removed {
			next.Snapshot.remove(gone.Kind, gone.Name)
		}
	}
	for _, kind := range Kinds {
		for _, o := range d.Changed.unsorted(kind) {
			next.Snapshot.put(o)
		}
	}
	// An object that was missed would stay wrong on this VM for good, and on all that take it from here.
	if next.Snapshot.fingerprint() != d.Sum {
		return nil, errNoDelta
	}
	return next, nil
}

// shallow copies the maps and shares the objects, which are never changed.
func (s *Snapshot) shallow() *Snapshot {
	return &Snapshot{
		Revision: s.Revision, Accounts: maps.Clone(s.Accounts), Versions: maps.Clone(s.Versions), RollOuts: maps.Clone(s.RollOuts),
		DataCentres: maps.Clone(s.DataCentres), Endpoints: maps.Clone(s.Endpoints), Services: maps.Clone(s.Services),
	}
}
