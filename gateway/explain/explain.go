package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"goldcrestfork/router/refusal"
)

// ContextWindow is how far before a request's end the VM's other lines are listed. A request
// lasts some seconds, and most of what decided its result was logged within them.
const ContextWindow = 10 * time.Second

// maxLineBytes bounds the size of a log line; a state change of a large fleet is some KB.
const maxLineBytes = 1 << 20

// Line is one log line of a VM.
type Line struct {
	VM       string    `json:"vm"`
	Time     time.Time `json:"time"`
	Message  string    `json:"message"`
	Level    string    `json:"level"`
	Request  string    `json:"request"`
	Outcome  string    `json:"outcome"`
	Status   int       `json:"status"`
	Took     int64     `json:"took_ms"`
	Wait     int64     `json:"wait_ms"`
	Config   int64     `json:"config"`
	Age      int64     `json:"config_age_ms"`
	Route    string    `json:"route"`
	Account  string    `json:"account"`
	Service  string    `json:"service"`
	Ran      string    `json:"ran"`
	Attempts string    `json:"attempts"`
	Endpoint string    `json:"endpoint"`
	// Session identifies a session; Versions are the versions that ran the request, in order,
	// separated by spaces.
	Session    string `json:"session"`
	Versions   string `json:"versions"`
	Reason     string `json:"version_reason"`
	RollOutAge int64  `json:"roll_out_age_ms"`
	Keeper     string `json:"session_keeper"`
	SessionAge int64  `json:"session_age_ms"`

	// raw is the JSON of the line.
	raw string
}

// Log holds the log lines of some VMs.
type Log struct {
	Lines []Line
	// Unreadable counts the lines that are no log line of a VM.
	Unreadable int
}

// Read adds the lines of a log. Text before a line's first brace is skipped, such as a log
// collector's own time and source.
func (l *Log) Read(r io.Reader) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		text := sc.Bytes()
		at := bytes.IndexByte(text, '{')
		var line Line
		if at < 0 || json.Unmarshal(text[at:], &line) != nil {
			l.Unreadable++
			continue
		}
		line.raw = string(text[at:])
		l.Lines = append(l.Lines, line)
	}
	return sc.Err()
}

// outcomeTexts describes each outcome of a request.
var outcomeTexts = map[string]string{
	"answered":                       "the endpoint's own answer was passed on whole",
	"caller-left":                    "the caller's connection ended first",
	"not resumed":                    "the stream broke off and no attempt was left, or no endpoint could go on with it; the caller's connection was cut",
	"not resumable":                  "the stream broke off and its route allows no other endpoint to go on",
	string(refusal.Overloaded):       "refused without having run: no endpoint could take it",
	string(refusal.OutcomeUnknown):   "an endpoint may have run it and it may not be repeated",
	string(refusal.EndpointFailed):   "the attempts that the route allows failed",
	string(refusal.Stale):            "refused: the last confirmation of the configuration as the newest was too old to trust a key, a missing path or a missing key",
	string(refusal.NotReady):         "refused: the VM knew no configuration yet",
	string(refusal.Draining):         "refused: the VM was stopping and the stream would have outlived it",
	string(refusal.DeadlineTooShort): "the caller's time or the route's timeout was over",
	string(refusal.NoSuchPath):       "no route has this host and path",
	string(refusal.Unauthorized):     "no account has this key",
	string(refusal.Quarantined):      "refused: requests like it crashed the endpoints that ran them",
	string(refusal.BodyTooLarge):     "the body is over the configuration's limit",
	string(refusal.BadRequest):       "the request can't be read",
}

// resultTexts describes each result of an attempt.
var resultTexts = map[string]string{
	"ok": "answered whole", "weak": "answered, dropped for a larger model", "full": "refused for lack of capacity, did not run",
	"misdirected": "another incarnation of the endpoint is at its address, did not run", "unreached": "took no connection",
	"broken": "its connection broke after the request was sent", "cut": "its answer broke off", "unsound": "answered with what is not its answer to this request",
	"error": "answered with an error", "rejected": "rejected the request itself", "ended": "was still running when the caller left or the time was over",
}

// Write explains the request with the given id and reports whether the log has it.
func (l *Log) Write(w io.Writer, id string) (found bool, err error) {
	b := new(bytes.Buffer)
	for _, line := range l.Lines {
		if line.Request != id || line.Outcome == "" {
			continue
		}
		found = true
		line.write(b)
		l.writeContext(b, line)
	}
	if !found {
		fmt.Fprintf(b, "No line of request %s: it did not reach these VMs, or its caller left before its head was read.\n", id)
	}
	_, err = w.Write(b.Bytes())
	return found, err
}

func (r Line) write(b *bytes.Buffer) {
	fmt.Fprintf(b, "%s  %s  status %d, outcome %s after %d ms of %d\n", r.Time.Format(time.RFC3339), r.VM, r.Status, r.Outcome, r.Took, r.Wait)
	if text := outcomeTexts[r.Outcome]; text != "" {
		fmt.Fprintf(b, "  %s\n", text)
	}
	if r.Route != "" {
		fmt.Fprintf(b, "  route %s, service %s, account %q, run: %s\n", r.Route, r.Service, r.Account, r.Ran)
	}
	if r.Config != 0 {
		fmt.Fprintf(b, "  decided by configuration %d, shown to be the newest %d ms before\n", r.Config, r.Age)
	}
	if r.Session != "" {
		fmt.Fprintf(b, "  session %s ran on %q: %s\n", r.Session, r.Versions, r.Reason)
	}
	for _, a := range r.attempts() {
		fmt.Fprintf(b, "  attempt at %s: %s\n", a.where, a.text())
	}
}

// attempt is one attempt at an endpoint.
type attempt struct{ where, endpoint, result string }

func (a attempt) text() string {
	name, _, _ := strings.Cut(a.result, "(")
	if t := resultTexts[name]; t != "" {
		return a.result + ", " + t
	}
	return a.result
}

// attempts parses the list of "endpoint/model=result" in Attempts.
func (r Line) attempts() (out []attempt) {
	for f := range strings.FieldsSeq(r.Attempts) {
		where, result, ok := strings.Cut(f, "=")
		if !ok {
			continue
		}
		endpoint, model, sized := strings.Cut(where, "/")
		a := attempt{where: endpoint, endpoint: endpoint, result: result}
		if sized {
			a.where = endpoint + " with model " + model
		}
		out = append(out, a)
	}
	return out
}

// writeContext lists the VM's lines shortly before the request's end: all lines that are not
// about a request, and of the lines about endpoints only those that the request was sent to.
func (l *Log) writeContext(b *bytes.Buffer, r Line) {
	at := r.attempts()
	for _, line := range l.Lines {
		if line.VM != r.VM || line.Request != "" || line.Time.After(r.Time) || r.Time.Sub(line.Time) > ContextWindow {
			continue
		}
		if line.Endpoint != "" && !slices.ContainsFunc(at, func(a attempt) bool { return a.endpoint == line.Endpoint }) {
			continue
		}
		fmt.Fprintf(b, "  before: %s\n", line.raw)
	}
}
