package tally

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// mostOutcomes bounds the endpoints in one datagram, up to 13 bytes each.
	mostOutcomes = 90
	// scale is how weights are told: in hundredths.
	scale = 100
	// mostWeight bounds what is believed of one VM's attempts at an endpoint.
	mostWeight = 1e4 * scale
)

// Outcomes is what became of the attempts at one endpoint lately, in hundredths of attempts.
type Outcomes struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint32
	Failed   uint32
	Runs     uint32
	// OtherLife says that another life answered at its address.
	OtherLife bool
}

// NewOutcomes gives weights as they are told.
func NewOutcomes(endpoint uint32, failed, runs float64, otherLife bool) Outcomes {
	return Outcomes{Endpoint: endpoint, Failed: uint32(failed * scale), Runs: uint32(runs * scale), OtherLife: otherLife}
}

// Weights are the failed attempts and all that ran.
func (o Outcomes) Weights() (failed, runs float64) {
	return float64(o.Failed) / scale, float64(o.Runs) / scale
}

type outcomesRow struct {
	life, sequence uint64
	at             time.Duration
	list           []Outcomes
}

type outcomeRows map[string]*outcomesRow

func (rows outcomeRows) put(now time.Duration, from string, life, sequence uint64, list []Outcomes) {
	if r := rows[from]; r != nil && r.life == life && r.sequence >= sequence {
		return // overtaken by a newer one
	}
	rows[from] = &outcomesRow{life: life, sequence: sequence, at: now, list: list}
}

// addTo sums the rows and forgets those that are too old.
func (rows outcomeRows) addTo(sums map[uint32]Outcomes, now time.Duration) {
	for name, r := range rows {
		if now-r.at > reportLife {
			delete(rows, name)
			continue
		}
		for _, o := range r.list {
			if o.Failed > o.Runs || o.Runs > mostWeight {
				continue
			}
			s := sums[o.Endpoint]
			sums[o.Endpoint] = Outcomes{
				Endpoint: o.Endpoint, Failed: s.Failed + o.Failed, Runs: s.Runs + o.Runs, OtherLife: s.OtherLife || o.OtherLife,
			}
		}
	}
}

// TakeOutcomes takes a VM's outcomes; far says that they are the sums of another data centre.
func (b *Board) TakeOutcomes(now time.Duration, from string, life, sequence uint64, list []Outcomes, far bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rows := b.outcomes
	if far {
		rows = b.farOutcomes
	}
	rows.put(now, from, life, sequence, list)
}

// OutcomeSums adds up the outcomes of this data centre, or of all, at the endpoints that
// failed requests or have another life; of the others nothing is told.
func (b *Board) OutcomeSums(now time.Duration, all bool) []Outcomes {
	b.mu.Lock()
	defer b.mu.Unlock()
	sums := make(map[uint32]Outcomes)
	b.outcomes.addTo(sums, now)
	if all {
		b.farOutcomes.addTo(sums, now)
	}
	maps.DeleteFunc(sums, func(_ uint32, o Outcomes) bool { return o.Failed == 0 && !o.OtherLife })
	list := slices.SortedFunc(maps.Values(sums), func(a, b Outcomes) int { return cmp.Compare(b.Failed, a.Failed) })
	return list[:min(len(list), mostOutcomes)]
}

// tellOutcomes reports what this VM's attempts told, which its keeper answers with the
// fleet's; a keeper takes what it added up and tells the other data centres' keepers.
func (s *Service) tellOutcomes() {
	k, ok := s.keeper()
	if !ok {
		return
	}
	now, seq, own := s.cfg.Clock(), s.sequence.Add(1), s.cfg.Outcomes()
	slices.SortFunc(own, func(a, b Outcomes) int { return cmp.Compare(b.Runs, a.Runs) })
	own = own[:min(len(own), mostOutcomes)]
	if k.Name != s.cfg.Self {
		s.send(k, message{Kind: outcomes, Sequence: seq, Outcomes: own})
		return
	}
	s.board.TakeOutcomes(now, s.cfg.Self, s.life, seq, own, false)
	s.cfg.ApplyOutcomes(s.board.OutcomeSums(now, true))
	sums := s.board.OutcomeSums(now, false)
	for _, other := range s.cfg.Others() {
		s.send(other, message{Kind: outcomeSums, Sequence: seq, Outcomes: sums})
	}
}

// takeOutcomes takes what other VMs tell of attempts.
func (s *Service) takeOutcomes(now time.Duration, from string, m *message) {
	switch m.Kind {
	case outcomes:
		s.board.TakeOutcomes(now, m.From, m.Life, m.Sequence, m.Outcomes, false)
		s.sendTo(from, message{Kind: fleetOutcomes, Sequence: s.sequence.Add(1), Outcomes: s.board.OutcomeSums(now, true)})
	case outcomeSums:
		s.board.TakeOutcomes(now, m.From, m.Life, m.Sequence, m.Outcomes, true)
	case fleetOutcomes:
		s.cfg.ApplyOutcomes(m.Outcomes)
	}
}
