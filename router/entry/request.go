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

// Headers of the callers' API in addition to the standard headers of HTTP.
const (
	// HeaderIdempotencyKey is the caller's key for an action that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttempt is "1" on a caller's first send of a key. It allows a VM that can't
	// read the store to answer "not run" with certainty.
	HeaderAttempt = "X-Attempt"
	// HeaderSession is the caller's session id.
	HeaderSession = "X-Session"
	// HeaderPin is the signed token of a session's version; the caller returns it with
	// the session's next request.
	HeaderPin = "X-Session-Pin"
	// HeaderDeadline is the time within which the caller wants the answer, in
	// milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderPriority is the requested priority class.
	HeaderPriority = "X-Priority"
	// HeaderRequestID is the request's id in an answer.
	HeaderRequestID = "X-Request-Id"
	// HeaderVersion is the model version that answered.
	HeaderVersion = "X-Model-Version"
	// HeaderMoved is the version that the session had to leave because it may not be
	// used any more.
	HeaderMoved = "X-Session-Moved"
	// HeaderResume is the token with which a stream is resumed.
	HeaderResume = "X-Resume-Token"
	// HeaderPosition is the id of the last event that the caller received.
	HeaderPosition = "X-Resume-From"
	// HeaderReplayed is "true" if the answer is the recorded one of an earlier send.
	HeaderReplayed = "X-Replayed"
)

const (
	// DefaultDeadline applies if a caller sets none. Interactive readers leave within a
	// minute; deferrable work sets its own deadline.
	DefaultDeadline = 60 * time.Second
	// MaxDeadline bounds the deadline that a caller may set. Beyond it a queue would
	// hold requests for longer than a VM runs on an ordinary day of replacements.
	MaxDeadline = 30 * time.Minute
	// maxNameBytes bounds names chosen by callers (keys, sessions), in bytes.
	maxNameBytes = 256
)

// Caller is the part of an authenticated request that all kinds of requests share.
type Caller struct {
	// RequestID is generated here, since an id chosen by the caller could collide with
	// another caller's.
	RequestID string
	// Accepted is when the first VM accepted the request. It is kept when a stream is
	// resumed, so that the bills of both VMs fall into the same minute.
	Accepted time.Time
	Account  *config.ClientAccount
	Class    config.Class
	Deadline time.Time
	Session  string
	// Key is the Idempotency-Key; empty for none.
	Key string
	// FirstSend is set if the caller declares that it never sent this key before.
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
	if len(c.Session) > maxNameBytes || len(c.Key) > maxNameBytes {
		return nil, refusal.New(http.StatusBadRequest, refusal.BadRequest, "%s and %s take at most %d bytes", HeaderSession, HeaderIdempotencyKey, maxNameBytes)
	}
	deadline, bad := deadlineOf(r)
	if bad != nil {
		return nil, bad
	}
	c.Deadline = now.Add(deadline)
	c.Class, bad = classOf(r, account)
	return c, bad
}

// accountOf returns the account with the request's API key, or nil. The key's hash is
// compared with every account's in constant time, so that the response time does not
// show how much of a key was right.
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

// classOf returns the account's class, or a lower one that the request sets: a caller
// must not raise its own priority.
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
