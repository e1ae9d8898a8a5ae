package slot

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"goldcrestfork/fleet/rendezvous"
)

// Process identifies one process of an entry VM. A restart creates a new Process with a
// higher incarnation.
type Process struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation uint64
}

// key returns the id of the process for rendezvous hashing.
func (p Process) key() string { return p.ID + "/" + strconv.FormatUint(p.Incarnation, 36) }

// String returns the VM id and the incarnation in base 36.
func (p Process) String() string { return p.key() }

func compareProcesses(a, b Process) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Change is the difference between an epoch and the one before it.
type Change struct {
	_ struct{} `cbor:",toarray"`
	// Joined are members of the epoch but not of the one before; Left is the reverse.
	Joined []Process
	Left   []Process
}

// maxHistory is the number of changes that an epoch object keeps. A process that reads
// the object every ten seconds misses none of 16 changes unless it was away for
// minutes, and then its slots only wait.
const maxHistory = 16

// maxEpoch bounds an epoch number: one write per millisecond for 8,000 years stays
// below it. A larger number means a damaged object, and iterating up to it would not
// end.
const maxEpoch = 1 << 48

// Epoch is the platform object that lists the processes that share the slots.
type Epoch struct {
	_ struct{} `cbor:",toarray"`
	// Number grows by one with each write; the first epoch is 1.
	Number uint64
	// Members is sorted by id and incarnation.
	Members []Process
	// History holds the changes that led to this epoch, newest first, at most
	// maxHistory.
	History []Change
}

// Encode returns the CBOR encoding of the object.
func (e Epoch) Encode() ([]byte, error) { return cbor.Marshal(e) }

// DecodeEpoch decodes the object. It returns an error for malformed data, a number out
// of range, unsorted members or a history that is too long.
func DecodeEpoch(data []byte) (Epoch, error) {
	var e Epoch
	if err := cbor.Unmarshal(data, &e); err != nil {
		return Epoch{}, fmt.Errorf("decode epoch: %w", err)
	}
	if e.Number == 0 || e.Number > maxEpoch || len(e.History) > maxHistory || !slices.IsSortedFunc(e.Members, compareProcesses) {
		return Epoch{}, errors.New("epoch out of bounds")
	}
	return e, nil
}

// next returns the epoch that follows e with the given members.
func (e Epoch) next(members []Process) Epoch {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, compareProcesses)
	sorted = slices.Compact(sorted)
	change := Change{Joined: without(sorted, e.Members), Left: without(e.Members, sorted)}
	history := append([]Change{change}, e.History...)
	return Epoch{Number: e.Number + 1, Members: sorted, History: history[:min(len(history), maxHistory)]}
}

// membersAt returns the members of an earlier epoch, or nil when the history does not
// reach back to it.
func (e Epoch) membersAt(number uint64) []Process {
	back := e.Number - number
	if number == 0 || number > e.Number || back > uint64(len(e.History)) {
		return nil
	}
	members := slices.Clone(e.Members)
	for _, c := range e.History[:back] {
		members = append(without(members, c.Joined), c.Left...)
	}
	slices.SortFunc(members, compareProcesses)
	return members
}

// without returns all except the processes in gone.
func without(all, gone []Process) []Process {
	return slices.DeleteFunc(slices.Clone(all), func(p Process) bool { return slices.Contains(gone, p) })
}

// slotKey identifies one slot of one endpoint.
type slotKey struct {
	endpoint string
	index    int
}

func (k slotKey) String() string { return k.endpoint + "#" + strconv.Itoa(k.index) }

// view is the member list of one epoch that this process knows, with the rendezvous
// keys of the members.
type view struct {
	number  uint64
	members []Process
	keys    []string
}

// newView builds a view. Without members it stands for an epoch that the history no
// longer covers: no process holds a slot in it, so it ends every tenure.
func newView(number uint64, members []Process) view {
	v := view{number: number, members: members}
	for _, p := range members {
		v.keys = append(v.keys, p.key())
	}
	return v
}

// holder returns the process that holds the slot; false when no process holds it or the
// holder is unknown.
func (v view) holder(k slotKey) (Process, bool) {
	best := rendezvous.Best(k.String(), v.keys)
	if i := slices.Index(v.keys, best); i >= 0 {
		return v.members[i], true
	}
	return Process{}, false
}
