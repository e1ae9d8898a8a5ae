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

// deltaMagic is the prefix of an encoded delta.
var deltaMagic = []byte("gcd")

// errDeltaMismatch means that a delta does not lead to the sender's configuration; the whole
// one is needed.
var errDeltaMismatch = errors.New("delta does not fit")

// objectRef identifies an object by kind and name.
type objectRef struct {
	Kind Kind   `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint"`
}

// delta is the difference between a revision and a later one. A change affects a few objects;
// without deltas, a VM that passes it on to ten others would send the whole configuration ten
// times.
type delta struct {
	Have int64 `cbor:"1,keyasint"`
	// Changed holds the objects that changed after revision Have, at the new revision.
	Changed *Snapshot `cbor:"2,keyasint"`
	// History holds the changes after revision Have, with the objects that they deleted.
	History []acceptedChange `cbor:"3,keyasint"`
	// Fingerprint is the fingerprint of the whole new configuration.
	Fingerprint uint64 `cbor:"4,keyasint"`
}

// fingerprint returns a hash of the names and revisions of all objects. An object's content
// changes only with its revision. The order of the objects does not matter.
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

// encodeDelta returns the encoded delta from revision have, or false if the history does not
// reach back to it.
func (r *root) encodeDelta(have int64) ([]byte, bool) {
	if have <= 0 || r.Format > formatVersion || !r.historyCovers(have) {
		return nil, false
	}
	d := delta{Have: have, Changed: &Snapshot{Revision: r.Snapshot.Revision}, Fingerprint: r.Snapshot.fingerprint()}
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

// applyDelta returns the root that a delta leads to and leaves r unchanged. The error is
// errDeltaMismatch.
func (r *root) applyDelta(encoded []byte) (*root, error) {
	var d delta
	if err := cbor.Unmarshal(bytes.TrimPrefix(encoded, deltaMagic), &d); err != nil {
		return nil, fmt.Errorf("%w: %v", errDeltaMismatch, err)
	}
	if d.Changed == nil || !d.Changed.wellFormed() || d.Have != r.Snapshot.Revision || r.Format > formatVersion {
		return nil, errDeltaMismatch
	}
	next := &root{Format: r.Format, Snapshot: r.Snapshot.shallowCopy(), History: slices.Concat(r.History, d.History)}
	next.trimHistory()
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
	// Without this check, an object that is missing would stay wrong on this VM, and on all VMs
	// that fetch from it.
	if next.Snapshot.fingerprint() != d.Fingerprint {
		return nil, errDeltaMismatch
	}
	return next, nil
}

// shallowCopy copies the maps and shares the objects, which are immutable.
func (s *Snapshot) shallowCopy() *Snapshot {
	return &Snapshot{
		Revision: s.Revision, Accounts: maps.Clone(s.Accounts), Versions: maps.Clone(s.Versions), RollOuts: maps.Clone(s.RollOuts),
		DataCentres: maps.Clone(s.DataCentres), Endpoints: maps.Clone(s.Endpoints), Services: maps.Clone(s.Services),
	}
}
