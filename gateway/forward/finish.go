package forward

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"goldcrestfork/policy/poison"
	"goldcrestfork/policy/trial"
)

// Metrics holds the handler's counters and histograms.
type Metrics struct {
	requests   *prometheus.CounterVec
	attempts   *prometheus.CounterVec
	latency    *prometheus.HistogramVec
	firstEvent *prometheus.HistogramVec
	weakKept   *prometheus.CounterVec
	// malformedLoad counts answers whose load header is malformed.
	malformedLoad prometheus.Counter
	memory        memoryMetrics
	admission     *prometheus.CounterVec
}

// NewMetrics creates the handler's metrics and registers them with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 14)
	m := &Metrics{
		memory: newMemoryMetrics(r),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "goldcrest_forward_requests_total",
			Help: "Callers' requests, by kind and outcome.",
		}, []string{"kind", "outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "goldcrest_forward_attempts_total",
			Help: "Attempts at endpoints, by result.",
		}, []string{"result"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "goldcrest_forward_seconds", Help: "Time from a request's head to its last byte.", Buckets: buckets,
		}, []string{"kind"}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "goldcrest_forward_first_event_seconds", Help: "Time from a request's head to its answer's head.", Buckets: buckets,
		}, []string{"kind"}),
		weakKept: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "goldcrest_forward_weak_kept_total",
			Help: "Weak answers of managed services that were passed on, by reason.",
		}, []string{"reason"}),
		malformedLoad: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "goldcrest_forward_malformed_load_total",
			Help: "Answers of endpoints whose load header is malformed and was ignored.",
		}),
	}
	m.admission = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "goldcrest_forward_admission_total",
		Help: "Requests of managed services, by service, priority and whether they were admitted or refused for the load.",
	}, []string{"service", "priority", "result"})
	r.MustRegister(m.requests, m.attempts, m.latency, m.firstEvent, m.weakKept, m.malformedLoad, m.admission)
	return m
}

// finish releases the session's version, writes the request's single log line and counts the
// request.
func (c *call) finish(outcome string, status int) {
	took := time.Since(c.start)
	c.returnGrant()
	versions := versionsRun(c.attemptRecords)
	if c.pin != nil {
		last := ""
		if len(versions) > 0 {
			last = versions[len(versions)-1]
		}
		c.pin.End(last)
	}
	kind := "none"
	if c.route != nil {
		kind = c.route.Kind.String()
	}
	c.h.cfg.Metrics.requests.WithLabelValues(kind, outcome).Inc()
	c.h.cfg.Metrics.latency.WithLabelValues(kind).Observe(took.Seconds())
	e := c.h.cfg.Log.Info().Str("request", c.id).Str("outcome", outcome).Int("status", status).Dur("took_ms", took)
	if c.conf != nil {
		e = e.Int64("config", c.conf.Version).Dur("config_age_ms", c.configAge)
	}
	if c.route != nil {
		e = e.Str("route", c.route.Name).Str("account", c.accountName()).Str("service", c.service).
			Dur("wait_ms", c.timeout).Str("ran", string(c.ran))
	}
	if c.forwardedBy != "" {
		e = e.Str("forwarded_by", c.forwardedBy)
	}
	if c.detail != "" {
		e = e.Str("detail", c.detail)
	}
	if len(c.attemptRecords) > 0 {
		sent, _ := formatTimes(c.attemptRecords, attemptRecord.sent)
		ended, _ := formatTimes(c.attemptRecords, attemptRecord.ended)
		e = e.Str("attempts", formatAttempts(c.attemptRecords)).Str("sent_ms", sent).Str("ended_ms", ended).
			Str("answer_ms", formatAnswers(c.attemptRecords, c.start))
		if asked, ok := formatTimes(c.attemptRecords, attemptRecord.asked); ok {
			e = e.Str("asked_ms", asked)
		}
		if len(c.attemptRecords) > 1 {
			e = e.Str("conns", formatConns(c.attemptRecords))
		}
	}
	if len(c.repeatNotes) > 0 {
		e = e.Str("repeats", strings.Join(c.repeatNotes, " "))
	}
	if c.fingerprint != 0 {
		e = e.Str("fingerprint", poison.Fingerprint(c.fingerprint).String())
	}
	if parts := c.prompt.sharedParts; len(parts) > 0 {
		e = e.Str("parts", poison.Join(parts))
	}
	if len(c.limitNotes) > 0 {
		e = e.Str("limits", formatLimitNotes(c.limitNotes))
	}
	if id := c.session(); id != "" && c.service != "" {
		e = e.Str("session", trial.HashSession(c.service, id).String()).Str("versions", strings.Join(versions, " ")).
			Str("version_reason", c.rationale.Reason).Dur("roll_out_age_ms", c.rationale.RollOutAge).Str("session_keeper", c.rationale.Keeper).Dur("session_age_ms", c.rationale.SessionAge)
	}
	e.Msg("request")
}

// formatAttempts formats attempts as "endpoint/model=result(note)", separated by spaces.
func formatAttempts(attempts []attemptRecord) string {
	var b strings.Builder
	for i, s := range attempts {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(s.endpoint)
		if s.model != "" {
			b.WriteString("/" + s.model)
		}
		b.WriteString("=" + s.result)
		if s.sizingNote != "" {
			b.WriteString("(" + s.sizingNote + ")")
		}
	}
	return b.String()
}

// formatConns formats the number of each attempt's connection, separated by spaces; "-" for an attempt without one.
func formatConns(attempts []attemptRecord) string {
	out := make([]string, len(attempts))
	for i, s := range attempts {
		out[i] = "-"
		if s.conn > 0 {
			out[i] = strconv.FormatInt(s.conn, 10)
		}
	}
	return strings.Join(out, " ")
}

// formatTimes formats a time of each attempt, in ms since the request's start, separated by spaces; "-" for an attempt without it.
// known is false if no attempt has it.
func formatTimes(attempts []attemptRecord, timeOf func(attemptRecord) (at time.Duration, ok bool)) (text string, known bool) {
	out := make([]string, len(attempts))
	for i, s := range attempts {
		out[i] = "-"
		if at, ok := timeOf(s); ok {
			out[i], known = strconv.FormatInt(at.Milliseconds(), 10), true
		}
	}
	return strings.Join(out, " "), known
}

func (s attemptRecord) sent() (time.Duration, bool)  { return s.sentAt, true }
func (s attemptRecord) ended() (time.Duration, bool) { return s.endedAt, true }

// asked returns when the endpoint was asked to stop; ok is false if it wasn't.
func (s attemptRecord) asked() (at time.Duration, ok bool) { return s.askedAt, s.askedAt > 0 }

// formatAnswers formats when the head of each attempt's answer arrived, in ms since the request's
// start, and for a stream its events and when the last of them arrived: "31 47+24@1870". An attempt
// without a head is "-".
func formatAnswers(attempts []attemptRecord, start time.Time) string {
	out := make([]string, len(attempts))
	for i, s := range attempts {
		switch a := s.answer; {
		case a.head.IsZero():
			out[i] = "-"
		case a.events == 0:
			out[i] = strconv.FormatInt(a.head.Sub(start).Milliseconds(), 10)
		default:
			out[i] = fmt.Sprintf("%d+%d@%d", a.head.Sub(start).Milliseconds(), a.events, a.last.Sub(start).Milliseconds())
		}
	}
	return strings.Join(out, " ")
}

// versionsRun lists the versions that ran or may have run a request, in order and without
// consecutive duplicates. The versions of attempts through other VMs are not known here.
func versionsRun(attempts []attemptRecord) (out []string) {
	for _, s := range attempts {
		if s.version != "" && mayHaveRun(s.result) && (len(out) == 0 || out[len(out)-1] != s.version) {
			out = append(out, s.version)
		}
	}
	return out
}

// mayHaveRun reports whether an attempt with this result ran or may have run.
func mayHaveRun(result string) bool {
	switch result {
	case "full", "misdirected", "unreached", "caller-left":
		return false
	}
	return true
}
