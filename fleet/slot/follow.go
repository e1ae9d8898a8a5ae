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
	// removalDelay is how long a VM must be down before it is removed from the epoch.
	// Regions lose contact with each other for minutes, several times a year, and a VM
	// that was only paused should find its slots unchanged.
	removalDelay = time.Minute
	// maxListAge is the age of a platform list beyond which a VM's absence from it
	// proves nothing.
	maxListAge = time.Minute
	// readsPerEvidence is the number of epoch reads while evidence is valid, so that
	// two of them may fail.
	readsPerEvidence = 3
	// outageInterval is the time between two rounds while the platform can't be read.
	// It is below the 5 s after which the peer link drops an idle connection, since a
	// call over a new connection takes 6 KB and 2 ms (BenchmarkFirstCall in package
	// peer).
	outageInterval = 4 * time.Second
	// maxConfirmMembers is the largest epoch whose evidence is renewed by confirmation.
	// Every member calls every other, which makes 13.5 calls a second per VM at 28
	// members (BenchmarkOutage); at 400 members it would be 200, far above the budget
	// for control traffic.
	maxConfirmMembers = 32
	// maxConfirms bounds the concurrent calls of one confirmation.
	maxConfirms = 32
)

// epochKey is the platform key of the epoch object.
var epochKey = durable.Key{Kind: "fleet", Name: "epoch"}

// Run keeps the epoch and its evidence up to date until the context ends.
func (s *Service) Run(ctx context.Context) {
	for {
		wait := s.o.Params.MaxEvidenceAge / readsPerEvidence
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

// round reads the epoch and proposes the next one if it is this VM's turn. While the
// platform is unavailable it asks the other members to confirm the epoch instead. It
// reports whether the platform answered.
func (s *Service) round(ctx context.Context) bool {
	if err := s.read(ctx); err != nil {
		s.metrics.epochCalls.WithLabelValues("read", "failed").Inc()
		s.confirmAll(ctx)
		return false
	}
	s.metrics.epochCalls.WithLabelValues("read", "ok").Inc()
	now := time.Now()
	if !s.o.Membership.Fresh(now) {
		return true
	}
	members := s.o.Membership.Members(now)
	s.mu.Lock()
	draining, epoch := s.draining, s.table.epoch
	wanted := s.nextMembers(epoch, members, draining)
	s.roundsDiffering++
	if slices.Equal(wanted, epoch.Members) {
		s.roundsDiffering = 0
	}
	myTurn := s.roundsDiffering > s.proposalRank(epoch, members)
	s.mu.Unlock()
	if myTurn && len(wanted) > 0 {
		s.propose(ctx, wanted, s.goneFunc(now, members))
	}
	return true
}

// read fetches the epoch from the platform. A missing object is not an error.
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

// observe decodes an epoch object and applies it to the table. asked is when the read
// or write that returned it began.
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

// nextMembers returns the members that the next epoch should have: all VMs that are
// alive, and the current members except those that leave or are gone.
func (s *Service) nextMembers(epoch Epoch, members []member.Member, draining bool) []Process {
	var all []Process
	if !draining {
		all = append(all, s.table.self)
	}
	for _, m := range members {
		p := Process{ID: m.ID, Incarnation: m.Incarnation}
		stays := slices.Contains(epoch.Members, p) && m.State != member.Left && (m.State != member.Down || m.Age < removalDelay)
		if !m.Leaving && (m.State == member.Alive || stays) {
			all = append(all, p)
		}
	}
	slices.SortFunc(all, compareProcesses)
	return all
}

// proposalRank returns the number of rounds that this VM waits for others to propose.
// Every VM could propose at once and the conditional write would admit one; the rank
// only saves writes.
func (s *Service) proposalRank(epoch Epoch, members []member.Member) int {
	ids := []string{s.table.self.ID}
	for _, m := range members {
		p := Process{ID: m.ID, Incarnation: m.Incarnation}
		if m.State == member.Alive && (epoch.Number == 0 || slices.Contains(epoch.Members, p)) {
			ids = append(ids, m.ID)
		}
	}
	return slices.Index(rendezvous.Rank("propose", ids), s.table.self.ID)
}

// goneFunc returns a predicate that reports whether a process has ended for good: it
// announced its end, a later process runs on its VM, or the VM is absent from a recent
// list and silent. A VM that is only down may be on the other side of a network
// partition.
func (s *Service) goneFunc(now time.Time, members []member.Member) func(Process) bool {
	age, read := s.o.Membership.ListAge(now)
	recent := read && age <= maxListAge
	byID := make(map[string]member.Member, len(members))
	for _, m := range members {
		byID[m.ID] = m
	}
	return func(p Process) bool {
		if p.ID == s.table.self.ID {
			// Only one process at a time can hold this VM's peer address.
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

// propose writes the next epoch with the wanted members, if this process may propose
// one.
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

// settleProposal applies the outcome of a write. This process confirms the old epoch
// again only after a write that certainly failed.
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
	s.metrics.epochCalls.WithLabelValues("write", result).Inc()
	if err != nil {
		s.o.Log.Warn().Err(err).Msg("membership epoch not written")
	}
}

// confirmAll renews the evidence during a platform outage by asking every other member
// of the epoch. A single member that can't be asked makes it fail, since that member
// might have written the next epoch.
func (s *Service) confirmAll(ctx context.Context) {
	s.mu.Lock()
	epoch, self := s.table.epoch, s.table.self
	s.mu.Unlock()
	if len(epoch.Members) > maxConfirmMembers || !slices.Contains(epoch.Members, self) {
		return
	}
	var sources []Source
	for _, p := range epoch.Members {
		if p != self {
			sources = append(sources, Source{Process: p})
		}
	}
	asked := time.Now()
	targets := s.targets(sources)
	if len(targets) == len(sources) && s.allConfirm(ctx, targets, epoch.Number) {
		s.mu.Lock()
		s.table.RecordConfirmation(asked, epoch.Number)
		s.mu.Unlock()
		s.metrics.epochCalls.WithLabelValues("confirm", "ok").Inc()
		return
	}
	s.metrics.epochCalls.WithLabelValues("confirm", "failed").Inc()
}

// allConfirm asks all targets in parallel and reports whether each of them confirmed
// the epoch.
func (s *Service) allConfirm(ctx context.Context, targets map[Process]peer.Target, number uint64) bool {
	var calls sync.WaitGroup
	semaphore := make(chan struct{}, maxConfirms)
	results := make(chan bool, len(targets))
	for p, to := range targets {
		semaphore <- struct{}{}
		calls.Go(func() {
			defer func() { <-semaphore }()
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

// selectSources returns up to n sources to try, handovers first. The order depends on
// this process and the endpoint, so that many VMs that need one endpoint don't all ask
// the same holder first.
func selectSources(sources []Source, self Process, endpoint string, n int) []Source {
	ranked := rendezvous.RankBy(self.key()+"/"+endpoint, sources, func(a Source) string {
		return a.Process.key() + "/" + slotKey{index: a.Index}.String()
	})
	slices.SortStableFunc(ranked, func(a, b Source) int { return int(b.Kind) - int(a.Kind) })
	return ranked[:min(n, len(ranked))]
}
