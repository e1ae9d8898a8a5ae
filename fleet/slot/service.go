package slot

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"goldcrestfork/durable"
	"goldcrestfork/fleet/member"
	"goldcrestfork/fleet/peer"
)

const (
	// callTimeout bounds one peer call. It is half of the time that a borrowed grant
	// has to begin sending: a slower answer would come too late.
	callTimeout = 500 * time.Millisecond
	// maxSources bounds the peers asked for one request. Beyond it the request waits in
	// the router's queue, which is cheaper than asking every peer.
	maxSources = 3
)

// Link is the part of peer.Link that the service uses.
type Link interface {
	Register(method string, h peer.Handler)
	Call(ctx context.Context, t peer.Target, method string, body []byte) ([]byte, error)
}

// Store is the part of durable.Store that the service uses.
type Store interface {
	Get(ctx context.Context, key durable.Key) (durable.Object, error)
	Put(ctx context.Context, key durable.Key, value []byte, ifVersion int64) (durable.Object, error)
}

// Membership is the part of member.Service that the service uses.
type Membership interface {
	Self() member.Digest
	Members(now time.Time) []member.Member
	Fresh(now time.Time) bool
	ListAge(now time.Time) (time.Duration, bool)
}

// Options configure a Service.
type Options struct {
	Params     Params
	Store      Store
	Link       Link
	Membership Membership
	// Limit returns an endpoint's cold limit in this VM's configuration. A lender
	// applies it, so that a borrower with an older configuration doesn't get a slot
	// that no longer exists. If nil, the borrower's limit is trusted.
	Limit func(endpoint string) int
	// Registerer registers the metrics; nil registers none.
	Registerer prometheus.Registerer
	Log        zerolog.Logger
}

// Service runs a Table for one process: it follows the epoch, answers peers and
// requests slots from them.
type Service struct {
	o       Options
	metrics *metrics
	tasks   sync.WaitGroup

	mu       sync.Mutex
	table    *Table
	draining bool
	// handOverPending is true while a handover requested on behalf of a peer is under
	// way.
	handOverPending bool
	// roundsDiffering is the number of consecutive rounds in which the epoch's members
	// differ from those that this VM would propose.
	roundsDiffering int
}

// NewService creates the service and registers its peer methods. It takes the process
// identity from the membership at the time of the call.
func NewService(o Options) *Service {
	self := o.Membership.Self()
	s := &Service{
		o:       o,
		metrics: newMetrics(o.Registerer),
		table:   NewTable(Process{ID: self.ID, Incarnation: self.Incarnation}, o.Params),
	}
	handle(s, methodLend, s.lend)
	handle(s, methodReturn, s.acceptReturn)
	handle(s, methodHandOver, s.handOver)
	handle(s, methodConfirm, s.confirm)
	return s
}

// handle registers a method that answers a validated request with yes or no. h runs
// under s.mu.
func handle[T interface{ check() error }](s *Service, method string, h func(from string, r T) bool) {
	s.o.Link.Register(method, func(_ context.Context, from string, body []byte) ([]byte, error) {
		r, err := decode[T](body)
		if err != nil {
			s.metrics.malformed.Inc()
			return nil, err
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		return answer(h(from, r)), nil
	})
}

// lend, acceptReturn, handOver and confirm run under s.mu.
func (s *Service) lend(from string, r lendRequest) bool {
	if r.Loan.Borrower.ID != from {
		return false
	}
	limit := r.Limit
	if s.o.Limit != nil {
		limit = min(limit, s.o.Limit(r.Endpoint))
	}
	return s.table.Lend(time.Now(), r.Endpoint, limit, r.Loan)
}

func (s *Service) acceptReturn(from string, r returnRequest) bool {
	if r.Loan.Borrower.ID == from {
		s.table.Return(r.Loan)
	}
	return true
}

func (s *Service) handOver(_ string, r handOverRequest) bool {
	now := time.Now()
	if s.table.HandOver(now, r.Endpoint, r.Index, r.Epoch) {
		return true
	}
	before, ok := s.table.PriorHandOver(now, r.Endpoint, r.Index, r.Epoch)
	if ok && !s.handOverPending {
		// One handover at a time suffices: a peer that still needs the slot asks again.
		s.handOverPending = true
		s.tasks.Go(func() { s.requestPriorHandOver(r.Endpoint, before) })
	}
	return false
}

// requestPriorHandOver requests the handover of a slot that this process gained and has
// already lost again, so that it can hand the slot on to the next holder.
func (s *Service) requestPriorHandOver(endpoint string, a Source) {
	yes := false
	if to, known := s.targets([]Source{a})[a.Process]; known {
		yes = s.call(context.Background(), to, methodHandOver, handOverRequest{Endpoint: endpoint, Index: a.Index, Epoch: a.Epoch})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handOverPending = false
	if yes {
		s.table.RecordHandOver(endpoint, a.Index, a.Epoch)
	}
}

func (s *Service) confirm(_ string, r confirmRequest) bool {
	return s.table.Confirm(r.Member, r.Number)
}

// Acquire obtains a slot for one request: an own slot, one handed over, or one
// borrowed. If none is available it returns the VMs that hold the endpoint's slots, as
// targets to forward the request to.
func (s *Service) Acquire(ctx context.Context, endpoint string, limit int) (Grant, bool, []peer.Target) {
	g, ok, sources := s.acquireOwn(endpoint, limit)
	if ok {
		s.metrics.acquired.WithLabelValues("own").Inc()
		return g, true, nil
	}
	targets := s.targets(sources)
	for _, a := range selectSources(sources, s.table.self, endpoint, maxSources) {
		to, known := targets[a.Process]
		if !known {
			continue
		}
		if g, ok := s.acquireFrom(ctx, to, endpoint, limit, a); ok {
			return g, true, nil
		}
	}
	s.metrics.acquired.WithLabelValues("none").Inc()
	var forward []peer.Target
	for _, a := range sources {
		if to, known := targets[a.Process]; known && a.Kind == Borrow {
			forward = append(forward, to)
		}
	}
	return Grant{}, false, forward
}

func (s *Service) acquireOwn(endpoint string, limit int) (Grant, bool, []Source) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Acquire(time.Now(), endpoint, limit)
}

// acquireFrom tries to obtain a slot from one source.
func (s *Service) acquireFrom(ctx context.Context, to peer.Target, endpoint string, limit int, a Source) (Grant, bool) {
	if a.Kind == Borrow {
		return s.borrow(ctx, to, endpoint, limit, a.Process)
	}
	if !s.call(ctx, to, methodHandOver, handOverRequest{Endpoint: endpoint, Index: a.Index, Epoch: a.Epoch}) {
		return Grant{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordHandOver(endpoint, a.Index, a.Epoch)
	g, ok, _ := s.table.Acquire(time.Now(), endpoint, limit)
	if ok {
		s.metrics.acquired.WithLabelValues("handed_over").Inc()
	}
	return g, ok
}

func (s *Service) borrow(ctx context.Context, to peer.Target, endpoint string, limit int, lender Process) (Grant, bool) {
	s.mu.Lock()
	id := s.table.NewLoan()
	s.mu.Unlock()
	asked := time.Now()
	lent := s.call(ctx, to, methodLend, lendRequest{Endpoint: endpoint, Limit: limit, Loan: id})
	s.mu.Lock()
	g, ok := s.table.AcceptLoan(time.Now(), asked, endpoint, lender, id)
	s.mu.Unlock()
	if lent && ok {
		s.metrics.acquired.WithLabelValues("borrowed").Inc()
		return g, true
	}
	// The reply may have been lost or come too late. Without a return the slot would
	// stay idle until the loan's time is over.
	s.Release(g)
	return Grant{}, false
}

// call sends a request to a peer and reports whether a yes arrived. Errors and timeouts
// count as no.
func (s *Service) call(ctx context.Context, to peer.Target, method string, request any) bool {
	body, err := cbor.Marshal(request)
	if err != nil {
		panic("slot: own message does not encode: " + err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := s.o.Link.Call(ctx, to, method, body)
	return err == nil && isAccepted(reply)
}

// Release frees a slot after the request has ended at the endpoint or if it was never
// sent. A borrowed slot is returned in the background; if the return is lost, the
// lender's time bound frees the slot.
func (s *Service) Release(g Grant) {
	if g.Loan.Number == 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.table.Release(g.ID)
		return
	}
	targets := s.targets([]Source{{Process: g.Lender}})
	to, ok := targets[g.Lender]
	if !ok {
		return
	}
	s.tasks.Go(func() {
		if !s.call(context.Background(), to, methodReturn, returnRequest{Loan: g.Loan}) {
			s.metrics.unreturned.Inc()
		}
	})
}

// Close waits for returns and handovers under way. Release must not be called after it.
func (s *Service) Close() { s.tasks.Wait() }

// targets returns the peer targets of the sources whose processes are neither down nor
// left.
func (s *Service) targets(sources []Source) map[Process]peer.Target {
	found := make(map[Process]peer.Target, len(sources))
	if len(sources) == 0 {
		return found
	}
	for _, m := range s.o.Membership.Members(time.Now()) {
		p := Process{ID: m.ID, Incarnation: m.Incarnation}
		if m.State == member.Down || m.State == member.Left {
			continue
		}
		for _, a := range sources {
			if a.Process == p {
				found[p] = peer.Target{ID: m.ID, Address: m.Address}
			}
		}
	}
	return found
}

// Drain removes this process from the next epoch, so that its slots are handed over
// while it still answers peers.
func (s *Service) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Epoch returns the number of the newest epoch known, for the heartbeats.
func (s *Service) Epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.epoch.Number
}

// Dump returns Table.Dump.
func (s *Service) Dump(now time.Time) Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Dump(now)
}
