package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"goldcrestfork/fleet/tally"
	"goldcrestfork/policy/admission"
)

// demand is this VM's part of the admission for the whole fleet.
type demand struct {
	n      *Node
	mu     sync.Mutex
	gates  map[string]*admission.Gate // by managed service
	active *prometheus.GaugeVec
}

// newDemand registers the part for the topic demand.
func newDemand(n *Node) *demand {
	d := &demand{
		n: n, gates: make(map[string]*admission.Gate),
		active: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "goldcrest_admission_active", Help: "1 while requests of the service are refused for its load.",
		}, []string{"service"}),
	}
	n.registry.MustRegister(d.active)
	n.addSums(topicDemand, d.collect, d.apply)
	return d
}

// gate returns the gate of a service, nil if the service isn't managed.
func (d *demand) gate(service string) *admission.Gate {
	d.mu.Lock()
	g := d.gates[service]
	d.mu.Unlock()
	if g != nil || !d.n.table.Managed(service) {
		return g // a managed service stays so
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.gates[service] == nil {
		d.gates[service] = admission.NewGate(service, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	}
	return d.gates[service]
}

// all returns the gates by service.
func (d *demand) all() map[string]*admission.Gate {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]*admission.Gate, len(d.gates))
	for service, g := range d.gates {
		out[service] = g
	}
	return out
}

// collect returns this VM's figures of all managed services, nil if there are none. The list is empty, and
// asks for the totals, if they have no requests now.
func (d *demand) collect() (out []tally.Sum) {
	now := time.Now()
	for _, g := range d.all() {
		if out == nil {
			out = []tally.Sum{}
		}
		for _, f := range g.Figures(now) {
			out = append(out, tally.Sum{Key: f.Key, A: float32(f.A), B: float32(f.B)})
		}
	}
	return out
}

// apply passes the totals over the fleet to the gates, which decide by them.
func (d *demand) apply(list []tally.Sum) {
	now := time.Now()
	figures := make([]admission.Figure, len(list))
	for i, s := range list {
		figures[i] = admission.Figure{Key: s.Key, A: float64(s.A), B: float64(s.B)}
	}
	for service, g := range d.all() {
		g.ApplyTotals(now, figures)
		d.evaluate(now, service, g)
	}
}

// tick decides again between and without totals: endpoints change, and totals expire.
func (d *demand) tick() {
	now := time.Now()
	for service, g := range d.all() {
		d.evaluate(now, service, g)
	}
}

func (d *demand) evaluate(now time.Time, service string, g *admission.Gate) {
	vms := max(len(d.n.sharingVMs()), 1)
	capacity := admission.Capacity{Slots: d.n.table.UsableSlots(now, service), VMs: vms}
	if d.n.view != nil {
		if conf := d.n.view.Config(); conf != nil {
			capacity.Target = conf.Standing(service, 0).ShortestTarget
		}
	}
	r, changed := g.Evaluate(now, capacity)
	active := 0.0
	if r.Active {
		active = 1
	}
	d.active.WithLabelValues(service).Set(active)
	if changed {
		d.n.log.Info().Str("service", service).Bool("active", r.Active).Float64("capacity", r.Capacity).Float64("trim", r.Trim).Float64("demand", r.Demand).
			Float64("under_way", r.UnderWay).Float64("rejections", r.Rejections).Bool("own_figures_only", r.OwnOnly).Int("vms", vms).Msg("admission")
	}
}

// reports returns the last decisions for the state dump.
func (d *demand) reports() map[string]admission.Report {
	out := make(map[string]admission.Report)
	for service, g := range d.all() {
		out[service] = g.Report()
	}
	return out
}
