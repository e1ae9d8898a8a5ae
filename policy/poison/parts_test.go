package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// partWay is a way of deciding which parts are in quarantine.
type partWay struct {
	name   string
	decide func(t *Tracker, now time.Time) map[Fingerprint]bool
}

var partWays = []partWay{
	{"blame shared among parts", func(t *Tracker, now time.Time) map[Fingerprint]bool {
		out := make(map[Fingerprint]bool)
		for _, s := range t.QuarantinedParts(now) {
			out[s.Part] = true
		}
		return out
	}},
	{"crashes against answers", ratioParts},
}

// ratioParts judges each part by itself: by its crashes with different requests and its survived answers.
func ratioParts(t *Tracker, _ time.Time) map[Fingerprint]bool {
	carriers := make(map[Fingerprint]map[uint32]bool)
	for _, c := range t.crashes {
		for _, p := range c.parts {
			if carriers[p.part] == nil {
				carriers[p.part] = make(map[uint32]bool)
			}
			carriers[p.part][p.carrier] = true
		}
	}
	out := make(map[Fingerprint]bool)
	for part, list := range carriers {
		if len(list) >= minCarriers && t.parts.records[part].answers.n < len(list)/minCarriers {
			out[part] = true
		}
	}
	return out
}

// partLoad is a pool whose endpoints crash by requests with a bad part, by losses of data centres or by
// themselves, while sound requests that share all other parts run beside.
type partLoad struct {
	bad       bool          // requests with the bad part come
	first     bool          // the bad part is the first one; otherwise it is between others
	gap       time.Duration // between two crashes by the bad part
	elsewhere time.Duration // between two crashes of other causes; 0 for none
	losses    int           // data centres that are lost, 2 s apart
	beside    int           // sound requests that ran at a crash and had not been answered for long
	answers   int           // sound answers that are survived in each 100 ms
	newParts  bool          // each sound request at a crash has a part that no request before had
	fresh     bool          // nothing has been answered before the first crash
}

const badPart Fingerprint = 9_999_999

// play plays 20 s. It returns the crashes by the bad part, those of them later than contactTime after the
// fifth, and the sound parts that were in quarantine at any moment.
func (l partLoad) play(way partWay, seed uint64) (crashes, later int, falsely map[Fingerprint]bool) {
	rng, tracker := rand.New(rand.NewPCG(seed, 4)), New(stormPool)
	next, now := Fingerprint(1000), start
	sound := func() []Fingerprint {
		return []Fingerprint{1, Fingerprint(10 + rng.IntN(3)), Fingerprint(20 + rng.IntN(6))}
	}
	answered := func(n int) {
		for range n {
			parts := sound()
			tracker.RecordAnswer(now, now, parts)
		}
	}
	if !l.fresh {
		answered(200)
	}
	endpoint := 0
	var moved [][]Fingerprint // requests of the last crash that are sent to an endpoint that crashes next
	crash := func(at time.Time, bad bool) {
		endpoint++
		e := fmt.Sprint("e", endpoint)
		var list [][]Fingerprint
		for range l.beside {
			parts := sound()
			if l.newParts {
				next++
				parts = append(parts, next)
			}
			list = append(list, parts)
		}
		fresh := list
		for _, parts := range moved {
			if rng.IntN(2) == 0 {
				list = append(list, parts)
			}
		}
		moved = fresh
		if bad {
			parts := sound()
			if l.first {
				parts = append([]Fingerprint{badPart}, parts...)
			} else {
				parts = append(parts, badPart)
			}
			list = append(list, parts)
		}
		tracker.RecordCrash(at, e, nil, len(list))
		for _, parts := range list {
			next++
			tracker.RecordParts(at, e, next, parts)
		}
	}
	falsely = make(map[Fingerprint]bool)
	var fifth time.Time
	nextBad, nextElsewhere, nextLoss := start.Add(l.gap), start.Add(l.elsewhere), start
	for ; now.Before(start.Add(20 * time.Second)); now = now.Add(20 * time.Millisecond) {
		if now.Sub(start)%(100*time.Millisecond) == 0 {
			answered(l.answers)
		}
		quarantined := way.decide(tracker, now)
		for part := range quarantined {
			if part != badPart {
				falsely[part] = true
			}
		}
		if l.bad && !now.Before(nextBad) {
			nextBad = now.Add(l.gap)
			if !quarantined[badPart] {
				crash(now, true)
				if crashes++; crashes == 5 {
					fifth = now
				}
				if crashes > 5 && now.Sub(fifth) > contactTime {
					later++
				}
			}
		}
		if l.elsewhere > 0 && !now.Before(nextElsewhere) {
			nextElsewhere = now.Add(l.elsewhere)
			crash(now, false)
		}
		if l.losses > 0 && !now.Before(nextLoss) {
			l.losses--
			nextLoss = now.Add(2 * time.Second)
			for i := range 8 {
				crash(now.Add(time.Duration(i)*5*time.Millisecond), false)
			}
		}
	}
	return crashes, later, falsely
}

// Guards against requests with a part that crashes endpoints and that are not held back, since no two of them are alike.
func TestBadPartIsFoundUnderLoad(t *testing.T) {
	const allowed = 3
	for _, gap := range []time.Duration{20 * time.Millisecond, 130 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second} {
		for _, elsewhere := range []time.Duration{0, 900 * time.Millisecond} {
			for _, beside := range []int{0, 7, 30} {
				for _, first := range []bool{false, true} {
					for _, fresh := range []bool{false, true} {
						for _, newParts := range []bool{false, true} {
							l := partLoad{bad: true, first: first, gap: gap, elsewhere: elsewhere, beside: beside, answers: 2 + beside/2, fresh: fresh, newParts: newParts}
							for i, way := range partWays {
								crashes, later, falsely := l.play(way, 5)
								t.Logf("%+v %s: %d crashes, %d late, %d sound parts in quarantine", l, way.name, crashes, later, len(falsely))
								if i == 0 {
									require.LessOrEqual(t, later, allowed, "%+v", l)
									require.Empty(t, falsely, "%+v", l)
								}
							}
						}
					}
				}
			}
		}
	}
}

// Guards against the quarantine of parts that sound requests share, old or new ones, when data centres are lost or endpoints crash by themselves.
func TestLossesBlameNoPart(t *testing.T) {
	for _, losses := range []int{1, 3} {
		for _, elsewhere := range []time.Duration{0, 300 * time.Millisecond, 900 * time.Millisecond} {
			for _, beside := range []int{1, 8} {
				for _, fresh := range []bool{false, true} {
					for _, newParts := range []bool{false, true} {
						l := partLoad{losses: losses, elsewhere: elsewhere, beside: beside, answers: 2 + beside/2, fresh: fresh, newParts: newParts}
						for i, way := range partWays {
							_, _, falsely := l.play(way, 5)
							t.Logf("%+v %s: %d parts in quarantine", l, way.name, len(falsely))
							if i == 0 {
								require.Empty(t, falsely, "%+v", l)
							}
						}
					}
				}
			}
		}
	}
}

// Guards against VMs that reach different decisions on a part from the same crashes, heard in different orders.
func TestPartsMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := []*Tracker{New(9), New(9), New(9)}
		for i := range rapid.IntRange(1, 12).Draw(t, "crashes") {
			vm := vms[rapid.IntRange(0, 2).Draw(t, "vm")]
			at, e := start.Add(time.Duration(i)*time.Second), fmt.Sprint("e", i%4)
			for range rapid.IntRange(1, 3).Draw(t, "requests") {
				f := Fingerprint(rapid.IntRange(1, 6).Draw(t, "f"))
				part := rapid.SliceOfNDistinct(rapid.IntRange(1, 4), 1, 3, rapid.ID[int]).Draw(t, "parts")
				var parts []Fingerprint
				for _, p := range part {
					parts = append(parts, Fingerprint(p))
				}
				vm.RecordCrash(at, e, []Fingerprint{f}, 0)
				vm.RecordParts(at, e, f, parts)
				if rapid.Bool().Draw(t, "survives") {
					vm.RecordAnswer(at, at, parts[:1])
				}
			}
		}
		now := start.Add(time.Minute)
		reports := [][]Crash{vms[0].Crashes(now), vms[1].Crashes(now), vms[2].Crashes(now)}
		orders := [][]int{{0, 1, 2}, {2, 1, 0, 2, 1}, {1, 0, 2, 0, 0}}
		for i, vm := range vms {
			for _, j := range orders[i] {
				vm.Merge(now, reports[j])
			}
		}
		require.Equal(t, vms[0].Crashes(now), vms[1].Crashes(now))
		require.Equal(t, vms[0].Crashes(now), vms[2].Crashes(now))
		require.Equal(t, vms[0].partScores(vms[0].crashes), vms[1].partScores(vms[1].crashes))
		require.Equal(t, vms[0].partScores(vms[0].crashes), vms[2].partScores(vms[2].crashes))
	})
}

// Guards against a part that is new, and that all requests hold, being blamed for the loss of one data centre before any answer with it has come.
func TestNewPartIsNotBlamedForOneLoss(t *testing.T) {
	const newPart Fingerprint = 77
	for _, spacing := range []time.Duration{0, 5 * time.Millisecond, 15 * time.Millisecond} {
		tracker := New(stormPool)
		now, f := start, Fingerprint(1000)
		for range 200 {
			tracker.RecordAnswer(now, now, []Fingerprint{1})
		}
		for e := range 8 {
			for range 4 {
				f++
				tracker.RecordCrash(now, fmt.Sprint("e", e), []Fingerprint{f}, 0)
				tracker.RecordParts(now, fmt.Sprint("e", e), f, []Fingerprint{1, newPart})
			}
			now = now.Add(spacing)
			require.False(t, tracker.IsQuarantined(now, 1, 1, newPart), "%s apart", spacing)
		}
		for range 50 {
			now = now.Add(100 * time.Millisecond)
			require.False(t, tracker.IsQuarantined(now, 1, 1, newPart), "%s apart", spacing)
		}
		require.False(t, tracker.MayRepeat(now, newPart), "it has no answer yet")
		tracker.RecordAnswer(now, now, []Fingerprint{1, newPart})
		require.True(t, tracker.MayRepeat(now, newPart))
	}
}

// Guards against a sound part with few answers being blamed for crashes by a bad request, because the parts beside it have many more.
func TestPartWithFewAnswersIsNotBlamed(t *testing.T) {
	tracker, f := New(stormPool), Fingerprint(1000)
	now := start
	for i := range 30 {
		now = now.Add(200 * time.Millisecond)
		e := fmt.Sprint("e", i)
		f++
		tracker.RecordParts(now, e, f, []Fingerprint{1, 2})
		for range 50 {
			tracker.RecordAnswer(now, now, []Fingerprint{1})
		}
		if i%4 == 0 {
			tracker.RecordAnswer(now, now, []Fingerprint{1, 2})
		}
		require.False(t, tracker.IsQuarantined(now, f, 1, 2), "crash %d", i)
	}
}

// Guards against a sound part that is quarantined with the bad one beside it, or in its place, before answers have told them apart, and against two bad parts that always come together being spared.
func TestPartsThatCrashTogether(t *testing.T) {
	const sound, bad Fingerprint = 2, 3
	tracker, f, now := New(stormPool), Fingerprint(1000), start
	for range 50 {
		tracker.RecordAnswer(now, now, []Fingerprint{1})
	}
	crash := func(parts ...Fingerprint) {
		now = now.Add(300 * time.Millisecond)
		f++
		tracker.RecordParts(now, fmt.Sprint("e", f), f, parts)
	}
	for range minCarriers + 1 {
		crash(sound, bad)
		require.False(t, tracker.IsQuarantined(now, f, sound))
	}
	tracker.RecordAnswer(now, now, []Fingerprint{sound})
	tracker.RecordAnswer(now, now, []Fingerprint{sound})
	crash(sound, bad)
	now = now.Add(minPartInterval)
	require.False(t, tracker.IsQuarantined(now, f, sound))
	require.True(t, tracker.IsQuarantined(now, f, bad))

	for range rivalFactor*minRepeatedCrashes + 1 {
		crash(50, 51)
	}
	now = now.Add(minPartInterval)
	require.True(t, tracker.IsQuarantined(now, f, 50, 51))
}

// Guards against a part that all requests hold being blamed for crashes of other causes while nothing has been answered since all VMs started.
func TestNothingIsBlamedWhileNothingIsAnswered(t *testing.T) {
	tracker, f, now := New(stormPool), Fingerprint(1000), start
	for i := range 40 {
		now = now.Add(200 * time.Millisecond)
		for range 1 + i%3 {
			f++
			tracker.RecordParts(now, fmt.Sprint("e", i), f, []Fingerprint{1})
		}
		require.False(t, tracker.IsQuarantined(now, f+1, 1), "crash %d", i)
	}
}
