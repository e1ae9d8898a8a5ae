package slot

import "time"

// Lend gives an idle slot to another process. It counts as used until it is
// returned or until the borrower's job must be over by this process's clock.
func (t *Table) Lend(now time.Time, endpoint string, limit int, id LoanID) bool {
	if _, again := t.byLoan[id]; again {
		// The borrower's time runs from its first asking, so a message that came
		// twice must not start a new loan.
		return false
	}
	key, ok, _ := t.free(now, endpoint, limit)
	if !ok {
		return false
	}
	t.used[key] = use{loan: id, until: now.Add(t.params.loan())}
	t.byLoan[id] = key
	return true
}

// Return frees a lent slot; unknown ids do nothing.
func (t *Table) Return(id LoanID) {
	if k, ok := t.byLoan[id]; ok {
		delete(t.byLoan, id)
		delete(t.used, k)
	}
}

// NewLoan names a loan to ask for.
func (t *Table) NewLoan() LoanID {
	t.lastID++
	return LoanID{Borrower: t.self, Number: t.lastID}
}

// Borrowed turns a lender's yes into a grant. askedAt is when it was asked: the
// lender's time began later, so the borrower's ends before it. A yes that comes
// too late is no grant; the borrower returns it.
func (t *Table) Borrowed(now, askedAt time.Time, endpoint string, lender Process, id LoanID) (Grant, bool) {
	g := Grant{Endpoint: endpoint, StartBy: askedAt.Add(t.params.Start / 2), Lender: lender, Loan: id}
	return g, g.MayStart(now)
}

// HandOver answers a gainer: may it use the slot that was ours before epoch? Yes
// only if this process has taken up that epoch, so that it starts nothing more
// on the slot, runs and lends nothing on it, and was entitled to it itself: a
// slot passed on twice quickly may still be in use by the one before.
func (t *Table) HandOver(now time.Time, endpoint string, index int, epoch uint64) bool {
	k := slotKey{endpoint: endpoint, index: index}
	if t.epoch.Number < epoch || epoch < 2 || t.occupied(now, k) {
		return false
	}
	for _, v := range t.views {
		if p, ok := v.holder(k); v.number >= epoch && ok && p == t.self {
			return false
		}
	}
	held, ok := t.tenureAt(k, epoch-1)
	return ok && t.settled(now, k, held)
}

// HandOverNeeds gives whom to ask when a handover was refused only because this
// process was not entitled to the slot itself yet. Without it a slot that moves on
// before its holder ever wanted it would stand idle for Params.Wait, in a rolling
// restart at each step.
func (t *Table) HandOverNeeds(now time.Time, endpoint string, index int, epoch uint64) (Ask, bool) {
	k := slotKey{endpoint: endpoint, index: index}
	if t.epoch.Number < epoch || epoch < 2 {
		return Ask{}, false
	}
	held, ok := t.tenureAt(k, epoch-1)
	if !ok || !held.hasLoser || t.settled(now, k, held) {
		return Ask{}, false
	}
	return Ask{Kind: Handover, Process: held.loser, Index: index, Epoch: held.first}, true
}

// HandedOver takes a loser's yes about the tenure that began with epoch. It says
// nothing about a later tenure: the loser may have used the slot in between.
func (t *Table) HandedOver(endpoint string, index int, epoch uint64) {
	k := slotKey{endpoint: endpoint, index: index}
	held, ok := t.tenureAt(k, epoch)
	if ok && held.first == epoch && epoch > t.handed[k] {
		t.handed[k] = epoch
	}
}

// Propose gives the epoch to write in place of the newest known, on its version.
// Only members may propose, and anyone once all members are gone for good: the
// confirmation in an outage rests on that. From here on this process confirms
// the old epoch to nobody.
func (t *Table) Propose(members []Process, gone func(Process) bool) (Epoch, int64, bool) {
	if !t.mayPropose(gone) {
		return Epoch{}, 0, false
	}
	if t.epoch.Number > 0 {
		t.proposed = t.epoch.Number
	}
	return t.epoch.next(members), t.version, true
}

func (t *Table) mayPropose(gone func(Process) bool) bool {
	for _, p := range t.epoch.Members {
		if p == t.self {
			return true
		}
	}
	for _, p := range t.epoch.Members {
		if !gone(p) {
			return false
		}
	}
	return true
}

// ProposalFailed says that the write certainly had no effect. An earlier write
// whose outcome is unknown may still come, and keeps the proposal open.
func (t *Table) ProposalFailed() {
	if !t.unresolved {
		t.proposed = 0
	}
}

// ProposalUnknown says that the write may or may not take effect, now or later.
// The proposal stays open until a newer epoch shows that it can't any more.
func (t *Table) ProposalUnknown() { t.unresolved = true }

// Confirm answers another member in an outage: this process knows no epoch after
// number and has not tried to write one. It answers only for itself: a process
// that was restarted can't know what the one before it tried.
func (t *Table) Confirm(asked Process, number uint64) bool {
	return asked == t.self && t.epoch.Number == number && t.proposed == 0
}

// Confirmed says that every other member of epoch number confirmed it, when asked
// at askedAt or later. Only members write the next epoch, so until askedAt none
// was written and the evidence may date from then.
func (t *Table) Confirmed(askedAt time.Time, number uint64) {
	if t.Confirm(t.self, number) && askedAt.After(t.evidence) {
		t.evidence = askedAt
	}
}

// Dump is the table's part of the state dump.
type Dump struct {
	Self    Process
	Epoch   uint64
	Members int
	Valid   bool
	// Granted and Lent count slots in use, Handed those taken over without waiting.
	Granted, Lent, Handed int
	Proposing             bool
}

// Dump reports the state.
func (t *Table) Dump(now time.Time) Dump {
	return Dump{
		Self: t.self, Epoch: t.epoch.Number, Members: len(t.epoch.Members), Valid: t.Valid(now),
		Granted: len(t.byGrant), Lent: len(t.byLoan), Handed: len(t.handed), Proposing: t.proposed != 0,
	}
}
