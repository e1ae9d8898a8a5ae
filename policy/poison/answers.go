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
	own     int                   // of this VM
	others  map[string]otherCount // by VM
	earlier map[string]int        // by VM, what was kept of it at the platform
	recent  int                   // own ones, and those that other VMs had while they reported
	log     []answerSample        // of recent
}

type otherCount struct {
	n      int       // in its present life
	before int       // in earlier ones
	at     time.Time // of the report
}

type answerSample struct {
	at     time.Time
	recent int
}

func (a *answerCounts) add(now time.Time) {
	a.own++
	a.addRecent(now, 1)
}

// set records the number of another VM, which begins anew when the VM starts.
func (a *answerCounts) set(now time.Time, from string, n int) {
	if a.others == nil {
		a.others = make(map[string]otherCount)
	}
	c, found := a.others[from]
	switch {
	case n < c.n:
		c.before += c.n
	case found && now.Sub(c.at) <= maxAnswerGap:
		a.addRecent(now, n-c.n)
	}
	c.n, c.at = n, now
	a.others[from] = c
}

// raise records that a VM, perhaps this one in an earlier life, had at least that number.
func (a *answerCounts) raise(from string, n int) {
	if a.earlier == nil {
		a.earlier = make(map[string]int)
	}
	a.earlier[from] = max(a.earlier[from], n)
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
	for from, c := range a.others {
		n += max(c.before+c.n, a.earlier[from])
	}
	for from, earlier := range a.earlier {
		if _, found := a.others[from]; !found {
			n += earlier
		}
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
