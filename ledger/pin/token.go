package pin

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"strings"
	"time"
)

// Errors of pins.
var (
	// ErrToken: the token is malformed, of another session or not signed by us.
	ErrToken = errors.New("pin token not valid")
	// ErrExpired: the token was ours and is too old.
	ErrExpired = errors.New("pin token expired")
	// ErrNoVersion: the roll-out gives no version a share.
	ErrNoVersion = errors.New("no version to pin to")
	// ErrKey: a signing key is too short.
	ErrKey = errors.New("pin key shorter than 32 bytes")
)

const (
	// DefaultLife of a token; each answer brings a new one.
	DefaultLife = 24 * time.Hour
	// minKey is the HMAC key's least length in bytes: SHA-256's own size.
	minKey = sha256.Size
	// macSize of a token in bytes: 128 bits, which nobody guesses online.
	macSize   = 16
	tokenForm = "p1."
)

var encoding = base64.RawURLEncoding

// Signer makes and checks pin tokens. It is safe for concurrent use.
type Signer struct {
	keys [][]byte
	life time.Duration
}

// NewSigner signs with the first key and accepts all, so that keys can be
// replaced without a moment at which some VM refuses another's tokens: first
// add the new key last everywhere, then put it first, then drop the old.
// life 0 takes DefaultLife.
func NewSigner(life time.Duration, keys ...[]byte) (*Signer, error) {
	if len(keys) == 0 {
		return nil, ErrKey
	}
	for _, k := range keys {
		if len(k) < minKey {
			return nil, ErrKey
		}
	}
	if life == 0 {
		life = DefaultLife
	}
	return &Signer{keys: keys, life: life}, nil
}

// Sign gives a token that pins a session to a version. It shows the version and
// its expiry in the clear; the session is only in the signature.
func (s *Signer) Sign(session Session, version string, now time.Time) string {
	payload := binary.BigEndian.AppendUint64(nil, uint64(now.Add(s.life).Unix()))
	payload = append(payload, version...)
	mac := sign(s.keys[0], session, payload)
	return tokenForm + encoding.EncodeToString(payload) + "." + encoding.EncodeToString(mac)
}

// Verify gives the version that a token pins the session to. now is compared
// with another VM's clock, so a token's life is true to their difference.
func (s *Signer) Verify(session Session, token string, now time.Time) (string, error) {
	rest, ok := strings.CutPrefix(token, tokenForm)
	if !ok {
		return "", ErrToken
	}
	text, sum, ok := strings.Cut(rest, ".")
	if !ok {
		return "", ErrToken
	}
	payload, err1 := encoding.DecodeString(text)
	mac, err2 := encoding.DecodeString(sum)
	if err1 != nil || err2 != nil || len(payload) < 8 || !s.signed(session, payload, mac) {
		return "", ErrToken
	}
	if expires := int64(binary.BigEndian.Uint64(payload)); now.Unix() > expires {
		return "", ErrExpired
	}
	return string(payload[8:]), nil
}

// signed compares in constant time with every key.
func (s *Signer) signed(session Session, payload, mac []byte) bool {
	ok := false
	for _, k := range s.keys {
		ok = hmac.Equal(sign(k, session, payload), mac) || ok
	}
	return ok
}

func sign(key []byte, session Session, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(session.Account), []byte(session.ID), payload} {
		h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		h.Write(part)
	}
	return h.Sum(nil)[:macSize]
}
