package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a session's move between versions that Moves misses, since the lines of its
// requests are in the logs of several VMs.
func TestMovesOfSessions(t *testing.T) {
	const lines = `
{"vm":"a","request":"r1","took_ms":1000,"session":"s1","versions":"v1","time":"2026-01-02T03:04:05.000Z","message":"request"}
{"vm":"b","request":"r2","took_ms":100,"session":"s1","versions":"v2","version_reason":"trial","time":"2026-01-02T03:04:08.100Z","message":"request"}
{"vm":"a","request":"r3","took_ms":100,"session":"s1","versions":"v1","version_reason":"stays","time":"2026-01-02T03:04:08.050Z","message":"request"}
{"vm":"b","request":"r4","took_ms":100,"session":"s1","versions":"v2","version_reason":"trial","time":"2026-01-02T03:04:15.000Z","message":"request"}
{"vm":"b","request":"r5","took_ms":100,"session":"s2","versions":"v1 v2","version_reason":"trial","time":"2026-01-02T03:04:15.000Z","message":"request"}
{"vm":"b","request":"r7","took_ms":900,"session":"s4","versions":"v1 v2","version_reason":"taken","time":"2026-01-02T03:04:15.900Z","message":"request"}
{"vm":"a","request":"r8","took_ms":100,"session":"s4","versions":"v1","version_reason":"not-in-trial","time":"2026-01-02T03:04:15.200Z","message":"request"}
{"vm":"b","request":"r6","took_ms":100,"session":"s3","versions":"","time":"2026-01-02T03:04:15.000Z","message":"request"}
`
	var log Log
	require.NoError(t, log.Read(strings.NewReader(lines)))
	var got []string
	moves := log.Moves(5 * time.Second)
	for _, m := range moves {
		got = append(got, m.Before.Request+" "+m.From+" "+m.After.Request+" "+m.To+" "+m.Gap.String())
	}
	require.Equal(t, []string{"r3 v1 r2 v2 -50ms", "r5 v1 r5 v2 0s", "r7 v1 r7 v2 0s"}, got)
	var b strings.Builder
	require.NoError(t, WriteMoves(&b, moves))
	require.Contains(t, b.String(), "session s1 v1 to v2 (trial), request r2 at b; before: r3 at a")
	require.Contains(t, b.String(), `2 by reason "trial"`)
}
