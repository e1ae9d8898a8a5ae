package trial

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Session is the hash of a session's service and ID.
type Session uint32

// HashSession returns the hash of a session of a service.
func HashSession(service, id string) Session {
	return Session(xxhash.Sum64String(service + "/" + id))
}

// String formats the hash as eight hexadecimal digits, as in log lines.
func (s Session) String() string { return fmt.Sprintf("%08x", uint32(s)) }

// Tries reports whether the session is in the given share of sessions that try a new version.
func (s Session) Tries(share float64) bool { return float64(s%1000) < share*1000 }
