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

// Errors of package pin.
var (
	// ErrInvalidToken reports that the token is malformed, belongs to another session or has no
	// valid signature.
	ErrInvalidToken = errors.New("pin token not valid")
	// ErrExpired reports that the token's signature is valid, but its lifetime is over.
	ErrExpired = errors.New("pin token expired")
	// ErrNoVersion reports that no version of the roll-out has a weight.
	ErrNoVersion = errors.New("no version to pin to")
	// ErrKeyTooShort reports that a signing key is missing or too short.
	ErrKeyTooShort = errors.New("pin key shorter than 32 bytes")
)

const (
	// DefaultTokenLifetime is the lifetime of a token; each answer carries a new one.
	DefaultTokenLifetime = 24 * time.Hour
	// minKeySize is the minimum length of an HMAC key in bytes, the digest size of SHA-256.
	minKeySize = sha256.Size
	// macSize is the length of a token's signature in bytes; 128 bits can't be guessed by online
	// attempts.
	macSize     = 16
	tokenPrefix = "p1."
)

var encoding = base64.RawURLEncoding

// Signer creates and verifies pin tokens. It is safe for concurrent use.
type Signer struct {
	keys          [][]byte
	tokenLifetime time.Duration
}

// NewSigner returns a Signer that signs with the first key and accepts all keys. Keys can thus
// be replaced without a VM refusing another's tokens: the new key is first added in last place
// on every VM, then put first, and then the old one is removed. lifetime is that of a
// token; 0 means DefaultTokenLifetime. The error is ErrKeyTooShort.
func NewSigner(lifetime time.Duration, keys ...[]byte) (*Signer, error) {
	if len(keys) == 0 {
		return nil, ErrKeyTooShort
	}
	for _, k := range keys {
		if len(k) < minKeySize {
			return nil, ErrKeyTooShort
		}
	}
	if lifetime == 0 {
		lifetime = DefaultTokenLifetime
	}
	return &Signer{keys: keys, tokenLifetime: lifetime}, nil
}

// Sign returns a token that pins a session to a version. The token contains the version and its
// expiry in plain text; the session only goes into the signature.
func (s *Signer) Sign(session Session, version string, now time.Time) string {
	payload := binary.BigEndian.AppendUint64(nil, uint64(now.Add(s.tokenLifetime).Unix()))
	payload = append(payload, version...)
	mac := sign(s.keys[0], session, payload)
	return tokenPrefix + encoding.EncodeToString(payload) + "." + encoding.EncodeToString(mac)
}

// Verify returns the version that a token pins the session to; its errors are ErrInvalidToken
// and ErrExpired. now is compared with the clock of the VM that signed the token, so the
// lifetime is only as exact as the clocks agree.
func (s *Signer) Verify(session Session, token string, now time.Time) (string, error) {
	rest, ok := strings.CutPrefix(token, tokenPrefix)
	if !ok {
		return "", ErrInvalidToken
	}
	text, sum, ok := strings.Cut(rest, ".")
	if !ok {
		return "", ErrInvalidToken
	}
	payload, err1 := encoding.DecodeString(text)
	mac, err2 := encoding.DecodeString(sum)
	if err1 != nil || err2 != nil || len(payload) < 8 || !s.validMAC(session, payload, mac) {
		return "", ErrInvalidToken
	}
	if expires := int64(binary.BigEndian.Uint64(payload)); now.Unix() > expires {
		return "", ErrExpired
	}
	return string(payload[8:]), nil
}

// validMAC reports whether a signature matches one of the keys. It compares with every key, in
// constant time.
func (s *Signer) validMAC(session Session, payload, mac []byte) bool {
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
