package settings

import (
	"encoding/json"
	"errors"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"goldcrestfork/config"
)

// Parse must refuse any input with a field and the expected value, or return complete settings:
// addresses as IP numbers, a secret of full length and all defaults. Written out and parsed
// again, they must be equal.
func FuzzParse(f *testing.F) {
	// The file must exist for every fuzzing process.
	const file = "settings.go"
	hash := strings.Repeat("ab", minSecretBytes)
	good := `{ // as an operator writes it
		"vm": "vm-1", "dataCentre": "a", "region": "r",
		"callers": {"address": "127.0.0.1:0"}, "operators": {"address": "[::1]:7"},
		"peers": {"address": "127.0.0.1:0", "ca": "FILE", "certificate": "FILE", "key": "FILE", "seeds": ["192.0.2.1:7"]},
		"platform": {"url": "http://127.0.0.1:7"}, "secret": "` + hash + `", "operatorKeyHashes": ["` + hash + `"],
		"keepAddresses": "1s", "prefer": "latency",
	}`
	good = strings.ReplaceAll(good, "FILE", file)
	_, err := Parse("good", []byte(good))
	require.NoError(f, err)
	for _, seed := range []string{
		good, `{}`, `null`, `[`, `{"vm": 1}`, `{"vmm": "x"}`, strings.Replace(good, "127.0.0.1:0", "localhost:1", 1),
		strings.Replace(good, `"1s"`, `"-1s"`, 1), strings.Replace(good, "http://", "ftp://", 1), strings.Replace(good, hash, hash[1:], 1), strings.Replace(good, hash, hash[2:], 1), good + "}",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz", data)
		if err != nil {
			var problems config.Problems
			require.True(t, errors.As(err, &problems) && len(problems) > 0, "%T", err)
			return
		}
		for _, address := range []string{s.Callers.Address, s.Operators.Address, s.Peers.Address} {
			_, err := netip.ParseAddrPort(address)
			require.NoError(t, err)
		}
		require.GreaterOrEqual(t, len(s.SecretBytes()), minSecretBytes)
		require.Positive(t, min(s.KeepAddresses, s.SpreadLeaving, s.StopGrace))
		text, err := json.Marshal(s)
		require.NoError(t, err)
		again, err := Parse("again", text)
		require.NoError(t, err)
		require.Equal(t, s, again)
	})
}
