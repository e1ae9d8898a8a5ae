package lease

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/qmuntal/stateless"
)

// The states of a lease on this VM and the triggers that change them.
const (
	stateWaiting = "waiting"
	stateHeld    = "held"

	triggerTaken    = "taken"
	triggerLost     = "lost"
	triggerExpired  = "lapsed"
	triggerReleased = "given up"
)

func newMachine(changed func(cause, to string)) *stateless.StateMachine {
	m := stateless.NewStateMachine(stateWaiting)
	m.Configure(stateWaiting).
		Permit(triggerTaken, stateHeld).
		Ignore(triggerLost).Ignore(triggerExpired).Ignore(triggerReleased)
	m.Configure(stateHeld).
		Ignore(triggerTaken).
		Permit(triggerLost, stateWaiting).
		Permit(triggerExpired, stateWaiting).
		Permit(triggerReleased, stateWaiting)
	m.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		changed(t.Trigger.(string), t.Destination.(string))
	})
	return m
}

type metrics struct {
	changes *prometheus.CounterVec
	held    prometheus.Gauge
}

func newMetrics(name string, reg prometheus.Registerer) metrics {
	labels := prometheus.Labels{"lease": name}
	m := metrics{
		// goldcrest_lease_changes_total counts state changes by their cause.
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "goldcrest_lease_changes_total", Help: "Changes of a lease's state on this VM, by cause.", ConstLabels: labels,
		}, []string{"cause"}),
		held: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "goldcrest_lease_held", Help: "1 while this VM holds the lease.", ConstLabels: labels,
		}),
	}
	reg.MustRegister(m.changes, m.held)
	return m
}
