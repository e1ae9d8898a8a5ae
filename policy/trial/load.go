package trial

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"strings"
	"time"
)

// A version that fails only under load shows nothing in a trial, whose few sessions are spread over all of its
// endpoints, and has no way back once the old version has ended. Its endpoints therefore get no higher load
// than one at which its answers were good or that the old version's endpoints had. One of them, the first, gets
// half as much again, and so shows whether the others may have more.
const (
	// minShown is the number of good answers by which a load is shown. A version that fails two fifths gives as
	// many in a row once in 3,500 times.
	minShown = 16
	// usualLoadShare is the part of the old version's answers whose endpoints had its highest usual load.
	usualLoadShare = 0.2
	// minLoadErrors is the number of errors from which a load can be one that the version doesn't bear.
	minLoadErrors = 3
	// firstFactor is the load that the first endpoint may have, as a multiple of that of the others.
	firstFactor = 1.5
	// firstBad is the number of bad answers that load explains from which no endpoint gets more load than the others,
	// and maxLoadBad the number that failed loads may give in all.
	firstBad   = 10
	maxLoadBad = 40
	// retryTime is the time after which a load that failed is tried again. It doubles with each failure, up
	// to maxRetryDoublings times.
	retryTime         = time.Minute
	maxRetryDoublings = 5
	// minLoadBound is the lowest bound: so few requests of callers arrive together by chance.
	minLoadBound = 4
)

// loadLevels are the fewest requests that are counted under each level: four levels to an octave.
var loadLevels = func() (fewest []int) {
	for n := 1; n < 1<<20; n = max(n+1, n*119/100) {
		fewest = append(fewest, n)
	}
	return fewest
}()

// loadLevel returns the level under which the answers of endpoints with so many requests are counted.
func loadLevel(requests int) uint8 {
	return uint8(max(sort.SearchInts(loadLevels, requests+1)-1, 0))
}

// loadOf returns the fewest requests that are counted under a level.
func loadOf(level uint8) int { return loadLevels[min(int(level), len(loadLevels)-1)] }

// Loads counts a version's answers by the load of their endpoint.
type Loads map[uint8]LoadCounts

// LoadCounts counts answers at one load.
type LoadCounts struct {
	_               struct{} `cbor:",toarray"`
	Answers, Errors uint64
}

// String formats the counts for log lines, as "load:answers/errors" by load.
func (l Loads) String() string {
	parts := make([]string, 0, len(l))
	for _, level := range slices.Sorted(maps.Keys(l)) {
		parts = append(parts, fmt.Sprintf("%d:%d/%d", loadOf(level), l[level].Answers, l[level].Errors))
	}
	return strings.Join(parts, " ")
}

func (l Loads) count(requests int, failed bool) {
	c := l[loadLevel(requests)]
	c.Answers++
	if failed {
		c.Errors++
	}
	l[loadLevel(requests)] = c
}

func (l Loads) add(o Loads) {
	for level, c := range o {
		s := l[level]
		s.Answers += c.Answers
		s.Errors += c.Errors
		l[level] = s
	}
}

// subtract takes counts away.
func (l Loads) subtract(o Loads) {
	for level, c := range o {
		s := l[level]
		s.Answers -= min(c.Answers, s.Answers)
		s.Errors -= min(c.Errors, s.Errors)
		l[level] = s
	}
}

// answers returns the number of answers at a level or above.
func (l Loads) answers(from uint8) uint64 { return l.sum(from, math.MaxUint8).Answers }

// sum adds the counts of the levels from one to another.
func (l Loads) sum(from, to uint8) (sum LoadCounts) {
	for level, c := range l {
		if level >= from && level <= to {
			sum.Answers += c.Answers
			sum.Errors += c.Errors
		}
	}
	return sum
}

// highest returns the highest level that is counted.
func (l Loads) highest() (top uint8) {
	for level := range l {
		top = max(top, level)
	}
	return top
}

// usual returns the highest level that many answers had; ok is false if there are too few answers.
func (l Loads) usual() (level uint8, ok bool) {
	all := l.answers(0)
	for level := l.highest(); ; level-- {
		if n := l.answers(level); n >= minShown && float64(n) >= usualLoadShare*float64(all) {
			return level, true
		}
		if level == 0 {
			return 0, false
		}
	}
}

// shown returns the highest level from usual on at which the answers were good, and the lowest one above usual
// that the version doesn't bear; bears is false if there is one. base is the old version's rate of errors.
func (l Loads) shown(usual uint8, base float64) (good, bad uint8, bears bool) {
	good, bears = usual, true
	for level := usual + 1; level <= l.highest(); level++ {
		below := l.sum(0, level-1)
		expected := max(base, rate(below.Errors, below.Answers))
		c := l.sum(level, math.MaxUint8)
		if c.Errors >= minLoadErrors && rateEvidence(c.Errors, c.Answers, max(expected, minUsualRate)) >= takeBackEvidence {
			return good, level, false
		}
		if c.Answers >= minShown && !exceeds(expected, c.Errors, c.Answers, toleratedErrors, 2) {
			good = level
		}
	}
	return good, 0, true
}

// CountLoad counts an answer of an endpoint that stated how many requests it had. A request that failed is no
// longer among them.
func (t *Trial) CountLoad(newVersion bool, requests int, failed bool) {
	if failed {
		requests++
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if newVersion {
		t.own.ToLoads.count(requests, failed)
	} else {
		t.own.FromLoads.count(requests, failed)
	}
}

// loads adds the counts of all VMs by load. Callers hold t.mu.
func (t *Trial) loads() (from, to Loads) {
	from, to = make(Loads), make(Loads)
	from.add(t.own.FromLoads)
	to.add(t.own.ToLoads)
	for _, c := range t.others {
		from.add(c.FromLoads)
		to.add(c.ToLoads)
	}
	return from, to
}

// LoadBound bounds the requests in progress at the endpoints of an accepted version.
type LoadBound struct {
	// Others is the bound of all endpoints but one, and First that one's.
	Others, First int
}

// usualLoad returns the level of the old version's usual load and its rate of errors; known is false if neither the VMs
// nor the platform know them. Callers hold t.mu.
func (t *Trial) usualLoad() (level uint8, base float64, known bool) {
	from, _ := t.loads()
	if level, known = from.usual(); known {
		all := from.sum(0, math.MaxUint8)
		return level, rate(all.Errors, all.Answers), true
	}
	r := t.watch.record
	if r.Load == 0 {
		return 0, 0, false
	}
	for loadOf(level+2) <= r.Load {
		level++
	}
	return level, r.UsualErrors, true
}

// loadBad returns the number of bad answers that the load of the endpoints explains. Callers hold t.mu.
func (t *Trial) loadBad() float64 {
	_, to := t.loads()
	spent := float64(t.watch.record.LoadBad)
	if usual, base, known := t.usualLoad(); known {
		below, above := to.sum(0, usual), to.sum(usual+1, math.MaxUint8)
		expected := max(base, rate(below.Errors, below.Answers))
		spent = max(spent, float64(above.Errors)-expected*float64(above.Answers))
	}
	return spent
}

// LoadBound returns the bound on the load of the accepted version's endpoints; ok is false if there is none,
// since the usual load isn't known.
func (t *Trial) LoadBound(now time.Duration) (b LoadBound, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	usual, base, known := t.usualLoad()
	if !known {
		return LoadBound{}, false
	}
	_, to := t.loads()
	spent := t.loadBad()
	to.subtract(t.forgiven)
	good, bad, bears := to.shown(usual, base)
	b.Others = loadOf(good + 1)
	if !bears {
		b.Others = min(b.Others, loadOf(bad-1))
	}
	b.Others = max(b.Others, minLoadBound)
	b.First = b.Others
	t.bound = b
	if bears {
		t.failedSince = 0
		if spent < firstBad {
			b.First = int(math.Ceil(firstFactor * float64(b.Others)))
		}
		return b, true
	}
	if t.failedSince == 0 {
		t.failedSince = now
		t.failures++
	}
	// A load that failed is tried again only if as many bad answers are left as a failure has cost.
	affordable := spent+spent/float64(t.failures) <= maxLoadBad
	if affordable && now-t.failedSince >= retryTime<<min(t.failures-1, maxRetryDoublings) {
		maps.DeleteFunc(to, func(level uint8, _ LoadCounts) bool { return level < bad })
		t.forgiven.add(to)
		t.failedSince = 0
	}
	return b, true
}
