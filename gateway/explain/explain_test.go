package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const sample = `
{"level":"info","vm":"a","endpoint":"e9","time":"2026-01-02T03:04:04Z","message":"endpoint removed"}
 12.5 a {"level":"warn","vm":"a","kind":"configuration","time":"2026-01-02T03:04:05Z","message":"platform lost"}
{"level":"info","vm":"a","endpoint":"e1","time":"2026-01-02T03:04:05Z","message":"endpoint removed"}
{"level":"warn","vm":"b","kind":"configuration","time":"2026-01-02T03:04:05Z","message":"platform lost on b"}
{"level":"info","vm":"a","request":"r1","outcome":"outcome-unknown","status":502,"took_ms":31,"config":7,"config_age_ms":12,"route":"book","account":"x","service":"s","wait_ms":600,"ran":"unknown","attempts":"e1=broken","time":"2026-01-02T03:04:06Z","message":"request"}
{"level":"info","vm":"a","request":"r2","outcome":"configuration-stale","status":503,"took_ms":0,"config":7,"config_age_ms":4800,"time":"2026-01-02T03:04:06Z","message":"request"}
{"level":"info","vm":"a","request":"r3","outcome":"not resumed","status":200,"took_ms":900,"wait_ms":15000,"attempts":"e2/0=weak e3/2=broken","time":"2026-01-02T03:04:30Z","message":"request"}
not a log line
`

// Guards against an explanation without the decision, its configuration and what the VM knew
// shortly before, and against lines of other VMs, endpoints and times in it.
func TestExplain(t *testing.T) {
	var log Log
	require.NoError(t, log.Read(strings.NewReader(sample)))
	require.Equal(t, 2, log.Unreadable, "an empty line and one that is none")
	for id, c := range map[string]struct{ says, not []string }{
		"r1": {
			[]string{"may not be repeated", "run: unknown", "configuration 7, shown to be the newest 12 ms", "attempt at e1: broken, its connection broke", "platform lost", `"e1"`},
			[]string{"lost on b", "e9", "r2"},
		},
		"r2": {[]string{"too old to trust", "4800 ms", "platform lost"}, []string{"attempt at", "removed"}},
		"r3": {[]string{"no attempt was left", "e2 with model 0: weak", "e3 with model 2: broken"}, []string{"platform lost"}},
	} {
		var b strings.Builder
		found, err := log.Write(&b, id)
		require.NoError(t, err)
		require.True(t, found)
		for _, s := range c.says {
			require.Contains(t, b.String(), s, id)
		}
		for _, s := range c.not {
			require.NotContains(t, b.String(), s, id)
		}
	}
	var b strings.Builder
	found, err := log.Write(&b, "r4")
	require.NoError(t, err)
	require.False(t, found)
	require.Contains(t, b.String(), "did not reach these VMs")
}

// A log may be truncated anywhere or contain another program's lines.
func FuzzRead(f *testing.F) {
	f.Add(sample)
	f.Add(`{"session":"s","versions":" ","message":"request"}` + "\n" + `{"session":"s","versions":"v1 v2","message":"request"}`)
	f.Fuzz(func(t *testing.T, text string) {
		var log Log
		if log.Read(strings.NewReader(text)) == nil {
			var b strings.Builder
			_, err := log.Write(&b, "r1")
			require.NoError(t, err)
			require.NoError(t, WriteMoves(&b, log.Moves(time.Hour)))
		}
	})
}
