package config

// Kind is the kind of an operator object.
type Kind string

// The kinds of operator objects.
const (
	KindAccount    Kind = "client-account"
	KindVersion    Kind = "model-version"
	KindRollOut    Kind = "roll-out"
	KindDataCentre Kind = "data-centre"
	KindEndpoint   Kind = "endpoint"
	KindService    Kind = "service"
)

// Meta holds the fields that all objects have.
type Meta struct {
	// Name is unique within the kind: lower-case letters, digits, '-' and '.', at most 63 bytes.
	Name string `json:"name"`
	// Labels are matched by selectors.
	Labels map[string]string `json:"labels,omitempty"`
	// Revision is the configuration revision that last changed the object. The system sets it.
	Revision int64 `json:"revision,omitempty"`
}

// Selector matches an object if, for every key of the selector, the object's label has one of
// the listed values. The empty selector matches nothing, so that a missing selector grants
// nothing.
type Selector map[string][]string

// Class is the priority class of a request; a lower number is served first.
type Class int

// The priority classes.
const (
	// ClassImmediate is for requests that can't wait, such as a till lookup with a customer at
	// the counter.
	ClassImmediate Class = iota
	// ClassInteractive is for requests whose answer a person reads as it arrives.
	ClassInteractive
	// ClassDeferrable is for requests that may wait until their deadline, such as weekly
	// summaries and growth reports.
	ClassDeferrable
)

// ClientAccount is a caller's account.
type ClientAccount struct {
	Meta
	// KeyHashes are the hex SHA-256 sums of the account's API keys. There are several while a
	// key is being replaced.
	KeyHashes []string `json:"keyHashes"`
	// Weight is the account's share of a pool at capacity relative to other accounts. The
	// default is 1.
	Weight float64 `json:"weight,omitempty"`
	// Class is the class of requests that name none. A request may ask for a lower class, but
	// not for a higher one.
	Class Class `json:"class"`
	// Versions selects the model versions that the account may use.
	Versions Selector `json:"versions,omitempty"`
	// Services selects the plain services that the account may call.
	Services Selector `json:"services,omitempty"`
	// Quality is the quality target of cascades, 0 to 1; 0 uses the requested version only.
	Quality float64 `json:"quality,omitempty"`
	// SpendCap limits the cost of one request over all its cascade steps, in micro-units; 0
	// means no limit.
	SpendCap int64 `json:"spendCap,omitempty"`
}

// VersionState says whether a model version takes work.
type VersionState string

// The states of a model version.
const (
	// VersionServing means that the version takes work.
	VersionServing VersionState = "serving"
	// VersionWithdrawn means that the version gets no new work, not even in sessions.
	VersionWithdrawn VersionState = "withdrawn"
)

// ModelVersion is a version of a model.
type ModelVersion struct {
	Meta
	// Model is the name that callers request. Several versions share it.
	Model string `json:"model"`
	// State is serving or withdrawn.
	State VersionState `json:"state"`
	// Cost is the price of 1000 output tokens in micro-units.
	Cost int64 `json:"cost"`
	// Quality is the expected rating, 0 to 1. It determines the order of cascades.
	Quality float64 `json:"quality"`
	// Cascade is the name of the next better model version, to which requests escalate; empty
	// for none.
	Cascade string `json:"cascade,omitempty"`
}

// RollOutState is the state of a roll-out.
type RollOutState string

// The states of a roll-out. New work goes to both versions while it is running or paused, to
// From after a roll-back, and to To once it is done.
const (
	RollOutRunning    RollOutState = "running"
	RollOutPaused     RollOutState = "paused"
	RollOutRolledBack RollOutState = "rolled-back"
	RollOutDone       RollOutState = "done"
)

// RollOut moves a model's new sessions and requests from one version to another in steps.
type RollOut struct {
	Meta
	// Model is the model that is rolled out.
	Model string `json:"model"`
	// From and To are the names of model versions of that model.
	From string `json:"from"`
	To   string `json:"to"`
	// Steps are the shares of new work that To gets, in percent, ascending; the last is 100.
	Steps []float64 `json:"steps"`
	// Step is the index of the present step in Steps.
	Step int `json:"step"`
	// State is running, paused, rolled-back or done.
	State RollOutState `json:"state"`
	// Reason says why the state last changed.
	Reason string `json:"reason,omitempty"`
}

// Share returns the share of new work that To gets at present, 0 to 1.
func (r *RollOut) Share() float64 {
	switch {
	case r.State == RollOutRolledBack || len(r.Steps) == 0:
		return 0
	case r.State == RollOutDone:
		return 1
	case r.Step < 0 || r.Step >= len(r.Steps):
		return 0
	}
	return r.Steps[r.Step] / 100
}

// DataCentreState says whether a data centre takes work.
type DataCentreState string

// The states of a data centre. A data centre that is out gets no new work.
const (
	DataCentreIn  DataCentreState = "in"
	DataCentreOut DataCentreState = "out"
)

// DataCentre is a site with endpoints and VMs.
type DataCentre struct {
	Meta
	// Region groups data centres that are close to each other.
	Region string `json:"region"`
	// State is in or out. A data centre that is out gets no new work.
	State DataCentreState `json:"state"`
}

// EndpointState says whether an endpoint takes work.
type EndpointState string

// The states of an endpoint that operators set.
const (
	EndpointServing EndpointState = "serving"
	EndpointLeaving EndpointState = "leaving"
)

// Endpoint is one back end: a runner of a model engine or an instance of a plain service.
type Endpoint struct {
	Meta
	// Address is the endpoint's IP address and port, "ip:port".
	Address string `json:"address"`
	// DataCentre is the name of the endpoint's data centre.
	DataCentre string `json:"dataCentre"`
	// Versions are the names of the model versions that the endpoint may serve; empty for a
	// plain service.
	Versions []string `json:"versions,omitempty"`
	// Service is the name of the endpoint's plain service; empty for a model engine.
	Service string `json:"service,omitempty"`
	// Slots is the number of concurrent requests that a warm endpoint takes.
	Slots int `json:"slots"`
	// ColdSlots is the number of concurrent requests that the endpoint takes in cold start, from
	// all VMs together.
	ColdSlots int `json:"coldSlots"`
	// Fenced says that the endpoint refuses orders with an old fencing number.
	Fenced bool `json:"fenced,omitempty"`
	// State is serving or leaving.
	State EndpointState `json:"state"`
}

// Call is a call of a plain service.
type Call struct {
	// Method and Path identify the call. A path that ends in '/' covers all paths below it.
	Method string `json:"method"`
	Path   string `json:"path"`
	// Idempotent calls may be repeated after a failure; other calls run at most once.
	Idempotent bool `json:"idempotent"`
}

// Service is a plain service, which runs beside the model engines.
type Service struct {
	Meta
	// Calls are the calls that the service takes. Other calls are refused.
	Calls []Call `json:"calls"`
}

// Snapshot is the whole configuration at one revision. It is immutable once published.
type Snapshot struct {
	// Revision is the number of accepted changes. The empty configuration has revision zero.
	Revision    int64                     `json:"revision"`
	Accounts    map[string]*ClientAccount `json:"clientAccounts,omitempty"`
	Versions    map[string]*ModelVersion  `json:"modelVersions,omitempty"`
	RollOuts    map[string]*RollOut       `json:"rollOuts,omitempty"`
	DataCentres map[string]*DataCentre    `json:"dataCentres,omitempty"`
	Endpoints   map[string]*Endpoint      `json:"endpoints,omitempty"`
	Services    map[string]*Service       `json:"services,omitempty"`
}
