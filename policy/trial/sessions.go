package trial

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Session is a session's mark.
type Session uint32

// SessionOf marks a session of a service.
func SessionOf(service, id string) Session {
	return Session(xxhash.Sum64String(service + "/" + id))
}

// String is the mark as log lines give it.
func (s Session) String() string { return fmt.Sprintf("%08x", uint32(s)) }

// Tries says that the session belongs to a share that tries a new version.
func (s Session) Tries(share float64) bool { return float64(s%1000) < share*1000 }
