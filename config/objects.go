package config

// Kind names a kind of operator object.
type Kind string

// The kinds of objects operators keep.
const (
	KindAccount    Kind = "client-account"
	KindVersion    Kind = "model-version"
	KindRollOut    Kind = "roll-out"
	KindDataCentre Kind = "data-centre"
	KindEndpoint   Kind = "endpoint"
	KindService    Kind = "service"
)

// Meta is common to all objects.
type Meta struct {
	// Name is unique within the kind: lower-case letters, digits, '-' and '.', at most 63 bytes.
	Name string `json:"name"`
	// Labels are what selectors match.
	Labels map[string]string `json:"labels,omitempty"`
	// Revision is the configuration revision that last changed the object; set by the system.
	Revision int64 `json:"revision,omitempty"`
}

// Selector matches an object whose labels carry, for every key of the selector,
// one of the values listed for that key. The empty selector matches nothing, so
// that a forgotten selector never grants anything.
type Selector map[string][]string

// Class is the priority class of a request; a lower number is served first.
type Class int

// The priority classes.
const (
	// ClassImmediate cannot wait: a till lookup with a customer at the counter.
	ClassImmediate Class = iota
	// ClassInteractive is somebody reading along.
	ClassInteractive
	// ClassDeferrable may wait until its deadline: weekly summaries, growth reports.
	ClassDeferrable
)

// ClientAccount is one caller's account.
type ClientAccount struct {
	Meta
	// KeyHashes are the hex SHA-256 sums of the account's API keys; several while a key is changed.
	KeyHashes []string `json:"keyHashes"`
	// Weight is the account's share of a full pool relative to the others. Default 1.
	Weight float64 `json:"weight,omitempty"`
	// Class is given to requests that name none; a request may ask for a lower class, never for a higher one.
	Class Class `json:"class"`
	// Versions selects the model versions the account may use.
	Versions Selector `json:"versions,omitempty"`
	// Services selects the plain services the account may call.
	Services Selector `json:"services,omitempty"`
	// Quality is the quality target of cascades, 0..1; 0 takes the version asked for as it is.
	Quality float64 `json:"quality,omitempty"`
	// SpendCap bounds what one request may cost over all its cascade steps, in micro-units; 0 means no cap.
	SpendCap int64 `json:"spendCap,omitempty"`
}

// VersionState says whether a model version takes work.
type VersionState string

// The states of a model version.
const (
	// VersionServing takes work.
	VersionServing VersionState = "serving"
	// VersionWithdrawn gets no new work, sessions included.
	VersionWithdrawn VersionState = "withdrawn"
)

// ModelVersion is one version of one model.
type ModelVersion struct {
	Meta
	// Model is the name that callers ask for; several versions share it.
	Model string `json:"model"`
	// State is serving or withdrawn.
	State VersionState `json:"state"`
	// Cost is the price of 1000 output tokens in micro-units.
	Cost int64 `json:"cost"`
	// Quality is the expected rating, 0..1, used to order a cascade.
	Quality float64 `json:"quality"`
	// Cascade names the next better model version to escalate to; empty for none.
	Cascade string `json:"cascade,omitempty"`
}

// RollOutState is where a roll-out stands.
type RollOutState string

// The states of a roll-out.
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
	// From and To are names of model versions of that model.
	From string `json:"from"`
	To   string `json:"to"`
	// Steps are the shares of new work that To gets, in percent, ascending; the last is 100.
	Steps []float64 `json:"steps"`
	// Step is the index into Steps in force.
	Step int `json:"step"`
	// State is running, paused, rolled-back or done.
	State RollOutState `json:"state"`
	// Reason tells why the state was last changed.
	Reason string `json:"reason,omitempty"`
}

// Share returns the share of new work, 0..1, that To gets now.
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

// The states of a data centre.
const (
	DataCentreIn  DataCentreState = "in"
	DataCentreOut DataCentreState = "out"
)

// DataCentre is one place with endpoints and VMs.
type DataCentre struct {
	Meta
	// Region groups data centres that are close together.
	Region string `json:"region"`
	// State is in or out; out gets no new work.
	State DataCentreState `json:"state"`
}

// EndpointState says whether an endpoint takes work.
type EndpointState string

// The states of an endpoint that operators set.
const (
	EndpointServing EndpointState = "serving"
	EndpointLeaving EndpointState = "leaving"
)

// Endpoint is one back end: a model engine's runner or an instance of a plain service.
type Endpoint struct {
	Meta
	// Address is "ip:port".
	Address string `json:"address"`
	// DataCentre names the data centre the endpoint is in.
	DataCentre string `json:"dataCentre"`
	// Versions are the model versions it may serve; empty for a plain service's endpoint.
	Versions []string `json:"versions,omitempty"`
	// Service names the plain service it belongs to; empty for a model engine.
	Service string `json:"service,omitempty"`
	// Slots is how many requests it bears at once when warm.
	Slots int `json:"slots"`
	// ColdSlots is how many requests it bears at once in cold start, over all VMs together.
	ColdSlots int `json:"coldSlots"`
	// Fenced says that it refuses an order with an old fencing number.
	Fenced bool `json:"fenced,omitempty"`
	// State is serving or leaving.
	State EndpointState `json:"state"`
}

// Call is one call of a plain service.
type Call struct {
	// Method and Path identify the call; a path that ends in '/' covers all below it.
	Method string `json:"method"`
	Path   string `json:"path"`
	// Idempotent calls may be repeated after a failure; the others run at most once.
	Idempotent bool `json:"idempotent"`
}

// Service is one plain service beside the model engines.
type Service struct {
	Meta
	// Calls are the calls it takes; one that is not listed is refused.
	Calls []Call `json:"calls"`
}

// Snapshot is the whole configuration at one revision. It is never changed once published.
type Snapshot struct {
	// Revision counts accepted changes; zero is the empty configuration.
	Revision    int64                     `json:"revision"`
	Accounts    map[string]*ClientAccount `json:"clientAccounts,omitempty"`
	Versions    map[string]*ModelVersion  `json:"modelVersions,omitempty"`
	RollOuts    map[string]*RollOut       `json:"rollOuts,omitempty"`
	DataCentres map[string]*DataCentre    `json:"dataCentres,omitempty"`
	Endpoints   map[string]*Endpoint      `json:"endpoints,omitempty"`
	Services    map[string]*Service       `json:"services,omitempty"`
}
