package slot

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"goldcrestfork/durable"
	"goldcrestfork/fleet/member"
	"goldcrestfork/fleet/peer"
	"goldcrestfork/fleet/rendezvous"
)

const (
	// downAfter is how long a VM must be down before it is taken out of the epoch.
	// 60 s: regions lose each other for minutes, several times a year, and a VM that
	// only pauses should find its slots as it left them.
	downAfter = time.Minute
	// listLimit is the age of a list beyond which absence from it says nothing.
	listLimit = time.Minute
	// readsPerLife is the number of reads in the life of evidence, so that two may fail.
	readsPerLife = 3
	// outageInterval is the time between two rounds while the platform can't be
	// read. 4 s: below the 5 s after which the peer link drops a silent connection; a
	// call over a new one takes 6 KB and 2 ms (BenchmarkFirstCall in package peer).
	outageInterval = 4 * time.Second
	// confirmLimit is the largest epoch that is kept by confirmation. 32: every
	// member asks every other, which makes 13.5 calls a second a VM at 28 members
	// (BenchmarkOutage); at 400 it would be 200, far more than control may take.
	confirmLimit = 32
	// maxConfirms bounds the calls of one confirmation under way at a time.
	maxConfirms = 32
)

// epochKey is the epoch's object.
var epochKey = durable.Key{Kind: "fleet", Name: "epoch"}

// Run keeps the epoch and the evidence until the context ends.
func (s *Service) Run(ctx context.Context) {
	for {
		wait := s.o.Params.Evidence / readsPerLife
		if !s.round(ctx) {
			wait = min(wait, outageInterval)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// round reads the epoch, or has it confirmed while the platform is away, and
// proposes the next one if it is this VM's turn. It says whether the platform answered.
func (s *Service) round(ctx context.Context) bool {
	if err := s.read(ctx); err != nil {
		s.metrics.epochs.WithLabelValues("read", "failed").Inc()
		s.confirmAll(ctx)
		return false
	}
	s.metrics.epochs.WithLabelValues("read", "ok").Inc()
	now := time.Now()
	if !s.o.Membership.Fresh(now) {
		return true
	}
	members := s.o.Membership.Members(now)
	s.mu.Lock()
	draining, epoch := s.draining, s.table.epoch
	wanted := s.wanted(epoch, members, draining)
	s.differs++
	if slices.Equal(wanted, epoch.Members) {
		s.differs = 0
	}
	turn := s.differs > s.rank(epoch, members)
	s.mu.Unlock()
	if turn && len(wanted) > 0 {
		s.propose(ctx, wanted, s.goneBy(now, members))
	}
	return true
}

// read takes the epoch from the platform. No object yet is no failure.
func (s *Service) read(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, durable.CallTimeout)
	defer cancel()
	asked := time.Now()
	o, err := s.o.Store.Get(call, epochKey)
	if errors.Is(err, durable.ErrNotFound) {
		return nil
	}
	if err != nil {
		return trace.Wrap(err)
	}
	return s.observe(asked, o)
}

func (s *Service) observe(asked time.Time, o durable.Object) error {
	e, err := DecodeEpoch(o.Value)
	if err != nil {
		return trace.Wrap(err)
	}
	s.mu.Lock()
	before := s.table.epoch.Number
	s.table.Observe(time.Now(), asked, e, o.Version)
	s.mu.Unlock()
	if e.Number > before {
		s.o.Log.Info().Uint64("epoch", e.Number).Int("members", len(e.Members)).Msg("membership epoch changed")
	}
	return nil
}

// wanted are the members that the next epoch should have: those of the newest but
// for the ones that leave or are gone, and the VMs that are alive.
func (s *Service) wanted(epoch Epoch, members []member.Member, draining bool) []Process {
	var all []Process
	if !draining {
		all = append(all, s.table.self)
	}
	for _, m := range members {
		p := Process{ID: m.ID, Incarnation: m.Incarnation}
		stays := slices.Contains(epoch.Members, p) && m.State != member.Left && (m.State != member.Down || m.Age < downAfter)
		if !m.Leaving && (m.State == member.Alive || stays) {
			all = append(all, p)
		}
	}
	slices.SortFunc(all, compareProcesses)
	return all
}

// rank is how many rounds this VM leaves the proposal to others. All could
// propose, and the conditional write would let one through; the rank only saves writes.
func (s *Service) rank(epoch Epoch, members []member.Member) int {
	ids := []string{s.table.self.ID}
	for _, m := range members {
		p := Process{ID: m.ID, Incarnation: m.Incarnation}
		if m.State == member.Alive && (epoch.Number == 0 || slices.Contains(epoch.Members, p)) {
			ids = append(ids, m.ID)
		}
	}
	return slices.Index(rendezvous.Rank("propose", ids), s.table.self.ID)
}

// goneBy tells whether a process has ended for good: it said so, a later process
// runs on its VM, or the VM is off a recent list and silent. A VM that is only
// down may be on the other side of a cut.
func (s *Service) goneBy(now time.Time, members []member.Member) func(Process) bool {
	age, read := s.o.Membership.ListAge(now)
	recent := read && age <= listLimit
	byID := make(map[string]member.Member, len(members))
	for _, m := range members {
		byID[m.ID] = m
	}
	return func(p Process) bool {
		if p.ID == s.table.self.ID {
			// One process at a time can hold this VM's peer address.
			return p != s.table.self
		}
		m, known := byID[p.ID]
		switch {
		case !known:
			return recent
		case m.Incarnation > p.Incarnation, m.State == member.Left && m.Incarnation == p.Incarnation:
			return true
		}
		return recent && !m.Listed && m.State == member.Down
	}
}

func (s *Service) propose(ctx context.Context, wanted []Process, gone func(Process) bool) {
	s.mu.Lock()
	next, version, ok := s.table.Propose(wanted, gone)
	s.mu.Unlock()
	if !ok {
		return
	}
	value, err := next.Encode()
	if err != nil {
		panic("slot: own epoch does not encode: " + err.Error())
	}
	call, cancel := context.WithTimeout(ctx, durable.CallTimeout)
	defer cancel()
	asked := time.Now()
	o, err := s.o.Store.Put(call, epochKey, value, version)
	s.settleProposal(asked, o, err)
}

// settleProposal takes the write's outcome. Only a refusal that is certain lets this process confirm again.
func (s *Service) settleProposal(asked time.Time, o durable.Object, err error) {
	var conflict *durable.ConflictError
	result := "ok"
	switch {
	case err == nil:
		err = s.observe(asked, o)
	case errors.As(err, &conflict) && conflict.Current.Version > 0:
		result = "conflict"
		err = s.observe(asked, conflict.Current)
	case errors.Is(err, durable.ErrUnavailable):
		result = "unavailable"
		s.mu.Lock()
		s.table.ProposalFailed()
		s.mu.Unlock()
	default:
		result = "unknown"
		s.mu.Lock()
		s.table.ProposalUnknown()
		s.mu.Unlock()
	}
	s.metrics.epochs.WithLabelValues("write", result).Inc()
	if err != nil {
		s.o.Log.Warn().Err(err).Msg("membership epoch not written")
	}
}

// confirmAll asks every other member of the epoch, while the platform is away.
// One that can't be asked is one too many: it might have written the next epoch.
func (s *Service) confirmAll(ctx context.Context) {
	s.mu.Lock()
	epoch, self := s.table.epoch, s.table.self
	s.mu.Unlock()
	if len(epoch.Members) > confirmLimit || !slices.Contains(epoch.Members, self) {
		return
	}
	var asks []Ask
	for _, p := range epoch.Members {
		if p != self {
			asks = append(asks, Ask{Process: p})
		}
	}
	asked := time.Now()
	targets := s.targets(asks)
	if len(targets) == len(asks) && s.allConfirm(ctx, targets, epoch.Number) {
		s.mu.Lock()
		s.table.Confirmed(asked, epoch.Number)
		s.mu.Unlock()
		s.metrics.epochs.WithLabelValues("confirm", "ok").Inc()
		return
	}
	s.metrics.epochs.WithLabelValues("confirm", "failed").Inc()
}

func (s *Service) allConfirm(ctx context.Context, targets map[Process]peer.Target, number uint64) bool {
	var calls sync.WaitGroup
	places := make(chan struct{}, maxConfirms)
	results := make(chan bool, len(targets))
	for p, to := range targets {
		places <- struct{}{}
		calls.Go(func() {
			defer func() { <-places }()
			results <- s.call(ctx, to, methodConfirm, confirmRequest{Member: p, Number: number})
		})
	}
	calls.Wait()
	close(results)
	all := true
	for ok := range results {
		all = all && ok
	}
	return all
}

// sample picks whom to ask: an order of this process's own for each endpoint, so
// that many VMs in want of one endpoint don't all ask the same one first.
func sample(asks []Ask, self Process, endpoint string, n int) []Ask {
	ranked := rendezvous.RankBy(self.key()+"/"+endpoint, asks, func(a Ask) string {
		return a.Process.key() + "/" + slotKey{index: a.Index}.String()
	})
	slices.SortStableFunc(ranked, func(a, b Ask) int { return int(b.Kind) - int(a.Kind) })
	return ranked[:min(n, len(ranked))]
}
