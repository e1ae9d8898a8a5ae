// Package pin keeps a session on one model version. The first answer fixes the version: in a
// token that the caller sends along, in a ledger record for callers that only send the
// session's ID, and, while the ledger is unavailable, by a hash of the session and the
// roll-out's weights that is the same on every VM.
package pin

import (
	"context"
	"time"

	"goldcrestfork/ledger"
)

// RecordRetentionHours is the retention of a session's record in hours. A use in the second half
// of that time renews it.
const RecordRetentionHours = 24

// Source is the origin of a session's version.
type Source string

// Sources of a pin, in the order of preference.
const (
	SourceToken  Source = "token"  // sent by the caller
	SourceRecord Source = "record" // decided in the ledger
	SourceHash   Source = "hash"   // computed because the ledger can't be reached
)

// Decider is the part of a ledger that pins use; see ledger.Ledger.Decide.
type Decider interface {
	Decide(ctx context.Context, key ledger.Key, value []byte, hours uint32) (winner []byte, mine bool, err error)
}

// Session identifies a session within a client account.
type Session struct {
	Account string
	ID      string
}

// Pin is a session's version and its origin.
type Pin struct {
	Version string
	Source  Source
	// MovedFrom is the version that the session had to leave because it is not usable any more;
	// empty if the session did not move.
	MovedFrom string
	// Token is a new token, which the caller sends with the session's next request.
	Token string
}

// Pins assigns versions to sessions.
type Pins struct {
	ledger Decider
	signer *Signer
}

// New returns Pins that keep records in a ledger and use tokens of signer.
func New(l Decider, signer *Signer) *Pins { return &Pins{ledger: l, signer: signer} }

// Version returns a session's version. weights are the configured weights of the roll-out's
// versions that the session's account may use. usable reports whether a pinned version may
// still be used. now is the wall-clock time, for the token's lifetime. The only error is
// ErrNoVersion.
//
// If a pinned version is not usable any more, the session moves to another and MovedFrom holds the
// version that it left. The next version is decided under a key that contains the version left,
// so that all VMs agree on it. If the version left becomes usable again, a session without a
// token returns to it.
func (p *Pins) Version(ctx context.Context, s Session, token string, weights []VersionWeight, usable func(string) bool, now time.Time) (Pin, error) {
	var moved string
	if version, err := p.signer.Verify(s, token, now); err == nil {
		if usable(version) {
			return p.withToken(s, Pin{Version: version, Source: SourceToken}, now), nil
		}
		moved = version
	}
	choice, ok := ChooseVersion(s, weights)
	if !ok {
		return Pin{}, ErrNoVersion
	}
	out := p.decide(ctx, s, moved, choice, usable)
	return p.withToken(s, out, now), nil
}

// decide follows the records from the version that the session left, if any, to a usable one.
func (p *Pins) decide(ctx context.Context, s Session, moved, choice string, usable func(string) bool) Pin {
	for range maxMoves {
		won, _, err := p.ledger.Decide(ctx, recordKey(s, moved), []byte(choice), RecordRetentionHours)
		if err != nil {
			return Pin{Version: choice, Source: SourceHash, MovedFrom: moved}
		}
		if usable(string(won)) {
			return Pin{Version: string(won), Source: SourceRecord, MovedFrom: moved}
		}
		moved = string(won)
	}
	return Pin{Version: choice, Source: SourceHash, MovedFrom: moved}
}

// maxMoves is the maximum number of records that decide follows. It is only reached if more
// versions than the 19 in use at the intended size are withdrawn within a session's lifetime.
const maxMoves = 20

func recordKey(s Session, left string) ledger.Key {
	return ledger.MakeKey(ledger.SpacePin, s.Account, s.ID, left)
}

func (p *Pins) withToken(s Session, out Pin, now time.Time) Pin {
	out.Token = p.signer.Sign(s, out.Version, now)
	return out
}
