package tally

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// MaxSums bounds the sums of one topic in a datagram.
	MaxSums = 150
	// keeperDelay is the time after which a new keeper gives totals: three reports of each VM. Until then it
	// may know only some of them, and the last keeper's totals are in use for 2 s.
	keeperDelay = 3 * refreshInterval
)

// Sum is a pair of figures about one subject that add up over the VMs. Key is the hash of the subject;
// package tally doesn't interpret it.
type Sum struct {
	Key  uint32
	A, B float32
}

// TopicSums are the sums of one topic. Topics are exchanged while a VM lists them, also without sums.
type TopicSums struct {
	_     struct{} `cbor:",toarray"`
	Topic uint8
	List  SumList
}

// sumsSource identifies what a row of sums is about and who sent it.
type sumsSource struct {
	from  string
	topic uint8
}

// sumsRow is the last list of sums that a VM sent, and when it arrived.
type sumsRow struct {
	incarnation, sequence uint64
	receivedAt            time.Duration
	list                  []Sum
}

// sumRows are the last lists by sender and topic, with their totals.
type sumRows struct {
	rows   map[sumsSource]*sumsRow
	totals map[uint8]*topicTotals
}

// topicTotals are the totals of the rows of one topic. They are updated with each list that arrives:
// adding up the rows for each answer took 0.3 ms with 75 VMs, 0.14 of a core in all.
type topicTotals struct {
	validUntil time.Duration // when the first row expires
	sums       map[uint32]total
}

// total has the precision to take lists out again.
type total struct{ a, b float64 }

func newSumRows() sumRows {
	return sumRows{rows: make(map[sumsSource]*sumsRow), totals: make(map[uint8]*topicTotals)}
}

func (s *sumRows) store(now time.Duration, from sumsSource, incarnation, sequence uint64, list []Sum) {
	r := s.rows[from]
	if r != nil && r.incarnation == incarnation && r.sequence >= sequence {
		return // reordered on the network
	}
	s.rows[from] = &sumsRow{incarnation: incarnation, sequence: sequence, receivedAt: now, list: list}
	if t := s.totals[from.topic]; t != nil {
		if r != nil {
			t.add(r.list, -1)
		}
		t.add(list, 1)
		t.validUntil = min(t.validUntil, now+reportTTL)
	}
}

// add adds a list with the given sign. It ignores figures that aren't finite.
func (t *topicTotals) add(list []Sum, sign float64) {
	for _, s := range list {
		if isFinite(s.A) && isFinite(s.B) {
			old := t.sums[s.Key]
			t.sums[s.Key] = total{old.a + sign*float64(s.A), old.b + sign*float64(s.B)}
		}
	}
}

// of returns the totals of a topic, without expired rows.
func (s *sumRows) of(now time.Duration, topic uint8) map[uint32]total {
	if t := s.totals[topic]; t != nil && now <= t.validUntil {
		return t.sums
	}
	t := &topicTotals{validUntil: math.MaxInt64, sums: make(map[uint32]total)}
	for from, r := range s.rows {
		if now-r.receivedAt > reportTTL {
			delete(s.rows, from)
			delete(s.totals, from.topic)
			continue
		}
		if from.topic == topic {
			t.add(r.list, 1)
			t.validUntil = min(t.validUntil, r.receivedAt+reportTTL)
		}
	}
	s.totals[topic] = t
	return t.sums
}

func isFinite(x float32) bool { return !math.IsNaN(float64(x)) && !math.IsInf(float64(x), 0) }

// RecordSums stores a VM's sums of a topic, unless later ones are known; remote reports that they are
// the totals of another data centre.
func (a *Aggregator) RecordSums(now time.Duration, from string, incarnation, sequence uint64, s TopicSums, remote bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	rows := &a.sums
	if remote {
		rows = &a.remoteSums
	}
	rows.store(now, sumsSource{from, s.Topic}, incarnation, sequence, s.List)
}

// SumTotals returns the totals of a topic over this data centre, or over all data centres if all is
// set: at most MaxSums, those with the largest B first.
func (a *Aggregator) SumTotals(now time.Duration, topic uint8, all bool) TopicSums {
	a.mu.Lock()
	defer a.mu.Unlock()
	totals := a.sums.of(now, topic)
	if all {
		totals = maps.Clone(totals)
		for key, t := range a.remoteSums.of(now, topic) {
			totals[key] = total{totals[key].a + t.a, totals[key].b + t.b}
		}
	}
	list := make([]Sum, 0, len(totals))
	for key, t := range totals {
		if s := (Sum{Key: key, A: float32(t.a), B: float32(t.b)}); isFinite(s.A) && isFinite(s.B) {
			list = append(list, s)
		}
	}
	return TopicSums{Topic: topic, List: largestSums(list)}
}

// largestSums returns at most MaxSums of a list, those with the largest B.
func largestSums(list []Sum) []Sum {
	if len(list) <= MaxSums {
		return list
	}
	slices.SortFunc(list, func(a, b Sum) int { return cmp.Or(cmp.Compare(b.B, a.B), cmp.Compare(a.Key, b.Key)) })
	return list[:MaxSums]
}

// reportSums sends this VM's sums to its keeper, which answers with the totals over the fleet. If this
// VM is the keeper, it applies the totals itself and sends those of its data centre to the other data
// centres' keepers.
//
// Sums go to the first keeper also while queries skip it (silentBackoff): the next one has only the sums of
// the few VMs that skip it too, and its totals would look like those of the fleet.
func (s *Service) reportSums() {
	topics, keepers := s.cfg.Sums(), s.cfg.Keepers()
	if len(keepers) == 0 {
		return
	}
	k := keepers[0]
	for _, own := range topics {
		own.List = largestSums(own.List)
		seq := s.sequence.Add(1)
		if k.Name != s.cfg.Self {
			s.send(k, message{Kind: kindSums, Sequence: seq, Sums: &own})
			continue
		}
		now := s.cfg.Clock()
		s.aggregator.RecordSums(now, s.cfg.Self, s.incarnation, seq, own, false)
		if !s.noteReport(now) {
			continue
		}
		s.cfg.ApplySums(s.aggregator.SumTotals(now, own.Topic, true))
		local := s.aggregator.SumTotals(now, own.Topic, false)
		for _, other := range s.cfg.RemoteKeepers() {
			s.send(other, message{Kind: kindSumTotals, Sequence: seq, Sums: &local})
		}
	}
}

// noteReport records that a VM, maybe this one, reports to this VM as its keeper, and returns whether it has been
// a keeper for long enough to give totals. It doesn't go by this VM's own order of keepers, which may differ
// from that of the others for a while.
func (s *Service) noteReport(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reportedAt == 0 || now-s.reportedAt > keeperDelay {
		s.keeperSince = now
	}
	s.reportedAt = now
	return now-s.keeperSince >= keeperDelay
}

// sumsAnswer records a VM's sums and returns the answer with the totals, nil if this VM can't give them.
func (s *Service) sumsAnswer(now time.Duration, m *message) *message {
	s.aggregator.RecordSums(now, m.From, m.Incarnation, m.Sequence, *m.Sums, false)
	if !s.noteReport(now) {
		return nil
	}
	totals := s.aggregator.SumTotals(now, m.Sums.Topic, true)
	return &message{Kind: kindFleetSums, Sequence: s.sequence.Add(1), Sums: &totals}
}

// handleSums processes a message about sums.
func (s *Service) handleSums(now time.Duration, from string, m *message) {
	if m.Sums == nil {
		return
	}
	switch m.Kind {
	case kindSums:
		if answer := s.sumsAnswer(now, m); answer != nil {
			s.sendTo(from, *answer)
		}
	case kindSumTotals:
		s.aggregator.RecordSums(now, m.From, m.Incarnation, m.Sequence, *m.Sums, true)
	case kindFleetSums:
		m.Sums.List = slices.DeleteFunc(m.Sums.List, func(s Sum) bool { return !isFinite(s.A) || !isFinite(s.B) })
		s.cfg.ApplySums(*m.Sums)
	}
}
