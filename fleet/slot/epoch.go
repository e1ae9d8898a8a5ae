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

// Process is one process of an entry VM; a restart makes another one.
type Process struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation uint64
}

// key is the process's id in rendezvous.
func (p Process) key() string { return p.ID + "/" + strconv.FormatUint(p.Incarnation, 36) }

func (p Process) String() string { return p.key() }

func compareProcesses(a, b Process) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Change is the difference between an epoch and the one before it.
type Change struct {
	_      struct{} `cbor:",toarray"`
	Joined []Process
	Left   []Process
}

// historyKept is how many changes an epoch's object tells. 16: a process that
// reads each ten seconds misses none unless it was away for minutes, and then
// the only harm is that its slots wait.
const historyKept = 16

// maxEpoch bounds an epoch's number: more than a write a millisecond for 8,000
// years. Beyond it the object is damaged, and walking up to it would not end.
const maxEpoch = 1 << 48

// Epoch is the platform's object: who shares the slots.
type Epoch struct {
	_ struct{} `cbor:",toarray"`
	// Number grows by one with each write; the first is 1.
	Number uint64
	// Members sorted by id.
	Members []Process
	// History tells how the epoch came about, the newest change first.
	History []Change
}

// Encode gives the object's bytes.
func (e Epoch) Encode() ([]byte, error) { return cbor.Marshal(e) }

// DecodeEpoch reads the object.
func DecodeEpoch(data []byte) (Epoch, error) {
	var e Epoch
	if err := cbor.Unmarshal(data, &e); err != nil {
		return Epoch{}, fmt.Errorf("decode epoch: %w", err)
	}
	if e.Number == 0 || e.Number > maxEpoch || len(e.History) > historyKept || !slices.IsSortedFunc(e.Members, compareProcesses) {
		return Epoch{}, errors.New("epoch out of bounds")
	}
	return e, nil
}

// next gives the epoch that follows e with these members.
func (e Epoch) next(members []Process) Epoch {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, compareProcesses)
	sorted = slices.Compact(sorted)
	change := Change{Joined: without(sorted, e.Members), Left: without(e.Members, sorted)}
	history := append([]Change{change}, e.History...)
	return Epoch{Number: e.Number + 1, Members: sorted, History: history[:min(len(history), historyKept)]}
}

// membersAt gives the members of an earlier epoch, none when the history ends before it.
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

func without(all, gone []Process) []Process {
	return slices.DeleteFunc(slices.Clone(all), func(p Process) bool { return slices.Contains(gone, p) })
}

// slotKey names one slot of one endpoint.
type slotKey struct {
	endpoint string
	index    int
}

func (k slotKey) String() string { return k.endpoint + "#" + strconv.Itoa(k.index) }

// view is an epoch as this process came to know it.
type view struct {
	number  uint64
	members []Process
	keys    []string
}

// newView without members stands for an epoch that the history no longer told:
// nobody holds a slot in it, so it ends every tenure.
func newView(number uint64, members []Process) view {
	v := view{number: number, members: members}
	for _, p := range members {
		v.keys = append(v.keys, p.key())
	}
	return v
}

// holder is whose slot it is; false when nobody's or not known.
func (v view) holder(k slotKey) (Process, bool) {
	best := rendezvous.Best(k.String(), v.keys)
	if i := slices.Index(v.keys, best); i >= 0 {
		return v.members[i], true
	}
	return Process{}, false
}
