package config

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the Prometheus metrics of a VM's cache.
type Metrics struct {
	// Revision is goldcrest_config_revision, the revision in force.
	Revision prometheus.Gauge
	// Published is goldcrest_config_published_total, the revisions put in force.
	Published prometheus.Counter
	// Stale is goldcrest_config_stale_total, the configurations ignored because they were not
	// newer.
	Stale prometheus.Counter
	// Reverted is goldcrest_config_reverted_total, the lists whose root was older than the one
	// in force.
	Reverted prometheus.Counter
	// Undecodable is goldcrest_config_undecodable_total, the values that could not be decoded.
	Undecodable prometheus.Counter
	// Misfits is goldcrest_config_misfits_total, the deltas that did not lead to the sender's
	// configuration.
	Misfits prometheus.Counter
	// StoreErrors is goldcrest_config_store_errors_total, the failed calls to the platform.
	StoreErrors prometheus.Counter
	// Relists is goldcrest_config_relists_total, the gaps in the watch that a list closed.
	Relists prometheus.Counter
	// StoreCalls is goldcrest_config_store_calls_total by call: list, watch.
	StoreCalls *prometheus.CounterVec
	// Fetches is goldcrest_config_fetches_total, the fetches from other VMs by outcome:
	// answered, failed.
	Fetches *prometheus.CounterVec
	// Questions is goldcrest_config_questions_total, the requests for evidence by outcome:
	// answered, failed.
	Questions *prometheus.CounterVec
	// Notices is goldcrest_config_notices_total, the notices of new revisions by outcome: told,
	// failed.
	Notices *prometheus.CounterVec
	// FetchedBytes is goldcrest_config_fetched_bytes_total, the bytes of configuration fetched
	// from other VMs.
	FetchedBytes prometheus.Counter
	// Verdicts is goldcrest_config_verdict_changes_total by the new verdict: starting, fresh,
	// store down, cut.
	Verdicts *prometheus.CounterVec
	// ModeChanges is goldcrest_config_mode_changes_total by the new mode.
	ModeChanges *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them. With a nil registerer they are not
// registered.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Revision:     prometheus.NewGauge(prometheus.GaugeOpts{Name: "goldcrest_config_revision", Help: "Configuration revision in force on this VM."}),
		Published:    counter("published_total", "Revisions put in force."),
		Stale:        counter("stale_total", "Configurations ignored because they were not newer."),
		Reverted:     counter("reverted_total", "Lists whose root was older than the one in force."),
		Undecodable:  counter("undecodable_total", "Values that could not be decoded as a configuration."),
		Misfits:      counter("misfits_total", "Deltas that did not lead to the sender's configuration."),
		StoreErrors:  counter("store_errors_total", "Failed calls to the platform."),
		Relists:      counter("relists_total", "Gaps in the watch that a list closed."),
		StoreCalls:   counters("store_calls_total", "Calls to the platform.", "call"),
		Fetches:      counters("fetches_total", "Fetches of the configuration from other VMs.", "outcome"),
		Questions:    counters("questions_total", "Requests to other VMs for their evidence.", "outcome"),
		Notices:      counters("notices_total", "Notices of a new revision to other VMs.", "outcome"),
		FetchedBytes: counter("fetched_bytes_total", "Bytes of configuration fetched from other VMs."),
		Verdicts:     counters("verdict_changes_total", "Changes of the staleness verdict.", "verdict"),
		ModeChanges:  counters("mode_changes_total", "Changes of the configuration's source.", "mode"),
	}
	if r != nil {
		r.MustRegister(m.Revision, m.Published, m.Stale, m.Reverted, m.Undecodable, m.Misfits, m.StoreErrors,
			m.Relists, m.StoreCalls, m.Fetches, m.Questions, m.Notices, m.FetchedBytes, m.Verdicts, m.ModeChanges)
	}
	return m
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: "goldcrest_config_" + name, Help: help})
}

func counters(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "goldcrest_config_" + name, Help: help}, []string{label})
}
