package admission

import (
	"maps"
	"slices"
	"time"

	"goldcrestfork/fleet/rendezvous"
)

// Figure is a pair of figures of one subject that add up over the VMs. The exchange keeps the
// subjects with the largest B if there are too many. Demand is therefore in B: with the
// admitted part there, an account that is refused entirely would be missing from the totals.
type Figure struct {
	Key uint32
	// A is the requests a second that return after a refusal, B all that are offered, except for the
	// subjects below.
	A, B float64
}

// Keys consist of 12 bits of the service's hash, 16 bits of a subject's hash and 4 bits of its kind:
// a rank from 0 to 9 for an account's demand, or one of the following.
const (
	kindBits, subjectBits = 4, 16
	maxRank               = 9
	// kindStated: A is the sum of the shares of their slots in use that endpoints stated, B their number.
	kindStated = 10
	// kindHeld: A is the seconds for which requests of a rank held slots, B the number of these
	// requests. The subject is the rank.
	kindHeld = 11
	// kindRank: A is the admitted requests a second of a rank, B all of its requests a second. The
	// subject is the rank.
	kindRank = 12
	// kindVersion: requests a second sent to a version's endpoints, in A and B.
	kindVersion = 13
	// kindRejected: A is the rejections for want of room a second, B the attempts a second.
	kindRejected = 14
	// kindUnderWay: A is the requests under way at endpoints, B is underWayWeight for each VM.
	kindUnderWay = 15
	// underWayWeight keeps the subject among those with the largest B.
	underWayWeight = 1 << 20
)

func servicePrefix(service string) uint32 {
	return rendezvous.HashOf(service).Short() >> (kindBits + subjectBits) << (kindBits + subjectBits)
}

func subjectKey(prefix uint32, subject uint32, kind int) uint32 {
	return prefix | subject&(1<<subjectBits-1)<<kindBits | uint32(kind)
}

func shortHash(s string) uint32 { return rendezvous.HashOf(s).Short() >> (32 - subjectBits) }

func keyKind(key uint32) int       { return int(key & (1<<kindBits - 1)) }
func keySubject(key uint32) uint32 { return key >> kindBits & (1<<subjectBits - 1) }
func clampRank(rank int) int       { return min(max(rank, 0), maxRank) }

// ServiceOf reports whether a key belongs to a service.
func ServiceOf(key uint32, service string) bool {
	return key>>(kindBits+subjectBits)<<(kindBits+subjectBits) == servicePrefix(service)
}

// subject is one account at one rank.
type subject struct {
	account string
	rank    int
}

// flow is the recent requests of a subject on this VM.
type flow struct {
	offered, returning decayingSum
	// balance is the admitted part of the requests so far that was not used; a request is
	// admitted when it reaches 1.
	balance float64
	credits []time.Time // return times of refused requests, in order
}

// lastSecond counts events in the last second. A sum that decays would still be a third a second after the
// last rejection, and as many requests would be refused for it.
type lastSecond struct {
	began  time.Time // the first use; intervals count from it, so that steps of the time of day don't matter
	counts [8]float64
	newest int64 // number of the newest interval
}

const lastSecondInterval = time.Second / 8

func (l *lastSecond) advance(now time.Time) {
	if l.began.IsZero() {
		l.began = now
	}
	at := int64(now.Sub(l.began) / lastSecondInterval)
	for n := int64(len(l.counts)); l.newest < at; l.newest++ {
		if l.newest < at-n {
			l.newest = at - n
		}
		l.counts[(l.newest+1)%n] = 0
	}
}

func (l *lastSecond) add(now time.Time) {
	l.advance(now)
	l.counts[l.newest%int64(len(l.counts))]++
}

func (l *lastSecond) count(now time.Time) (sum float64) {
	l.advance(now)
	for _, n := range l.counts {
		sum += n
	}
	return sum
}

// minFlow is the requests a second below which a subject is forgotten.
const minFlow = 1e-4

// figures returns this VM's figures and forgets subjects without recent demand.
func (g *Gate) figures(now time.Time) (out []Figure) {
	var ranks [maxRank + 1]float64
	for s, f := range g.flows {
		a, b := f.returning.rate(now), f.offered.rate(now)
		if b < minFlow {
			delete(g.flows, s)
			continue
		}
		out = append(out, Figure{Key: subjectKey(g.prefix, shortHash(s.account), s.rank), A: a, B: b})
		ranks[s.rank] += b
	}
	for rank, offered := range ranks {
		if offered > 0 {
			out = append(out, Figure{Key: subjectKey(g.prefix, uint32(rank), kindRank), A: g.admitted[rank].rate(now), B: offered})
		}
	}
	for rank := range g.held {
		if n := g.held[rank].requests.value(now); n > minFlow {
			out = append(out, Figure{Key: subjectKey(g.prefix, uint32(rank), kindHeld), A: g.held[rank].seconds.value(now), B: n})
		}
	}
	if n := g.statedUse.answers.value(now); n > minFlow {
		out = append(out, Figure{Key: subjectKey(g.prefix, 0, kindStated), A: g.statedUse.shares.value(now), B: n})
	}
	for _, version := range slices.Sorted(maps.Keys(g.versions)) {
		rate := g.versions[version].rate(now)
		if rate < minFlow {
			delete(g.versions, version)
			continue
		}
		out = append(out, Figure{Key: subjectKey(g.prefix, shortHash(version), kindVersion), A: rate, B: rate})
	}
	if len(out) == 0 && g.underWay == 0 && g.underWayMean(now) < minFlow {
		return nil // a service without requests would displace the figures of others
	}
	return append(out,
		Figure{Key: subjectKey(g.prefix, 0, kindRejected), A: g.rejected.count(now), B: g.attempts.count(now)},
		Figure{Key: subjectKey(g.prefix, 0, kindUnderWay), A: g.underWayMean(now), B: underWayWeight})
}

// totals are the figures of a service over the VMs that they come from.
type totals struct {
	demands []demand
	// offered and admitted are requests a second by rank, returning those that return after a refusal.
	offered, admitted, returning [maxRank + 1]float64
	held                         [maxRank + 1]Figure
	stated                       Figure
	rejected, attempts           float64
	underWay                     float64
	versions                     map[uint32]float64
}

// restKey is the key of the demands of a rank that are missing from the totals.
func restKey(rank int) uint32 { return subjectKey(0, 0, rank) }

// newTotals reads the figures of one service. What a rank's demand exceeds the sum of its accounts is
// that of the small accounts that don't fit a datagram; they count as usual.
func newTotals(prefix uint32, figures []Figure) totals {
	t := totals{versions: make(map[uint32]float64)}
	var rest [maxRank + 1]float64
	for _, f := range figures {
		if f.Key>>(kindBits+subjectBits)<<(kindBits+subjectBits) != prefix {
			continue
		}
		a, b := max(f.A, 0), max(f.B, 0)
		switch kind := keyKind(f.Key); kind {
		case kindRank:
			rank := min(keySubject(f.Key), maxRank)
			t.offered[rank], t.admitted[rank] = t.offered[rank]+b, t.admitted[rank]+a
		case kindHeld:
			h := &t.held[min(keySubject(f.Key), maxRank)]
			h.A, h.B = h.A+a, h.B+b
		case kindStated:
			t.stated.A, t.stated.B = t.stated.A+a, t.stated.B+b
		case kindVersion:
			t.versions[keySubject(f.Key)] += b
		case kindRejected:
			t.rejected, t.attempts = t.rejected+a, t.attempts+b
		case kindUnderWay:
			t.underWay += a
		default:
			if kind <= maxRank {
				t.demands = append(t.demands, demand{key: f.Key, rank: kind, offered: b, returning: a})
				rest[kind] -= b
				t.returning[kind] += a
			}
		}
	}
	slices.SortFunc(t.demands, func(a, b demand) int { return int(int64(a.key) - int64(b.key)) })
	for rank := range t.offered {
		if left := t.offered[rank] + rest[rank]; left > minFlow {
			t.demands = append(t.demands, demand{key: restKey(rank), rank: rank, offered: left, usual: left, small: true})
		}
	}
	return t
}
