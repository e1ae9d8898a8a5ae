package slot

import (
	"slices"
	"time"
)

// GrantID identifies a grant within its process.
type GrantID uint64

// LoanID identifies a loan. The borrower chooses it, so that it can return a loan whose
// grant was lost on the way.
type LoanID struct {
	_        struct{} `cbor:",toarray"`
	Borrower Process
	Number   uint64
}

// Grant is the right to send one request to a cold endpoint.
type Grant struct {
	// ID is passed to Table.Release; it is 0 for a borrowed slot.
	ID       GrantID
	Endpoint string
	// StartBy is the time before which sending must begin, by this process's clock. The
	// holder of the grant calls MayStart immediately before the first byte.
	StartBy time.Time
	// Lender and Loan identify a borrowed slot for its return; they are zero for an own
	// slot.
	Lender Process
	Loan   LoanID
}

// MayStart reports whether the request may still be sent. A process that was paused
// after the grant detects here that its slot may by now belong to another process.
func (g Grant) MayStart(now time.Time) bool { return now.Before(g.StartBy) }

// SourceKind is the way in which a slot is obtained from another process.
type SourceKind uint8

const (
	// Borrow requests an idle slot of the other process.
	Borrow SourceKind = iota
	// Handover requests that the previous holder hand over a slot that this process gained.
	Handover
)

// Source is another process from which a slot may be obtained.
type Source struct {
	Kind    SourceKind
	Process Process
	// Index and Epoch identify the slot and tenure of a Handover.
	Index int
	Epoch uint64
}

// use is the occupation of a slot: a local grant, or a loan until its time ends.
type use struct {
	grant GrantID
	loan  LoanID
	until time.Time
}

func (u use) lent() bool { return u.loan.Number != 0 }

// Table tracks the epochs, slots, grants and loans of one process. It has no I/O and
// takes the time as an argument. It is not safe for concurrent use.
type Table struct {
	self   Process
	params Params

	epoch   Epoch
	version int64
	// views holds the known epochs, oldest first; knownSince holds the time at which
	// each became known.
	views      []view
	knownSince []time.Time
	// evidence is when the newest read or confirmation that showed epoch to be current
	// began.
	evidence time.Time
	// proposed is the number of the epoch that this process tried to replace, or 0 if
	// there was no attempt or it certainly failed.
	proposed uint64
	// unresolved is true while the outcome of an attempt is unknown and it may still
	// take effect.
	unresolved bool

	used map[slotKey]use
	// byGrant and byLoan map grants and loans to their slots.
	byGrant map[GrantID]slotKey
	byLoan  map[LoanID]slotKey
	// handedOver maps a slot that the previous holder handed over to the epoch in which
	// this process gained it.
	handedOver map[slotKey]uint64
	// holders caches the slot holders of the newest epoch.
	holders map[slotKey]Process
	lastID  uint64
}

// NewTable returns the table of a process that knows no epoch and has no slots.
func NewTable(self Process, params Params) *Table {
	return &Table{
		self:       self,
		params:     params,
		used:       make(map[slotKey]use),
		byGrant:    make(map[GrantID]slotKey),
		byLoan:     make(map[LoanID]slotKey),
		handedOver: make(map[slotKey]uint64),
		holders:    make(map[slotKey]Process),
	}
}

// Epoch returns the newest epoch known and its object's version.
func (t *Table) Epoch() (Epoch, int64) { return t.epoch, t.version }

// Valid reports whether the evidence is still valid, so that own slots may be used.
func (t *Table) Valid(now time.Time) bool {
	return !t.evidence.IsZero() && now.Sub(t.evidence) < t.params.MaxEvidenceAge
}

// Observe applies an epoch read from the platform. askedAt is when the read began: the
// epoch was current at some time since, so the evidence dates from askedAt and not from
// the reply.
func (t *Table) Observe(now, askedAt time.Time, e Epoch, version int64) {
	if e.Number < t.epoch.Number {
		return
	}
	if askedAt.After(t.evidence) || e.Number > t.epoch.Number {
		t.evidence = askedAt
	}
	if e.Number == t.epoch.Number {
		return
	}
	t.extend(now, e)
	t.epoch, t.version = e, version
	t.unresolved = false
	t.proposed = 0
	clear(t.holders)
	t.prune(now)
}

// extend adds the views of the epochs up to e. A new process also adds the epoch before
// the first that it knows, so that it can ask the previous holders of its slots.
func (t *Table) extend(now time.Time, e Epoch) {
	from := t.epoch.Number + 1
	if t.epoch.Number == 0 {
		from = max(1, e.Number-1)
	}
	if e.Number-from > maxHistory {
		from = e.Number - maxHistory - 1
	}
	for n := from; n <= e.Number; n++ {
		t.views = append(t.views, newView(n, e.membersAt(n)))
		t.knownSince = append(t.knownSince, now)
	}
}

// prune drops the views on which no wait depends any more: all older than the newest
// one that has been known for Params.Wait. It also drops the handovers of those epochs.
func (t *Table) prune(now time.Time) {
	for len(t.views) > 1 && now.Sub(t.knownSince[1]) >= t.params.Wait() {
		t.views, t.knownSince = t.views[1:], t.knownSince[1:]
	}
	for k, n := range t.handedOver {
		if n < t.views[0].number {
			delete(t.handedOver, k)
		}
	}
}

// holder returns the process that holds the slot in the newest epoch.
func (t *Table) holder(k slotKey) (Process, bool) {
	if len(t.views) == 0 {
		return Process{}, false
	}
	if p, ok := t.holders[k]; ok {
		return p, true
	}
	p, ok := t.views[len(t.views)-1].holder(k)
	if ok {
		t.holders[k] = p
	}
	return p, ok
}

// tenure is a run of consecutive epochs in which this process holds a slot.
type tenure struct {
	// first is the epoch in which the tenure starts; since is when this process learnt
	// of it.
	first uint64
	since time.Time
	// previous held the slot in the epoch before first; hasPrevious is false when no
	// holder is known.
	previous    Process
	hasPrevious bool
}

// tenureAt returns the tenure that includes epoch number; false when this process did
// not hold the slot in that epoch.
func (t *Table) tenureAt(k slotKey, number uint64) (tenure, bool) {
	at := slices.IndexFunc(t.views, func(v view) bool { return v.number == number })
	if at < 0 {
		return tenure{}, false
	}
	var found tenure
	for i := at; i >= 0; i-- {
		p, ok := t.views[i].holder(k)
		if !ok || p != t.self {
			found.previous, found.hasPrevious = p, ok
			break
		}
		found.first, found.since = t.views[i].number, t.knownSince[i]
	}
	return found, found.first != 0
}

// exclusive reports whether no other process can be using the slot any more.
func (t *Table) exclusive(now time.Time, k slotKey, held tenure) bool {
	// There is no holder before the first epoch.
	if held.first == 1 {
		return true
	}
	// Either the previous holder handed the slot over, or its evidence, its last grant
	// and that grant's job have ended by any clock.
	return t.handedOver[k] == held.first || now.Sub(held.since) >= t.params.Wait()
}

// Acquire grants an own idle slot, or returns the sources to ask. limit is the
// endpoint's cold limit, in concurrent requests.
func (t *Table) Acquire(now time.Time, endpoint string, limit int) (Grant, bool, []Source) {
	key, ok, sources := t.findIdle(now, endpoint, limit)
	if !ok {
		return Grant{}, false, sources
	}
	t.lastID++
	id := GrantID(t.lastID)
	t.used[key] = use{grant: id}
	t.byGrant[id] = key
	return Grant{ID: id, Endpoint: endpoint, StartBy: now.Add(t.params.Start / 2)}, true, nil
}

// findIdle returns an own idle slot that may be used, or the sources to ask instead.
func (t *Table) findIdle(now time.Time, endpoint string, limit int) (slotKey, bool, []Source) {
	var sources []Source
	valid := t.Valid(now)
	for i := range limit {
		k := slotKey{endpoint: endpoint, index: i}
		p, ok := t.holder(k)
		switch {
		case !ok:
		case p != t.self:
			sources = addSource(sources, Source{Kind: Borrow, Process: p})
		case valid && !t.occupied(now, k):
			held, _ := t.tenureAt(k, t.epoch.Number)
			if t.exclusive(now, k, held) {
				return k, true, nil
			}
			if held.hasPrevious {
				sources = addSource(sources, Source{Kind: Handover, Process: held.previous, Index: i, Epoch: held.first})
			}
		}
	}
	return slotKey{}, false, sources
}

func addSource(sources []Source, a Source) []Source {
	if slices.Contains(sources, a) {
		return sources
	}
	return append(sources, a)
}

// occupied reports whether the slot is in use. It frees a lent slot whose time has
// ended.
func (t *Table) occupied(now time.Time, k slotKey) bool {
	u, ok := t.used[k]
	if ok && u.lent() && !now.Before(u.until) {
		delete(t.used, k)
		delete(t.byLoan, u.loan)
		return false
	}
	return ok
}

// Release frees the slot of a grant after its request has ended at the endpoint. A
// second release has no effect.
func (t *Table) Release(id GrantID) {
	if k, ok := t.byGrant[id]; ok {
		delete(t.byGrant, id)
		delete(t.used, k)
	}
}
