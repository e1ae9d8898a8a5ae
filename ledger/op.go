package ledger

// opKind is the kind of an operation on a key.
type opKind uint8

const (
	opDecide opKind = iota + 1
	opBegin
	opFinish
	opClose
)

// op is one operation on one key. It is idempotent: its nonce identifies the entry that it
// wrote, so it can be applied again after a lost reply from the platform or a peer.
type op struct {
	Kind        opKind      `cbor:"1,keyasint"`
	Key         Key         `cbor:"2,keyasint"`
	Nonce       uint64      `cbor:"3,keyasint"`
	Hours       uint32      `cbor:"4,keyasint"` // retention, counted from the time of the write
	Fingerprint Fingerprint `cbor:"5,keyasint,omitempty"`
	VM          string      `cbor:"6,keyasint,omitempty"`
	Incarnation uint64      `cbor:"7,keyasint,omitempty"`
	State       State       `cbor:"8,keyasint,omitempty"`
	Status      uint16      `cbor:"9,keyasint,omitempty"`
	Value       []byte      `cbor:"10,keyasint,omitempty"`
	Omitted     bool        `cbor:"11,keyasint,omitempty"`
}

// verdict is the outcome of an operation.
type verdict uint8

const (
	// verdictMine means that the entry is this writer's and in the requested state.
	verdictMine verdict = iota + 1
	// verdictOther means that the entry is another writer's.
	verdictOther
	// verdictOtherBody means that the key was used for a request with another fingerprint.
	verdictOtherBody
	// verdictFenced means that the writer's own claim is closed already.
	verdictFenced
	// verdictMissing means that the key has no entry to change.
	verdictMissing
)

// result holds the verdict on an operation and the entry after it.
type result struct {
	Verdict verdict `cbor:"1,keyasint"`
	Entry   Entry   `cbor:"2,keyasint"`
}

// apply returns the entry after o, whether it differs from e, and the result. e is nil if the
// key has no live entry; hour is the current hour. The expiry of an entry never decreases, even
// if the clocks of VMs differ; planSeal depends on this.
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

// applyDecide keeps the first value. A use in the second half of an entry's lifetime renews it,
// so that a long session does not lose its pin between two requests.
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
	return next, renew, result{Verdict: writerVerdict(e, o)}
}

func writerVerdict(e *Entry, o op) verdict {
	if e.Nonce == o.Nonce {
		return verdictMine
	}
	return verdictOther
}

func applyBegin(e *Entry, o op, hour uint32) (Entry, bool, result) {
	switch {
	case e == nil:
		return newClaim(o, hour, 1), true, result{Verdict: verdictMine}
	case e.Nonce == o.Nonce && e.State == StateOpen:
		return *e, false, result{Verdict: verdictMine}
	case e.Nonce == o.Nonce:
		// The claimant gave up, and its own begin arrives after the close. Opening the claim
		// again would leave a claim that is never finished.
		return *e, false, result{Verdict: verdictFenced}
	case e.Fingerprint != o.Fingerprint:
		return *e, false, result{Verdict: verdictOtherBody}
	case e.State == StateNotRun:
		next := newClaim(o, hour, e.Generation+1)
		next.Expire = max(e.Expire, next.Expire)
		return next, true, result{Verdict: verdictMine}
	}
	return *e, false, result{Verdict: verdictOther}
}

func newClaim(o op, hour, generation uint32) Entry {
	return Entry{
		Key: o.Key, State: StateOpen, Nonce: o.Nonce, Expire: hour + o.Hours,
		Generation: generation, Fingerprint: o.Fingerprint,
		VM: o.VM, Incarnation: o.Incarnation,
	}
}

// applyFinish records the outcome of a claim. The state "unknown" may still become "done" if
// the claimant learns the outcome; nothing else changes a finished claim.
func applyFinish(e *Entry, o op, hour uint32) (Entry, bool, result) {
	if e == nil {
		return Entry{Key: o.Key}, false, result{Verdict: verdictMissing}
	}
	if e.Nonce != o.Nonce {
		return *e, false, result{Verdict: verdictOther}
	}
	mayChange := e.State == StateOpen || e.State == StateUnknown && o.State == StateDone
	if !mayChange {
		return *e, false, result{Verdict: stateVerdict(e, o.State)}
	}
	next := *e
	next.State, next.Status, next.Value, next.Omitted = o.State, o.Status, o.Value, o.Omitted
	next.Expire = max(e.Expire, hour+o.Hours)
	return next, true, result{Verdict: verdictMine}
}

func stateVerdict(e *Entry, want State) verdict {
	if e.State == want {
		return verdictMine
	}
	return verdictFenced
}

// applyClose records that the claim's request did not run. If there is no entry, it creates a
// closed one: the claim's own write may still arrive, delayed by the platform or by a peer, and
// must then find the claim closed.
func applyClose(e *Entry, o op, hour uint32) (Entry, bool, result) {
	if e == nil {
		n := newClaim(o, hour, 1)
		n.State = StateNotRun
		return n, true, result{Verdict: verdictMine}
	}
	if e.Nonce != o.Nonce {
		return *e, false, result{Verdict: verdictOther}
	}
	if e.State != StateOpen {
		return *e, false, result{Verdict: stateVerdict(e, StateNotRun)}
	}
	next := *e
	next.State = StateNotRun
	return next, true, result{Verdict: verdictMine}
}
