package tally

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxOutcomes bounds the endpoints in one datagram, up to 13 bytes each.
	maxOutcomes = 90
	// weightScale is the number of units of an attempt's weight in messages: hundredths.
	weightScale = 100
	// maxWeight bounds the weight of one VM's attempts at an endpoint; larger values are ignored
	// as invalid.
	maxWeight = 1e4 * weightScale
)

// Outcomes counts the recent attempts at one endpoint, in hundredths of attempts. Endpoint is
// the hash that EndpointHash returns.
type Outcomes struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint32
	Failed   uint32 // attempts that failed
	Runs     uint32 // all attempts that ran
	// OtherLife reports that another incarnation answered at the endpoint's address.
	OtherLife bool
}

// NewOutcomes returns the outcomes for the weights of the failed attempts and of all that ran.
func NewOutcomes(endpoint uint32, failed, runs float64, otherLife bool) Outcomes {
	return Outcomes{Endpoint: endpoint, Failed: uint32(failed * weightScale), Runs: uint32(runs * weightScale), OtherLife: otherLife}
}

// Weights returns the weights of the failed attempts and of all that ran.
func (o Outcomes) Weights() (failed, runs float64) {
	return float64(o.Failed) / weightScale, float64(o.Runs) / weightScale
}

// outcomesRow is the last list of outcomes that a VM sent, and when it arrived.
type outcomesRow struct {
	incarnation, sequence uint64
	receivedAt            time.Duration
	list                  []Outcomes
}

// outcomeRows are the last lists by sender.
type outcomeRows map[string]*outcomesRow

func (rows outcomeRows) store(now time.Duration, from string, incarnation, sequence uint64, list []Outcomes) {
	if r := rows[from]; r != nil && r.incarnation == incarnation && r.sequence >= sequence {
		return // reordered on the network
	}
	rows[from] = &outcomesRow{incarnation: incarnation, sequence: sequence, receivedAt: now, list: list}
}

// addTo adds the rows to the sums and removes expired rows. It ignores invalid outcomes.
func (rows outcomeRows) addTo(sums map[uint32]Outcomes, now time.Duration) {
	for name, r := range rows {
		if now-r.receivedAt > reportTTL {
			delete(rows, name)
			continue
		}
		for _, o := range r.list {
			if o.Failed > o.Runs || o.Runs > maxWeight {
				continue
			}
			s := sums[o.Endpoint]
			sums[o.Endpoint] = Outcomes{
				Endpoint: o.Endpoint, Failed: s.Failed + o.Failed, Runs: s.Runs + o.Runs, OtherLife: s.OtherLife || o.OtherLife,
			}
		}
	}
}

// RecordOutcomes stores a VM's outcomes, unless later ones are known; remote reports that they are
// the sums of another data centre.
func (a *Aggregator) RecordOutcomes(now time.Duration, from string, incarnation, sequence uint64, list []Outcomes, remote bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	rows := a.outcomes
	if remote {
		rows = a.remoteOutcomes
	}
	rows.store(now, from, incarnation, sequence, list)
}

// OutcomeSums returns the sums of the outcomes of this data centre, or of all data centres if
// all is set. It leaves out endpoints without a failed attempt or another incarnation, and
// returns at most maxOutcomes, those with the most failures first.
func (a *Aggregator) OutcomeSums(now time.Duration, all bool) []Outcomes {
	a.mu.Lock()
	defer a.mu.Unlock()
	sums := make(map[uint32]Outcomes)
	a.outcomes.addTo(sums, now)
	if all {
		a.remoteOutcomes.addTo(sums, now)
	}
	maps.DeleteFunc(sums, func(_ uint32, o Outcomes) bool { return o.Failed == 0 && !o.OtherLife })
	list := slices.SortedFunc(maps.Values(sums), func(a, b Outcomes) int { return cmp.Compare(b.Failed, a.Failed) })
	return list[:min(len(list), maxOutcomes)]
}

// reportOutcomes sends the outcomes of this VM's attempts to its keeper, which answers with the
// sums over the fleet. If this VM is the keeper, it applies the sums itself and sends those of
// its data centre to the other data centres' keepers.
func (s *Service) reportOutcomes() {
	k, ok := s.currentKeeper()
	if !ok {
		return
	}
	now, seq, own := s.cfg.Clock(), s.sequence.Add(1), s.cfg.Outcomes()
	slices.SortFunc(own, func(a, b Outcomes) int { return cmp.Compare(b.Runs, a.Runs) })
	own = own[:min(len(own), maxOutcomes)]
	if k.Name != s.cfg.Self {
		s.send(k, message{Kind: kindOutcomes, Sequence: seq, Outcomes: own})
		return
	}
	s.aggregator.RecordOutcomes(now, s.cfg.Self, s.incarnation, seq, own, false)
	s.cfg.ApplyOutcomes(s.aggregator.OutcomeSums(now, true))
	sums := s.aggregator.OutcomeSums(now, false)
	for _, other := range s.cfg.RemoteKeepers() {
		s.send(other, message{Kind: kindOutcomeSums, Sequence: seq, Outcomes: sums})
	}
}

// handleOutcomes processes a message about outcomes.
func (s *Service) handleOutcomes(now time.Duration, from string, m *message) {
	switch m.Kind {
	case kindOutcomes:
		s.aggregator.RecordOutcomes(now, m.From, m.Incarnation, m.Sequence, m.Outcomes, false)
		s.sendTo(from, message{Kind: kindFleetOutcomes, Sequence: s.sequence.Add(1), Outcomes: s.aggregator.OutcomeSums(now, true)})
	case kindOutcomeSums:
		s.aggregator.RecordOutcomes(now, m.From, m.Incarnation, m.Sequence, m.Outcomes, true)
	case kindFleetOutcomes:
		s.cfg.ApplyOutcomes(m.Outcomes)
	}
}
