package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/config"
	"goldcrestfork/router/refusal"
)

const (
	accountKey = "baker-key"
	// accountHash is the SHA-256 sum of accountKey.
	accountHash = "9da92bdeb13f848d5befd8c992e7ce062b94e8d17288c6c3cb3392b19ea101bf"
)

// FuzzParseChat checks that an accepted request names a model and has a prompt, whatever
// its body holds.
func FuzzParseChat(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"x"}]}`, `{"model":"","messages":[1]}`, `{"model":"m","messages":null}`, `{"model":"m"}`,
		`{"model":"m","messages":[],"max_tokens":-1}`, `{"model":"m","messages":"   "}`, `{"messages":{}}`, `[`, ``, `{"Model":"m","MESSAGES":[0]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, bad := parseChat(raw, &Caller{})
		if bad != nil {
			require.Equal(t, refusal.NotRun, bad.Ran)
			require.Equal(t, http.StatusBadRequest, bad.Status)
			return
		}
		require.NotEmpty(t, c.body.Model)
		require.NotContains(t, []string{"", "null"}, string(c.body.Messages))
		require.GreaterOrEqual(t, c.expectedTokens(), 0.0)
		require.LessOrEqual(t, len(c.prefix), maxBlocks)
	})
}

// FuzzResumeToken checks that only a token signed with the VMs' secret is accepted.
func FuzzResumeToken(f *testing.F) {
	s := signer{secret: []byte("a secret of at least thirty-two bytes")}
	signed := resumeToken{RequestID: "r", Account: "baker", Version: "v", Endpoint: "e", EngineID: "i", Accepted: 7}
	good := s.sign(signed)
	forged := signer{secret: []byte("another secret of thirty-two bytes")}.sign(resumeToken{RequestID: "r", Account: "clerk", Endpoint: "e"})
	for _, seed := range []string{good, forged, good + "x", good[1:], ".", "a.b", "", good + "." + good} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, token string) {
		if read, ok := s.read(token); ok {
			require.Equal(t, signed, read)
		}
	})
	read, ok := s.read(good)
	require.True(f, ok)
	require.Equal(f, signed, read)
}

// FuzzHeaders checks with arbitrary headers that only the right key identifies the
// account, that no caller raises its priority class, and that deadline and names stay
// within bounds.
func FuzzHeaders(f *testing.F) {
	snapshot := &config.Snapshot{Accounts: map[string]*config.ClientAccount{
		"baker": {Meta: config.Meta{Name: "baker"}, KeyHashes: []string{accountHash}, Class: config.ClassInteractive},
	}}
	for _, seed := range [][5]string{
		{"Bearer " + accountKey, "s", "k", "1000", "deferrable"}, {"Bearer " + accountKey, "", "", "", ""}, {"bearer x", "", "", "", ""},
		{"Bearer " + accountKey, "", "", "9223372036854775807", "immediate"}, {"Bearer " + accountKey, "", "", "-1", "0"}, {"", "", "", "1e3", "x"},
		{"Bearer " + accountHash, "", "", "", ""},
	} {
		f.Add(seed[0], seed[1], seed[2], seed[3], seed[4])
	}
	now := time.Unix(1_800_000_000, 0)
	f.Fuzz(func(t *testing.T, authorization, session, key, deadline, priority string) {
		r := &http.Request{Header: http.Header{
			"Authorization": {authorization}, HeaderSession: {session}, HeaderIdempotencyKey: {key}, HeaderDeadline: {deadline}, HeaderPriority: {priority},
		}}
		c, bad := identify(r, snapshot, now)
		if bad != nil {
			require.Equal(t, refusal.NotRun, bad.Ran)
			require.Equal(t, authorization == "Bearer "+accountKey, bad.Code != refusal.Unauthorized)
			return
		}
		require.Equal(t, "Bearer "+accountKey, authorization)
		require.GreaterOrEqual(t, c.Class, config.ClassInteractive)
		require.True(t, c.Deadline.After(now) && !c.Deadline.After(now.Add(MaxDeadline)))
		require.LessOrEqual(t, max(len(c.Session), len(c.Key)), maxNameBytes)
	})
}
