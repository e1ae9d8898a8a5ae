package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"goldcrestfork/policy/poison"
)

// Guards against decisions on parts that other VMs read without the answers that were known when they were made.
func TestDecisionsAreReadWithTheirAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answersOf := func(s *suspects) (out [][]uint32) {
			for _, tracker := range []*poison.Tracker{s.pools["s"].tracker, s.pools["s"].late} {
				_, parts := tracker.Verdicts(time.Now())
				out = append(out, poison.KnownAnswers(parts))
			}
			return out
		}
		a := newTestSuspects(false)
		p := a.pool("s")
		decided := []poison.Verdict{{Fingerprint: 1, AgeMs: 100, Answers: 300}, {Fingerprint: 2, AgeMs: 100}, {Fingerprint: 3, AgeMs: 100, Answers: 2}}
		p.tracker.MergeVerdicts(time.Now(), nil, decided)
		p.late.MergeVerdicts(time.Now(), nil, decided[1:])
		want := [][]uint32{{300, 0, 2}, {0, 2}}
		require.Equal(t, want, answersOf(a))

		encoded, err := cbor.Marshal(a.report(maxPayloadBytes))
		require.NoError(t, err)
		var heard crashReports
		require.NoError(t, cbor.Unmarshal(encoded, &heard))
		byDatagram := newTestSuspects(false)
		byDatagram.merge("a", &heard, false)
		require.Equal(t, want, answersOf(byDatagram))

		a.unstored(time.Now(), 0, true)
		time.Sleep(storeInterval)
		e := a.unstored(time.Now(), 0, true)
		require.NotNil(t, e)
		byStore := newTestSuspects(false)
		require.NoError(t, byStore.applyStored("a", false, *e))
		require.Equal(t, want, answersOf(byStore))
	})
}
