package config

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts what caches and editors do on one VM.
type Metrics struct {
	// Revision is goldcrest_config_revision: the revision in force.
	Revision prometheus.Gauge
	// Published is goldcrest_config_published_total: revisions put in force.
	Published prometheus.Counter
	// Stale is goldcrest_config_stale_total: configurations passed over because they were not newer.
	Stale prometheus.Counter
	// Reverted is goldcrest_config_reverted_total: lists that showed an older root than the one in force.
	Reverted prometheus.Counter
	// Undecodable is goldcrest_config_undecodable_total: values that were no configuration.
	Undecodable prometheus.Counter
	// Misfits is goldcrest_config_misfits_total: deltas that did not lead to the sender's configuration.
	Misfits prometheus.Counter
	// StoreErrors is goldcrest_config_store_errors_total: failed calls to the platform.
	StoreErrors prometheus.Counter
	// Relists is goldcrest_config_relists_total: gaps in the watch closed by a list.
	Relists prometheus.Counter
	// StoreCalls is goldcrest_config_store_calls_total by call: list, watch.
	StoreCalls *prometheus.CounterVec
	// Fetches is goldcrest_config_fetches_total by outcome: answered, failed.
	Fetches *prometheus.CounterVec
	// Questions is goldcrest_config_questions_total by outcome: answered, failed.
	Questions *prometheus.CounterVec
	// Notices is goldcrest_config_notices_total by outcome: told, failed.
	Notices *prometheus.CounterVec
	// FetchedBytes is goldcrest_config_fetched_bytes_total: configuration taken from peers.
	FetchedBytes prometheus.Counter
	// Verdicts is goldcrest_config_verdict_changes_total by the verdict entered: starting, fresh, store down, cut.
	Verdicts *prometheus.CounterVec
	// ModeChanges is goldcrest_config_mode_changes_total by the mode entered.
	ModeChanges *prometheus.CounterVec
}

// NewMetrics makes the metrics and registers them; a nil registerer leaves them unregistered.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Revision:     prometheus.NewGauge(prometheus.GaugeOpts{Name: "goldcrest_config_revision", Help: "Configuration revision in force on this VM."}),
		Published:    counter("published_total", "Revisions put in force."),
		Stale:        counter("stale_total", "Configurations passed over because they were not newer."),
		Reverted:     counter("reverted_total", "Lists that showed an older root than the one in force."),
		Undecodable:  counter("undecodable_total", "Values that were no configuration."),
		Misfits:      counter("misfits_total", "Deltas that did not lead to the sender's configuration."),
		StoreErrors:  counter("store_errors_total", "Failed calls to the platform."),
		Relists:      counter("relists_total", "Gaps in the watch closed by a list."),
		StoreCalls:   counters("store_calls_total", "Calls to the platform.", "call"),
		Fetches:      counters("fetches_total", "Fetches from peers.", "outcome"),
		Questions:    counters("questions_total", "Questions to other VMs for their evidence.", "outcome"),
		Notices:      counters("notices_total", "Notices of a new revision to other VMs.", "outcome"),
		FetchedBytes: counter("fetched_bytes_total", "Bytes of configuration taken from peers."),
		Verdicts:     counters("verdict_changes_total", "Changes of the verdict on staleness.", "verdict"),
		ModeChanges:  counters("mode_changes_total", "Changes of the source of configuration.", "mode"),
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
