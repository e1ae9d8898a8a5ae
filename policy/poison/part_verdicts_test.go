package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// crashEach records the crash of an endpoint by a new request with the part, each 300 ms, and returns the time of
// the last one.
func crashEach(t *Tracker, now time.Time, part Fingerprint, crashes int) time.Time {
	for i := range crashes {
		now = now.Add(300 * time.Millisecond)
		t.RecordParts(now, fmt.Sprint("e", i), Fingerprint(1000+i), []Fingerprint{1, part})
	}
	return now
}

// partVerdicts returns the final decisions on parts after the delay, as another VM reads them.
func partVerdicts(t *Tracker, now time.Time) (verdicts []Verdict, at time.Time) {
	t.Verdicts(now)
	at = now.Add(partVerdictDelay)
	_, verdicts = t.Verdicts(at)
	return verdicts, at
}

// Guards against a sound part that all VMs refuse because one, which hears no other, knew no answer with it.
func TestDecisionWithoutAnswersOfOthersIsOverruled(t *testing.T) {
	const part Fingerprint = 7
	for answers, overruled := range map[int]bool{minExpectedAnswers - 1: false, minExpectedAnswers: true, 3 * minExpectedAnswers: true} {
		alone, other := New(stormPool), New(stormPool)
		for range 50 {
			alone.RecordAnswer(start, start, []Fingerprint{1})
			other.RecordAnswer(start, start, []Fingerprint{1})
		}
		other.Merge(start, []Crash{{Endpoint: "e", Parts: []Part{{Part: part, Carrier: 1}}}})
		for range answers {
			other.RecordAnswer(start, start, []Fingerprint{1, part})
		}
		verdicts, now := partVerdicts(alone, crashEach(alone, start, part, minRepeatedCrashes))
		require.Len(t, verdicts, 1, "the VM that hears no other decides")

		other.Merge(now, alone.Crashes(now))
		other.MergeVerdicts(now, nil, verdicts)
		require.Equal(t, !overruled, other.IsQuarantined(now, 1, part), "%d answers", answers)
		_, passedOn := other.Verdicts(now)
		require.Equal(t, !overruled, len(passedOn) > 0, "%d answers", answers)

		alone.MergeObjections(now, other.Objections(now))
		now = now.Add(minPartInterval)
		require.Equal(t, !overruled, alone.IsQuarantined(now, 1, part), "%d answers", answers)
	}
}

// Guards against VMs that start and let a part through that crashes endpoints since its last answer, because they hear of earlier answers.
func TestDecisionDespiteAnswersCountsForVMsThatStart(t *testing.T) {
	const part Fingerprint = 7
	decided := New(stormPool)
	for range 50 {
		decided.RecordAnswer(start, start, []Fingerprint{1})
	}
	for range maxPriorAnswers {
		decided.RecordAnswer(start, start, []Fingerprint{1, part})
	}
	last := crashEach(decided, start, part, minRepeatedCrashes)
	for range 10 * minTurnedAnswers {
		decided.RecordAnswer(last.Add(answerJudgement), last, []Fingerprint{1})
	}
	verdicts, now := partVerdicts(decided, last.Add(answerJudgement))
	require.Len(t, verdicts, 1)

	for version, known := range map[string][]uint32{"this version": KnownAnswers(verdicts), "an earlier version": nil} {
		started := New(stormPool)
		started.Merge(now, decided.Crashes(now))
		heard := []Verdict{{Fingerprint: verdicts[0].Fingerprint, AgeMs: verdicts[0].AgeMs}}
		SetKnownAnswers(heard, known)
		started.MergeVerdicts(now, nil, heard)
		require.True(t, started.IsQuarantined(now, 1, part), "decided by a VM of %s", version)
		require.Empty(t, started.Objections(now))
	}
}
