package ledger

// opKind is what an operation does to a key.
type opKind uint8

const (
	opDecide opKind = iota + 1
	opBegin
	opFinish
	opClose
)

// op is one operation on one key. Applying it twice has the effect of applying
// it once: its nonce tells its own entry. That is what makes it safe to apply
// again after a lost reply of the platform or of a peer.
type op struct {
	Kind        opKind      `cbor:"1,keyasint"`
	Key         Key         `cbor:"2,keyasint"`
	Nonce       uint64      `cbor:"3,keyasint"`
	Hours       uint32      `cbor:"4,keyasint"` // retention from the time of the write
	Fingerprint Fingerprint `cbor:"5,keyasint,omitempty"`
	VM          string      `cbor:"6,keyasint,omitempty"`
	Incarnation uint64      `cbor:"7,keyasint,omitempty"`
	State       State       `cbor:"8,keyasint,omitempty"`
	Status      uint16      `cbor:"9,keyasint,omitempty"`
	Value       []byte      `cbor:"10,keyasint,omitempty"`
	Omitted     bool        `cbor:"11,keyasint,omitempty"`
}

// verdict is how an operation ended.
type verdict uint8

const (
	// verdictMine: the entry is this writer's and in the state asked for.
	verdictMine verdict = iota + 1
	// verdictOther: another writer's entry stands.
	verdictOther
	// verdictOtherBody: the key was used for another request.
	verdictOtherBody
	// verdictFenced: the writer's own claim is closed already.
	verdictFenced
	// verdictMissing: no entry to change.
	verdictMissing
)

// result is the entry as it stands after the operation, and the verdict.
type result struct {
	Verdict verdict `cbor:"1,keyasint"`
	Entry   Entry   `cbor:"2,keyasint"`
}

// apply gives the entry after o, whether it differs from e, and the result. An
// entry's expiry never falls, even if VMs' clocks differ: see planSeal.
// e is nil when the key has no live entry; hour is now.
func apply(e *Entry, o op, hour uint32) (next Entry, changed bool, r result) {
	switch o.Kind {
	case opDecide:
		next, changed, r = applyDecide(e, o, hour)
	case opBegin:
		next, changed, r = applyBegin(e, o, hour)
	case opFinish:
		next, changed, r = applyFinish(e, o, hour)
	case opClose:
		next, changed, r = applyClose(e, o, hour)
	default:
		return Entry{}, false, result{Verdict: verdictMissing}
	}
	r.Entry = next
	return next, changed, r
}

// applyDecide keeps the first value. A use in the last half of an entry's life
// renews it, so that a long session does not lose its pin between two requests.
func applyDecide(e *Entry, o op, hour uint32) (Entry, bool, result) {
	if e == nil {
		n := Entry{Key: o.Key, State: StateDecided, Nonce: o.Nonce, Expire: hour + o.Hours, Value: o.Value}
		return n, true, result{Verdict: verdictMine}
	}
	next := *e
	renew := e.Expire < hour+o.Hours/2
	if renew {
		next.Expire = hour + o.Hours
	}
	return next, renew, result{Verdict: ownership(e, o)}
}

func ownership(e *Entry, o op) verdict {
	if e.Nonce == o.Nonce {
		return verdictMine
	}
	return verdictOther
}

func applyBegin(e *Entry, o op, hour uint32) (Entry, bool, result) {
	switch {
	case e == nil:
		return claimed(o, hour, 1), true, result{Verdict: verdictMine}
	case e.Nonce == o.Nonce && e.State == StateOpen:
		return *e, false, result{Verdict: verdictMine}
	case e.Nonce == o.Nonce:
		// The claimant gave up, and this is its own begin arriving after the
		// close: reopening would leave a claim that nobody finishes.
		return *e, false, result{Verdict: verdictFenced}
	case e.Fingerprint != o.Fingerprint:
		return *e, false, result{Verdict: verdictOtherBody}
	case e.State == StateNotRun:
		next := claimed(o, hour, e.Generation+1)
		next.Expire = max(e.Expire, next.Expire)
		return next, true, result{Verdict: verdictMine}
	}
	return *e, false, result{Verdict: verdictOther}
}

func claimed(o op, hour, generation uint32) Entry {
	return Entry{
		Key: o.Key, State: StateOpen, Nonce: o.Nonce, Expire: hour + o.Hours,
		Generation: generation, Fingerprint: o.Fingerprint,
		VM: o.VM, Incarnation: o.Incarnation,
	}
}

// applyFinish records the outcome. "Unknown" may still become "done" when the
// claimant learns more; nothing else changes a finished claim.
func applyFinish(e *Entry, o op, hour uint32) (Entry, bool, result) {
	if e == nil {
		return Entry{Key: o.Key}, false, result{Verdict: verdictMissing}
	}
	if e.Nonce != o.Nonce {
		return *e, false, result{Verdict: verdictOther}
	}
	learns := e.State == StateOpen || e.State == StateUnknown && o.State == StateDone
	if !learns {
		return *e, false, result{Verdict: ownState(e, o.State)}
	}
	next := *e
	next.State, next.Status, next.Value, next.Omitted = o.State, o.Status, o.Value, o.Omitted
	next.Expire = max(e.Expire, hour+o.Hours)
	return next, true, result{Verdict: verdictMine}
}

func ownState(e *Entry, want State) verdict {
	if e.State == want {
		return verdictMine
	}
	return verdictFenced
}

// applyClose records that the claim's request did not run. Without an entry it
// leaves one all the same: the claim's own write may be on its way still (lost
// by the platform or held by a peer), and must find itself closed.
func applyClose(e *Entry, o op, hour uint32) (Entry, bool, result) {
	if e == nil {
		n := claimed(o, hour, 1)
		n.State = StateNotRun
		return n, true, result{Verdict: verdictMine}
	}
	if e.Nonce != o.Nonce {
		return *e, false, result{Verdict: verdictOther}
	}
	if e.State != StateOpen {
		return *e, false, result{Verdict: ownState(e, StateNotRun)}
	}
	next := *e
	next.State = StateNotRun
	return next, true, result{Verdict: verdictMine}
}
