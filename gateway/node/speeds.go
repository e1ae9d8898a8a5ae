package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"goldcrestfork/fleet/tally"
	"goldcrestfork/policy/placement"
	"goldcrestfork/policy/speed"
)

// newSlowEndpoints returns the metric of slow endpoints. It has a value for managed services only.
func newSlowEndpoints(r prometheus.Registerer) *prometheus.GaugeVec {
	g := prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "goldcrest_slow_endpoints",
		Help: "Endpoints at which work takes more than twice the usual time of their service.",
	}, []string{"service"})
	r.MustRegister(g)
	return g
}

// collectPaces returns what this VM's answers say of the endpoints' speed, nil if no service is managed.
func (n *Node) collectPaces() []tally.Sum {
	paces := n.table.Paces(time.Now())
	if paces == nil {
		return nil
	}
	out := make([]tally.Sum, 0, len(paces))
	for _, p := range paces {
		out = append(out, tally.Sum{Key: p.Endpoint, A: float32(p.Log), B: float32(p.Weight)})
	}
	return out
}

// applyPaces applies what the answers of all VMs say of the endpoints' speed.
func (n *Node) applyPaces(totals []tally.Sum) {
	list := make([]placement.Pace, 0, len(totals))
	for _, s := range totals {
		list = append(list, placement.Pace{Endpoint: s.Key, Sums: speed.Sums{Log: float64(s.A), Weight: float64(s.B)}})
	}
	n.table.SetPaces(time.Now(), list)
}

// reportSlowEndpoints updates the metric and logs the endpoints that turned slow or recovered.
func (n *Node) reportSlowEndpoints() {
	slow, changed := n.table.SlowEndpoints(time.Now())
	for service, count := range slow {
		n.slowEndpoints.WithLabelValues(service).Set(float64(count))
	}
	for _, c := range changed {
		message := "endpoint has recovered its speed"
		if c.Slow {
			message = "endpoint is slow"
		}
		n.log.Info().Str("endpoint", c.ID).Float64("factor", c.Factor).Msg(message)
	}
}
