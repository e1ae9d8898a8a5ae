package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"goldcrestfork/config"
	"goldcrestfork/router/refusal"
)

// Headers of the callers' API beside HTTP's own.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttempt is "1" on a caller's first send of a key; it lets a VM that
	// can't read the store say "not run" for certain.
	HeaderAttempt   = "X-Attempt"
	HeaderSession   = "X-Session"
	HeaderPin       = "X-Session-Pin"
	HeaderDeadline  = "X-Deadline-Ms"
	HeaderPriority  = "X-Priority"
	HeaderRequestID = "X-Request-Id"
	HeaderVersion   = "X-Model-Version"
	HeaderMoved     = "X-Session-Moved"
	HeaderResume    = "X-Resume-Token"
	HeaderPosition  = "X-Resume-From"
	HeaderReplayed  = "X-Replayed"
)

const (
	// DefaultDeadline is taken when a caller names none. Grounds: interactive
	// readers leave within a minute; deferrable work names its own.
	DefaultDeadline = 60 * time.Second
	// MaxDeadline bounds what a caller may name; beyond it a queue would hold
	// requests longer than a VM lives on an ordinary day of replacements.
	MaxDeadline = 30 * time.Minute
	// maxKey bounds caller-chosen names (keys, sessions), in bytes.
	maxKey = 256
)

// Caller is an authenticated request's common part.
type Caller struct {
	// RequestID is made here: a caller's own id could cross with another's.
	RequestID string
	// Accepted is when the first VM took the request; it travels with a resumed
	// stream, so that the bill of either VM falls into one minute.
	Accepted time.Time
	Account  *config.ClientAccount
	Class    config.Class
	Deadline time.Time
	Session  string
	// Key is the Idempotency-Key; empty for none.
	Key string
	// FirstSend says that the caller never sent this key before.
	FirstSend bool
}

// identify authenticates a request and reads the common headers.
func identify(r *http.Request, s *config.Snapshot, now time.Time) (*Caller, *refusal.Refusal) {
	account := accountOf(r, s)
	if account == nil {
		return nil, refusal.New(http.StatusUnauthorized, refusal.Unauthorized, "no client account has this API key")
	}
	c := &Caller{
		RequestID: uuid.Must(uuid.NewV7()).String(),
		Accepted:  now,
		Account:   account,
		Session:   r.Header.Get(HeaderSession),
		Key:       r.Header.Get(HeaderIdempotencyKey),
		FirstSend: r.Header.Get(HeaderAttempt) == "1",
	}
	if len(c.Session) > maxKey || len(c.Key) > maxKey {
		return nil, refusal.New(http.StatusBadRequest, refusal.BadRequest, "%s and %s take at most %d bytes", HeaderSession, HeaderIdempotencyKey, maxKey)
	}
	deadline, bad := deadlineOf(r)
	if bad != nil {
		return nil, bad
	}
	c.Deadline = now.Add(deadline)
	c.Class, bad = classOf(r, account)
	return c, bad
}

// accountOf compares the key's hash with every account's, in constant time for
// each, so that the time taken tells nothing about how much of a key was right.
func accountOf(r *http.Request, s *config.Snapshot) *config.ClientAccount {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil
	}
	sum := sha256.Sum256([]byte(key))
	hash := []byte(hex.EncodeToString(sum[:]))
	var found *config.ClientAccount
	for _, a := range s.Accounts {
		for _, h := range a.KeyHashes {
			if subtle.ConstantTimeCompare(hash, []byte(h)) == 1 {
				found = a
			}
		}
	}
	return found
}

func deadlineOf(r *http.Request) (time.Duration, *refusal.Refusal) {
	v := r.Header.Get(HeaderDeadline)
	if v == "" {
		return DefaultDeadline, nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms <= 0 {
		return 0, refusal.New(http.StatusBadRequest, refusal.BadRequest, "%s is a positive number of milliseconds", HeaderDeadline)
	}
	return min(time.Duration(min(ms, MaxDeadline.Milliseconds()))*time.Millisecond, MaxDeadline), nil
}

// classOf takes the account's class or a lower one that the request names: a
// caller must not lift itself over the others.
func classOf(r *http.Request, a *config.ClientAccount) (config.Class, *refusal.Refusal) {
	v := r.Header.Get(HeaderPriority)
	if v == "" {
		return a.Class, nil
	}
	var class config.Class
	if class.UnmarshalText([]byte(v)) != nil {
		return 0, refusal.New(http.StatusBadRequest, refusal.BadRequest, "%s is immediate, interactive or deferrable", HeaderPriority)
	}
	return max(class, a.Class), nil
}
