package slot

import "time"

// Lend lends an idle slot to another process and reports whether it did. The slot
// counts as used until it is returned or until the borrower's job must have ended by
// this process's clock.
func (t *Table) Lend(now time.Time, endpoint string, limit int, id LoanID) bool {
	if _, again := t.byLoan[id]; again {
		// The borrower's time runs from its first request, so a duplicate message must
		// not start a new loan.
		return false
	}
	key, ok, _ := t.findIdle(now, endpoint, limit)
	if !ok {
		return false
	}
	t.used[key] = use{loan: id, until: now.Add(t.params.loanTime())}
	t.byLoan[id] = key
	return true
}

// Return frees a lent slot. An unknown id has no effect.
func (t *Table) Return(id LoanID) {
	if k, ok := t.byLoan[id]; ok {
		delete(t.byLoan, id)
		delete(t.used, k)
	}
}

// NewLoan returns an unused id for a loan request.
func (t *Table) NewLoan() LoanID {
	t.lastID++
	return LoanID{Borrower: t.self, Number: t.lastID}
}

// AcceptLoan turns a lender's yes into a grant. askedAt is when this process sent the
// request; the lender's time begins later, so the borrower's ends before it. It returns
// false for a yes that came too late; the borrower then returns the loan.
func (t *Table) AcceptLoan(now, askedAt time.Time, endpoint string, lender Process, id LoanID) (Grant, bool) {
	g := Grant{Endpoint: endpoint, StartBy: askedAt.Add(t.params.Start / 2), Lender: lender, Loan: id}
	return g, g.MayStart(now)
}

// HandOver reports whether the process that gained the slot with epoch may use it now.
// This requires that this process has adopted that epoch, so that it starts nothing
// more on the slot; that it runs and lends nothing on the slot; and that it was
// entitled to the slot itself, since a slot that moved twice in short order may still
// be in use by the holder before.
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
	return ok && t.exclusive(now, k, held)
}

// PriorHandOver returns the handover that this process needs first, when HandOver
// refused only because this process was not entitled to the slot itself yet. Without it
// a slot that moves on before its holder ever used it would stay idle for Params.Wait,
// at each step of a rolling restart.
func (t *Table) PriorHandOver(now time.Time, endpoint string, index int, epoch uint64) (Source, bool) {
	k := slotKey{endpoint: endpoint, index: index}
	if t.epoch.Number < epoch || epoch < 2 {
		return Source{}, false
	}
	held, ok := t.tenureAt(k, epoch-1)
	if !ok || !held.hasPrevious || t.exclusive(now, k, held) {
		return Source{}, false
	}
	return Source{Kind: Handover, Process: held.previous, Index: index, Epoch: held.first}, true
}

// RecordHandOver records that the previous holder handed over the slot for the tenure
// that began with epoch. It has no effect on a later tenure, since the previous holder
// may have used the slot in between.
func (t *Table) RecordHandOver(endpoint string, index int, epoch uint64) {
	k := slotKey{endpoint: endpoint, index: index}
	held, ok := t.tenureAt(k, epoch)
	if ok && held.first == epoch && epoch > t.handedOver[k] {
		t.handedOver[k] = epoch
	}
}

// Propose returns the epoch to write in place of the newest known one, and the object
// version that the write must replace. Only members may propose, or any process once
// all members have ended for good; confirmation during an outage depends on this. From
// then on this process does not confirm the old epoch.
func (t *Table) Propose(members []Process, gone func(Process) bool) (Epoch, int64, bool) {
	if !t.mayPropose(gone) {
		return Epoch{}, 0, false
	}
	if t.epoch.Number > 0 {
		t.proposed = t.epoch.Number
	}
	return t.epoch.next(members), t.version, true
}

// mayPropose reports whether this process is a member, or all members have ended
// for good.
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

// ProposalFailed records that the write certainly had no effect. An earlier write whose
// outcome is unknown may still take effect and keeps the proposal open.
func (t *Table) ProposalFailed() {
	if !t.unresolved {
		t.proposed = 0
	}
}

// ProposalUnknown records that the write may or may not take effect, now or later. The
// proposal stays open until a newer epoch shows that the write can no longer succeed.
func (t *Table) ProposalUnknown() { t.unresolved = true }

// Confirm reports, for another member in an outage, whether this process knows no epoch
// after number and has not tried to write one. It answers only for this incarnation: a
// restarted process can't know what the process before it tried to write.
func (t *Table) Confirm(asked Process, number uint64) bool {
	return asked == t.self && t.epoch.Number == number && t.proposed == 0
}

// RecordConfirmation records that every other member of epoch number confirmed it when
// asked at askedAt or later. Only members write the next epoch, so none was written
// before askedAt and the evidence may date from then.
func (t *Table) RecordConfirmation(askedAt time.Time, number uint64) {
	if t.Confirm(t.self, number) && askedAt.After(t.evidence) {
		t.evidence = askedAt
	}
}

// Dump is the table's part of the state dump.
type Dump struct {
	Self    Process
	Epoch   uint64
	Members int
	// Valid reports whether own slots may be used; see Table.Valid.
	Valid bool
	// Granted and Lent count the slots in use. Handed counts the slots that were handed
	// over without a wait.
	Granted, Lent, Handed int
	// Proposing reports whether this process tried to write the next epoch and the attempt has
	// not certainly failed.
	Proposing bool
}

// Dump returns the state of the table at now.
func (t *Table) Dump(now time.Time) Dump {
	return Dump{
		Self: t.self, Epoch: t.epoch.Number, Members: len(t.epoch.Members), Valid: t.Valid(now),
		Granted: len(t.byGrant), Lent: len(t.byLoan), Handed: len(t.handedOver), Proposing: t.proposed != 0,
	}
}
