package pin

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"goldcrestfork/ledger"
	"goldcrestfork/standin/store"
)

var (
	session = Session{Account: "norte", ID: "s1"}
	now     = time.Unix(1_800_000_000, 0)
	keyA    = bytes.Repeat([]byte("a"), minKeySize)
	keyB    = bytes.Repeat([]byte("b"), minKeySize)
)

func anyVersion(string) bool { return true }

func newSigner(t *testing.T, keys ...[]byte) *Signer {
	s, err := NewSigner(0, keys...)
	require.NoError(t, err)
	return s
}

func newPins(t *testing.T, s *store.Store, vm string) *Pins {
	l := ledger.New(s, nil, nil, ledger.Settings{VM: vm, Incarnation: 1})
	return New(l, newSigner(t, keyA))
}

func TestTokens(t *testing.T) {
	signer := newSigner(t, keyA)
	token := signer.Sign(session, "v1", now)
	tampered := []byte(token)
	tampered[len(tampered)-3] ^= 1
	for name, c := range map[string]struct {
		signer  *Signer
		session Session
		token   string
		now     time.Time
		want    error
	}{
		"valid":         {signer, session, token, now, nil},
		"at the expiry": {signer, session, token, now.Add(DefaultTokenLifetime), nil},
		"expired":       {signer, session, token, now.Add(DefaultTokenLifetime + time.Second), ErrExpired},
		"other session": {signer, Session{"norte", "s2"}, token, now, ErrInvalidToken},
		"other account": {signer, Session{"cluj", "s1"}, token, now, ErrInvalidToken},
		"shifted boundary between account and ID": {signer, Session{"nortes", "1"}, token, now, ErrInvalidToken},
		"other key":          {newSigner(t, keyB), session, token, now, ErrInvalidToken},
		"old key accepted":   {newSigner(t, keyB, keyA), session, token, now, nil},
		"tampered signature": {signer, session, string(tampered), now, ErrInvalidToken},
		"empty":              {signer, session, "", now, ErrInvalidToken},
		"no signature":       {signer, session, "p1.AAAA", now, ErrInvalidToken},
		"other prefix":       {signer, session, "p2" + token[2:], now, ErrInvalidToken},
	} {
		version, err := c.signer.Verify(c.session, c.token, c.now)
		require.ErrorIs(t, err, c.want, name)
		if c.want == nil {
			require.Equal(t, "v1", version, name)
		}
	}
	_, err := NewSigner(0, []byte("short"))
	require.ErrorIs(t, err, ErrKeyTooShort)
}

// Guards against sessions that change their version needlessly. Each version gets sessions
// according to its weight, and a step of the roll-out moves only as many as the weights
// require.
func TestChooseFollowsWeights(t *testing.T) {
	const sessions = 20_000
	count := map[string]int{}
	moved := 0
	for i := range sessions {
		s := Session{"norte", fmt.Sprint(i)}
		before, _ := ChooseVersion(s, []VersionWeight{{"v1", 90}, {"v2", 10}, {"v3", 0}})
		after, _ := ChooseVersion(s, []VersionWeight{{"v2", 30}, {"v1", 70}})
		count[before]++
		if before != after {
			moved++
			require.Equal(t, "v2", after, "a session moved back to the old version")
		}
	}
	require.Zero(t, count["v3"])
	require.Less(t, math.Abs(float64(count["v2"])/sessions-0.1), 0.01)
	require.Less(t, math.Abs(float64(moved)/sessions-0.2), 0.02)
	_, ok := ChooseVersion(session, []VersionWeight{{"v1", 0}})
	require.False(t, ok)
}

// Guards against a session that changes its version without need. A caller's requests reach one
// VM after another while the roll-out advances, the store fails and the session's version is
// withdrawn. Only the withdrawal may move the session: once, to the same version on every VM,
// and reported in MovedFrom.
func TestSessionKeepsItsVersion(t *testing.T) {
	s := store.New()
	ctx := t.Context()
	old, stepped := []VersionWeight{{"v1", 1}}, []VersionWeight{{"v2", 1}}
	at := func(vm, token string, weights []VersionWeight, usable func(string) bool) Pin {
		t.Helper()
		p, err := newPins(t, s, vm).Version(ctx, session, token, weights, usable, now)
		require.NoError(t, err)
		return p
	}
	first := at("a", "", old, anyVersion)
	require.Equal(t, Pin{Version: "v1", Source: SourceRecord, Token: first.Token}, first)
	require.Equal(t, "v1", at("b", "", stepped, anyVersion).Version, "the ledger record did not keep the version")
	s.SetFaults(store.Faults{Down: true})
	byToken := at("c", first.Token, stepped, anyVersion)
	require.Equal(t, "v1", byToken.Version)
	require.Equal(t, SourceToken, byToken.Source)
	hashed := at("c", "", stepped, anyVersion)
	require.Equal(t, SourceHash, hashed.Source)
	require.Equal(t, hashed.Version, at("d", "", stepped, anyVersion).Version, "VMs disagree in the outage")
	s.SetFaults(store.Faults{})

	notV1 := func(v string) bool { return v != "v1" }
	for vm, token := range map[string]string{"e": "", "f": first.Token} {
		p := at(vm, token, stepped, notV1)
		require.Equal(t, "v2", p.Version)
		require.Equal(t, "v1", p.MovedFrom)
	}
	third := []VersionWeight{{"v3", 1}}
	require.Equal(t, "v2", at("g", "", third, notV1).Version, "the version after the move is not kept")
	_, err := newPins(t, s, "a").Version(ctx, Session{"norte", "s2"}, "", nil, anyVersion, now)
	require.ErrorIs(t, err, ErrNoVersion)
}

// echoDecider is a ledger that accepts each proposed version.
type echoDecider struct{}

func (echoDecider) Decide(_ context.Context, _ ledger.Key, value []byte, _ uint32) ([]byte, bool, error) {
	return value, true, nil
}

func TestMovesAreBounded(t *testing.T) {
	p, err := New(echoDecider{}, newSigner(t, keyA)).Version(t.Context(), session, "",
		[]VersionWeight{{"v1", 1}}, func(string) bool { return false }, now)
	require.NoError(t, err)
	require.Equal(t, SourceHash, p.Source)
}
