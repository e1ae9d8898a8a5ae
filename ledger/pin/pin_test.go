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
	keyA    = bytes.Repeat([]byte("a"), minKey)
	keyB    = bytes.Repeat([]byte("b"), minKey)
)

func any1(string) bool { return true }

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
	bent := []byte(token)
	bent[len(bent)-3] ^= 1
	for name, c := range map[string]struct {
		signer  *Signer
		session Session
		token   string
		now     time.Time
		want    error
	}{
		"good":                {signer, session, token, now, nil},
		"at the end":          {signer, session, token, now.Add(DefaultLife), nil},
		"expired":             {signer, session, token, now.Add(DefaultLife + time.Second), ErrExpired},
		"other session":       {signer, Session{"norte", "s2"}, token, now, ErrToken},
		"other account":       {signer, Session{"cluj", "s1"}, token, now, ErrToken},
		"moved boundary":      {signer, Session{"nortes", "1"}, token, now, ErrToken},
		"other key":           {newSigner(t, keyB), session, token, now, ErrToken},
		"old key still taken": {newSigner(t, keyB, keyA), session, token, now, nil},
		"bent":                {signer, session, string(bent), now, ErrToken},
		"empty":               {signer, session, "", now, ErrToken},
		"no signature":        {signer, session, "p1.AAAA", now, ErrToken},
		"other form":          {signer, session, "p2" + token[2:], now, ErrToken},
	} {
		version, err := c.signer.Verify(c.session, c.token, c.now)
		require.ErrorIs(t, err, c.want, name)
		if c.want == nil {
			require.Equal(t, "v1", version, name)
		}
	}
	_, err := NewSigner(0, []byte("short"))
	require.ErrorIs(t, err, ErrKey)
}

// Weights decide how many sessions a version gets, and a step of the roll-out
// moves only those that it must.
func TestChooseFollowsWeights(t *testing.T) {
	const sessions = 20_000
	count := map[string]int{}
	moved := 0
	for i := range sessions {
		s := Session{"norte", fmt.Sprint(i)}
		before, _ := Choose(s, []Share{{"v1", 90}, {"v2", 10}, {"v3", 0}})
		after, _ := Choose(s, []Share{{"v2", 30}, {"v1", 70}})
		count[before]++
		if before != after {
			moved++
			require.Equal(t, "v2", after, "nobody goes back")
		}
	}
	require.Zero(t, count["v3"])
	require.Less(t, math.Abs(float64(count["v2"])/sessions-0.1), 0.01)
	require.Less(t, math.Abs(float64(moved)/sessions-0.2), 0.02)
	_, ok := Choose(session, []Share{{"v1", 0}})
	require.False(t, ok)
}

// A caller meets VM after VM, while the roll-out steps on, the store fails and
// its version is withdrawn. It must keep its version through all but the last,
// and then move once, told so, to the same version everywhere.
func TestSessionKeepsItsVersion(t *testing.T) {
	s := store.New()
	ctx := t.Context()
	old, stepped := []Share{{"v1", 1}}, []Share{{"v2", 1}}
	at := func(vm, token string, shares []Share, usable func(string) bool) Pin {
		t.Helper()
		p, err := newPins(t, s, vm).Version(ctx, session, token, shares, usable, now)
		require.NoError(t, err)
		return p
	}
	first := at("a", "", old, any1)
	require.Equal(t, Pin{Version: "v1", Source: SourceRecord, Token: first.Token}, first)
	require.Equal(t, "v1", at("b", "", stepped, any1).Version, "by the record")
	s.SetFaults(store.Faults{Down: true})
	byToken := at("c", first.Token, stepped, any1)
	require.Equal(t, "v1", byToken.Version)
	require.Equal(t, SourceToken, byToken.Source)
	hashed := at("c", "", stepped, any1)
	require.Equal(t, SourceHash, hashed.Source)
	require.Equal(t, hashed.Version, at("d", "", stepped, any1).Version, "VMs agree in the outage")
	s.SetFaults(store.Faults{})

	notV1 := func(v string) bool { return v != "v1" }
	for vm, token := range map[string]string{"e": "", "f": first.Token} {
		p := at(vm, token, stepped, notV1)
		require.Equal(t, "v2", p.Version)
		require.Equal(t, "v1", p.Moved)
	}
	third := []Share{{"v3", 1}}
	require.Equal(t, "v2", at("g", "", third, notV1).Version, "the move is kept too")
	_, err := newPins(t, s, "a").Version(ctx, Session{"norte", "s2"}, "", nil, any1, now)
	require.ErrorIs(t, err, ErrNoVersion)
}

// stuck is a ledger in which no version ever suits.
type stuck struct{}

func (stuck) Decide(_ context.Context, _ ledger.Key, value []byte, _ uint32) ([]byte, bool, error) {
	return value, true, nil
}

func TestMovesAreBounded(t *testing.T) {
	p, err := New(stuck{}, newSigner(t, keyA)).Version(t.Context(), session, "",
		[]Share{{"v1", 1}}, func(string) bool { return false }, now)
	require.NoError(t, err)
	require.Equal(t, SourceHash, p.Source)
}
