// Package pin keeps a session on its version. The first answer fixes the
// version: in a token that the caller carries, in a ledger record for callers
// that send a session's ID alone, and, while the store is down, by a function of
// the session and the roll-out that gives every VM the same.
package pin

import (
	"context"
	"time"

	"goldcrestfork/ledger"
)

// RecordHours is how long a session's record lives after its last use, in hours.
const RecordHours = 24

// Source tells where a session's version comes from.
type Source string

// Sources of a pin, best first.
const (
	SourceToken  Source = "token"  // carried by the caller
	SourceRecord Source = "record" // decided in the ledger
	SourceHash   Source = "hash"   // the ledger can't be reached
)

// Decider is the ledger as pins use it.
type Decider interface {
	Decide(ctx context.Context, key ledger.Key, value []byte, hours uint32) (winner []byte, mine bool, err error)
}

// Session names a session within a client account.
type Session struct {
	Account string
	ID      string
}

// Pin is a session's version.
type Pin struct {
	Version string
	Source  Source
	// Moved is the version that the session had to leave, since it may not be used any more.
	Moved string
	// Token is for the caller to send along with the session's next request.
	Token string
}

// Pins gives sessions their versions.
type Pins struct {
	ledger Decider
	signer *Signer
}

// New returns the pins kept in a ledger, with tokens of signer.
func New(l Decider, signer *Signer) *Pins { return &Pins{ledger: l, signer: signer} }

// Version gives a session's version. shares are the roll-out's as configured,
// of versions that the session's account may use; usable says whether a version
// that was pinned earlier still is. now is the wall clock, for the token's life.
//
// A pin whose version is not usable any more gives way, and Moved says so. The
// next version is decided under a key that names the one left, so that all VMs
// agree on it too. When the version left becomes usable again, a session without
// a token goes back to it.
func (p *Pins) Version(ctx context.Context, s Session, token string, shares []Share, usable func(string) bool, now time.Time) (Pin, error) {
	var moved string
	if version, err := p.signer.Verify(s, token, now); err == nil {
		if usable(version) {
			return p.signed(s, Pin{Version: version, Source: SourceToken}, now), nil
		}
		moved = version
	}
	choice, ok := Choose(s, shares)
	if !ok {
		return Pin{}, ErrNoVersion
	}
	out := p.decide(ctx, s, moved, choice, usable)
	return p.signed(s, out, now), nil
}

// decide follows the records from the version left, if any, to one that is usable.
func (p *Pins) decide(ctx context.Context, s Session, moved, choice string, usable func(string) bool) Pin {
	for range maxMoves {
		won, _, err := p.ledger.Decide(ctx, recordKey(s, moved), []byte(choice), RecordHours)
		if err != nil {
			return Pin{Version: choice, Source: SourceHash, Moved: moved}
		}
		if usable(string(won)) {
			return Pin{Version: string(won), Source: SourceRecord, Moved: moved}
		}
		moved = string(won)
	}
	return Pin{Version: choice, Source: SourceHash, Moved: moved}
}

// maxMoves bounds the records followed. Grounds: more versions withdrawn than
// are in use at the size designed for (19) within a session's life.
const maxMoves = 20

func recordKey(s Session, left string) ledger.Key {
	return ledger.MakeKey(ledger.SpacePin, s.Account, s.ID, left)
}

func (p *Pins) signed(s Session, out Pin, now time.Time) Pin {
	out.Token = p.signer.Sign(s, out.Version, now)
	return out
}
