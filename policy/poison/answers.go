package poison

import (
	"slices"
	"time"
)

const (
	// answerJudgement is the time after the beginning of an answer within which it is known whether its
	// endpoint survived it.
	answerJudgement = time.Second
	// answerInterval is the resolution of the history of answers.
	answerInterval = 100 * time.Millisecond
	// maxAnswerGap is the time between two numbers of another VM within which their difference counts as
	// recent answers. VMs report only while crashes are recent.
	maxAnswerGap = 5 * time.Second
)

// answerCounts counts the answers to all requests that their endpoints survived.
type answerCounts struct {
	own    int                   // of this VM
	others map[string]otherCount // by VM
	recent int                   // own ones, and those that other VMs had while they reported
	log    []answerSample        // of recent
}

type otherCount struct {
	n  int
	at time.Time // of the report
}

type answerSample struct {
	at     time.Time
	recent int
}

func (a *answerCounts) add(now time.Time) {
	a.own++
	a.addRecent(now, 1)
}

// set records the number of another VM.
func (a *answerCounts) set(now time.Time, from string, n int) {
	if a.others == nil {
		a.others = make(map[string]otherCount)
	}
	if known, found := a.others[from]; found && n > known.n && now.Sub(known.at) <= maxAnswerGap {
		a.addRecent(now, n-known.n)
	}
	a.others[from] = otherCount{n: n, at: now}
}

func (a *answerCounts) addRecent(now time.Time, n int) {
	a.recent += n
	if last := len(a.log) - 1; last >= 0 && now.Sub(a.log[last].at) < answerInterval {
		a.log[last].recent = a.recent
		return
	}
	a.log = append(a.log, answerSample{at: now, recent: a.recent})
	old, _ := slices.BinarySearchFunc(a.log, now.Add(-crashLifetime), compareSample)
	a.log = slices.Delete(a.log, 0, old)
}

func compareSample(s answerSample, at time.Time) int { return s.at.Compare(at) }

// all returns the number of answers of all VMs, as far as known.
func (a *answerCounts) all() int {
	n := a.own
	for _, other := range a.others {
		n += other.n
	}
	return n
}

// since returns the number of answers that were recorded after the given time.
func (a *answerCounts) since(at time.Time) int {
	i, _ := slices.BinarySearchFunc(a.log, at.Add(1), compareSample)
	if i == 0 {
		return a.recent
	}
	return a.recent - a.log[i-1].recent
}
