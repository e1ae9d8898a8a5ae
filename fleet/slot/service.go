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
	// callTimeout bounds one peer call. Half of the time a borrowed grant has to
	// start: a slower answer would be too late to be used.
	callTimeout = 500 * time.Millisecond
	// maxAsks bounds the peers asked for one request; beyond it the request waits
	// its turn in the router's queue, which is cheaper than asking everyone.
	maxAsks = 3
)

// Link is the part of peer.Link that slots use.
type Link interface {
	Register(method string, h peer.Handler)
	Call(ctx context.Context, t peer.Target, method string, body []byte) ([]byte, error)
}

// Store is the part of durable.Store that epochs use.
type Store interface {
	Get(ctx context.Context, key durable.Key) (durable.Object, error)
	Put(ctx context.Context, key durable.Key, value []byte, ifVersion int64) (durable.Object, error)
}

// Membership is the part of member.Service that epochs follow.
type Membership interface {
	Self() member.Digest
	Members(now time.Time) []member.Member
	Fresh(now time.Time) bool
	ListAge(now time.Time) (time.Duration, bool)
}

// Options are the service's parts.
type Options struct {
	Params     Params
	Store      Store
	Link       Link
	Membership Membership
	// Limit is what an endpoint bears cold by this VM's configuration, so that a
	// borrower with an older one doesn't get a slot that is gone; nil trusts the borrower.
	Limit func(endpoint string) int
	// Registerer takes the metrics; nil registers none.
	Registerer prometheus.Registerer
	Log        zerolog.Logger
}

// Service runs a Table for one process.
type Service struct {
	o       Options
	metrics *metrics
	tasks   sync.WaitGroup

	mu       sync.Mutex
	table    *Table
	draining bool
	// asking: a handover for another is under way.
	asking bool
	// differs is the number of rounds that the epoch has not been as this VM would have it.
	differs int
}

// NewService registers the peer methods. The process is what the membership says at this time.
func NewService(o Options) *Service {
	self := o.Membership.Self()
	s := &Service{
		o:       o,
		metrics: newMetrics(o.Registerer),
		table:   NewTable(Process{ID: self.ID, Incarnation: self.Incarnation}, o.Params),
	}
	handle(s, methodLend, s.lend)
	handle(s, methodReturn, s.takeBack)
	handle(s, methodHandOver, s.handOver)
	handle(s, methodConfirm, s.confirm)
	return s
}

// handle registers a method that answers a checked request with yes or no.
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

// lend, takeBack, handOver and confirm run under s.mu.
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

func (s *Service) takeBack(from string, r returnRequest) bool {
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
	before, ok := s.table.HandOverNeeds(now, r.Endpoint, r.Index, r.Epoch)
	if ok && !s.asking {
		// One at a time is enough: whoever wants the slot asks again.
		s.asking = true
		s.tasks.Go(func() { s.askBefore(r.Endpoint, before) })
	}
	return false
}

// askBefore has a slot handed over that this process no longer holds, so that it can hand it on.
func (s *Service) askBefore(endpoint string, a Ask) {
	yes := false
	if to, known := s.targets([]Ask{a})[a.Process]; known {
		yes = s.call(context.Background(), to, methodHandOver, handOverRequest{Endpoint: endpoint, Index: a.Index, Epoch: a.Epoch})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asking = false
	if yes {
		s.table.HandedOver(endpoint, a.Index, a.Epoch)
	}
}

func (s *Service) confirm(_ string, r confirmRequest) bool {
	return s.table.Confirm(r.Member, r.Number)
}

// Acquire gets a slot for one request: an own one, one handed over, or one
// borrowed. Without, it gives the VMs that hold the endpoint's slots, to forward
// the request to.
func (s *Service) Acquire(ctx context.Context, endpoint string, limit int) (Grant, bool, []peer.Target) {
	g, ok, asks := s.own(endpoint, limit)
	if ok {
		s.metrics.acquired.WithLabelValues("own").Inc()
		return g, true, nil
	}
	targets := s.targets(asks)
	for _, a := range sample(asks, s.table.self, endpoint, maxAsks) {
		to, known := targets[a.Process]
		if !known {
			continue
		}
		if g, ok := s.ask(ctx, to, endpoint, limit, a); ok {
			return g, true, nil
		}
	}
	s.metrics.acquired.WithLabelValues("none").Inc()
	var forward []peer.Target
	for _, a := range asks {
		if to, known := targets[a.Process]; known && a.Kind == Borrow {
			forward = append(forward, to)
		}
	}
	return Grant{}, false, forward
}

func (s *Service) own(endpoint string, limit int) (Grant, bool, []Ask) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Acquire(time.Now(), endpoint, limit)
}

func (s *Service) ask(ctx context.Context, to peer.Target, endpoint string, limit int, a Ask) (Grant, bool) {
	if a.Kind == Borrow {
		return s.borrow(ctx, to, endpoint, limit, a.Process)
	}
	if !s.call(ctx, to, methodHandOver, handOverRequest{Endpoint: endpoint, Index: a.Index, Epoch: a.Epoch}) {
		return Grant{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.HandedOver(endpoint, a.Index, a.Epoch)
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
	g, ok := s.table.Borrowed(time.Now(), asked, endpoint, lender, id)
	s.mu.Unlock()
	if lent && ok {
		s.metrics.acquired.WithLabelValues("borrowed").Inc()
		return g, true
	}
	// The yes may have got lost or come too late; without a return the slot would
	// stand idle until the loan's time is over.
	s.Release(g)
	return Grant{}, false
}

// call is true only for a yes that came.
func (s *Service) call(ctx context.Context, to peer.Target, method string, request any) bool {
	body, err := cbor.Marshal(request)
	if err != nil {
		panic("slot: own message does not encode: " + err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := s.o.Link.Call(ctx, to, method, body)
	return err == nil && isYes(reply)
}

// Release gives a slot back after the request has ended at the endpoint, or was
// never sent. A borrowed one is returned in the background; if that gets lost, the
// lender's own bound frees it.
func (s *Service) Release(g Grant) {
	if g.Loan.Number == 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.table.Release(g.ID)
		return
	}
	targets := s.targets([]Ask{{Process: g.Lender}})
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

// Close waits for returns on their way; no Release may follow it.
func (s *Service) Close() { s.tasks.Wait() }

// targets finds the peers' addresses.
func (s *Service) targets(asks []Ask) map[Process]peer.Target {
	found := make(map[Process]peer.Target, len(asks))
	if len(asks) == 0 {
		return found
	}
	for _, m := range s.o.Membership.Members(time.Now()) {
		p := Process{ID: m.ID, Incarnation: m.Incarnation}
		if m.State == member.Down || m.State == member.Left {
			continue
		}
		for _, a := range asks {
			if a.Process == p {
				found[p] = peer.Target{ID: m.ID, Address: m.Address}
			}
		}
	}
	return found
}

// Drain takes this process out of the next epoch, so that its slots are handed over while it can still say so.
func (s *Service) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Epoch is the number of the newest epoch known, for the heartbeats.
func (s *Service) Epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.epoch.Number
}

// Dump is Table.Dump.
func (s *Service) Dump(now time.Time) Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Dump(now)
}
