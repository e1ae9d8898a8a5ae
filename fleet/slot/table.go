package slot

import (
	"slices"
	"time"
)

// GrantID names a grant within its process.
type GrantID uint64

// LoanID names a loan; the borrower chooses it, so that it can return a loan
// whose grant got lost on the way.
type LoanID struct {
	_        struct{} `cbor:",toarray"`
	Borrower Process
	Number   uint64
}

// Grant is the right to send one request to a cold endpoint.
type Grant struct {
	ID       GrantID
	Endpoint string
	// StartBy is when sending must have begun, by this process's clock. Whoever
	// holds the grant asks MayStart immediately before the first byte.
	StartBy time.Time
	// Lender and Loan are set on a borrowed slot, to return it.
	Lender Process
	Loan   LoanID
}

// MayStart says whether the request may still be sent. A process that was paused
// after the grant finds here that its slot may be another's by now.
func (g Grant) MayStart(now time.Time) bool { return now.Before(g.StartBy) }

// AskKind is what to ask another process for.
type AskKind uint8

const (
	// Borrow: an idle slot of the process asked.
	Borrow AskKind = iota
	// Handover: whether the process asked has done with a slot that is ours now.
	Handover
)

// Ask is where else a slot may be had.
type Ask struct {
	Kind    AskKind
	Process Process
	// Index and Epoch name the slot of a Handover.
	Index int
	Epoch uint64
}

// use is what occupies a slot: a grant of ours, or a loan until its time is over.
type use struct {
	grant GrantID
	loan  LoanID
	until time.Time
}

func (u use) lent() bool { return u.loan.Number != 0 }

// Table is the pure core of one process; time is an argument. Not safe for concurrent use.
type Table struct {
	self   Process
	params Params

	epoch   Epoch
	version int64
	// views are the epochs known, oldest first, with the time each was first known by.
	views []view
	since []time.Time
	// evidence is when the newest proof that epoch is current was asked for.
	evidence time.Time
	// proposed is the epoch that this process tried to replace, unless the try certainly failed.
	proposed uint64
	// unresolved: the outcome of a try is not known and may still come.
	unresolved bool

	used map[slotKey]use
	// byGrant and byLoan find the slot to free.
	byGrant map[GrantID]slotKey
	byLoan  map[LoanID]slotKey
	// handed holds the epoch at which a slot became ours, once its loser handed it over.
	handed map[slotKey]uint64
	// holders caches the current epoch's.
	holders map[slotKey]Process
	lastID  uint64
}

// NewTable starts a process that knows no epoch and has no slots.
func NewTable(self Process, params Params) *Table {
	return &Table{
		self:    self,
		params:  params,
		used:    make(map[slotKey]use),
		byGrant: make(map[GrantID]slotKey),
		byLoan:  make(map[LoanID]slotKey),
		handed:  make(map[slotKey]uint64),
		holders: make(map[slotKey]Process),
	}
}

// Epoch is the newest epoch known and its object's version.
func (t *Table) Epoch() (Epoch, int64) { return t.epoch, t.version }

// Valid says whether the evidence still holds, and with it the use of own slots.
func (t *Table) Valid(now time.Time) bool {
	return !t.evidence.IsZero() && now.Sub(t.evidence) < t.params.Evidence
}

// Observe takes the epoch read from the platform. askedAt is when the read was
// asked for: the epoch was current at some moment since, so evidence may date
// from then and from no later.
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

// extend adds the epochs up to e. The one before the first known comes too, so
// that a new process can ask the loser of its slots.
func (t *Table) extend(now time.Time, e Epoch) {
	from := t.epoch.Number + 1
	if t.epoch.Number == 0 {
		from = max(1, e.Number-1)
	}
	if e.Number-from > historyKept {
		from = e.Number - historyKept - 1
	}
	for n := from; n <= e.Number; n++ {
		t.views = append(t.views, newView(n, e.membersAt(n)))
		t.since = append(t.since, now)
	}
}

// prune drops views that no wait depends on: all but the newest one that is older than Wait.
func (t *Table) prune(now time.Time) {
	for len(t.views) > 1 && now.Sub(t.since[1]) >= t.params.Wait() {
		t.views, t.since = t.views[1:], t.since[1:]
	}
	for k, n := range t.handed {
		if n < t.views[0].number {
			delete(t.handed, k)
		}
	}
}

// holder is whose slot it is in the newest epoch.
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

// tenure is an unbroken time in which this process holds a slot.
type tenure struct {
	// first is the epoch it starts with, since when this process knows of it.
	first uint64
	since time.Time
	// loser held the slot in the epoch before; false when not known.
	loser    Process
	hasLoser bool
}

// tenureAt is the tenure that includes epoch number; false when the slot was not ours in it.
func (t *Table) tenureAt(k slotKey, number uint64) (tenure, bool) {
	at := slices.IndexFunc(t.views, func(v view) bool { return v.number == number })
	if at < 0 {
		return tenure{}, false
	}
	var found tenure
	for i := at; i >= 0; i-- {
		p, ok := t.views[i].holder(k)
		if !ok || p != t.self {
			found.loser, found.hasLoser = p, ok
			break
		}
		found.first, found.since = t.views[i].number, t.since[i]
	}
	return found, found.first != 0
}

// settled says whether nobody else can be using the slot any more.
func (t *Table) settled(now time.Time, k slotKey, held tenure) bool {
	// Nothing comes before the first epoch.
	if held.first == 1 {
		return true
	}
	// The loser handed the slot over, or its evidence, its last grant and that
	// grant's job have ended by any clock.
	return t.handed[k] == held.first || now.Sub(held.since) >= t.params.Wait()
}

// Acquire gives a slot of our own, or tells whom to ask. limit is the number of
// requests that the endpoint bears cold.
func (t *Table) Acquire(now time.Time, endpoint string, limit int) (Grant, bool, []Ask) {
	key, ok, asks := t.free(now, endpoint, limit)
	if !ok {
		return Grant{}, false, asks
	}
	t.lastID++
	id := GrantID(t.lastID)
	t.used[key] = use{grant: id}
	t.byGrant[id] = key
	return Grant{ID: id, Endpoint: endpoint, StartBy: now.Add(t.params.Start / 2)}, true, nil
}

// free finds an idle slot of our own, or whom to ask instead.
func (t *Table) free(now time.Time, endpoint string, limit int) (slotKey, bool, []Ask) {
	var asks []Ask
	valid := t.Valid(now)
	for i := range limit {
		k := slotKey{endpoint: endpoint, index: i}
		p, ok := t.holder(k)
		switch {
		case !ok:
		case p != t.self:
			asks = addAsk(asks, Ask{Kind: Borrow, Process: p})
		case valid && !t.occupied(now, k):
			held, _ := t.tenureAt(k, t.epoch.Number)
			if t.settled(now, k, held) {
				return k, true, nil
			}
			if held.hasLoser {
				asks = addAsk(asks, Ask{Kind: Handover, Process: held.loser, Index: i, Epoch: held.first})
			}
		}
	}
	return slotKey{}, false, asks
}

func addAsk(asks []Ask, a Ask) []Ask {
	if slices.Contains(asks, a) {
		return asks
	}
	return append(asks, a)
}

// occupied frees a lent slot whose time is over, and says whether the slot is used.
func (t *Table) occupied(now time.Time, k slotKey) bool {
	u, ok := t.used[k]
	if ok && u.lent() && !now.Before(u.until) {
		delete(t.used, k)
		delete(t.byLoan, u.loan)
		return false
	}
	return ok
}

// Release frees a grant's slot once its request has ended at the endpoint. A
// second release does nothing.
func (t *Table) Release(id GrantID) {
	if k, ok := t.byGrant[id]; ok {
		delete(t.byGrant, id)
		delete(t.used, k)
	}
}
