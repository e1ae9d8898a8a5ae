package catalog

import (
	"time"

	"goldcrestfork/policy/trial"
)

// Endpoint is one instance of a service, as reported by the instance itself.
type Endpoint struct {
	// ID identifies one incarnation of an endpoint; another one may use the address later.
	ID         string
	Service    string
	Address    string // ip:port
	DataCentre string
	// Version is the version that the endpoint runs.
	Version string
	Slots   int
	// Draining endpoints get no new requests.
	Draining bool
	// Cold is how long the endpoint stays in cold start, counted from the report.
	Cold time.Duration
	// StartedAt is the start time of this incarnation in Unix milliseconds by the endpoint's own
	// clock; 0 if unknown. An endpoint may restart under the same id.
	StartedAt int64
}

// RollOutState is the progress of a roll-out.
type RollOutState string

// The states of a roll-out.
const (
	RollOutRunning RollOutState = "running"
	// RollOutMoving means that the new version was accepted and gets all requests, while the old
	// version's endpoints still finish theirs.
	RollOutMoving     RollOutState = "moving"
	RollOutCompleted  RollOutState = "completed"
	RollOutRolledBack RollOutState = "rolled-back"
)

// RollOut is an operator's order to move a service's requests to the endpoints of a version.
type RollOut struct {
	// Name and Revision identify the order. Created is the revision at which the order was
	// made; it orders the roll-outs of a service.
	Name     string
	Revision int64
	Created  int64
	Service  string
	Target   string
	// Duration is the time that the operators allow for the roll-out.
	Duration time.Duration
	// State is the recorded decision on the roll-out to Target; empty if there is none yet.
	State RollOutState
	// Standing is what is recorded of an accepted target version.
	Standing trial.Standing
	// StoppedVersion is the version before the target if its answers failed and it gets no requests; else empty.
	StoppedVersion string
}
