package catalog

import "time"

// Endpoint is one instance that serves a service, as it reported itself.
type Endpoint struct {
	// ID names one life of an endpoint; the address may be used again by another.
	ID         string
	Service    string
	Address    string // ip:port
	DataCentre string
	// Version is the version of its software.
	Version string
	Slots   int
	// Draining endpoints get no new work.
	Draining bool
	// Cold is how long it stays cold from the moment of the report.
	Cold time.Duration
	// Born is the start of this life in Unix milliseconds by its own clock; 0 if not
	// said. An endpoint may start again under its id.
	Born int64
}

// RollOutState is how far a roll-out is.
type RollOutState string

// The states of a roll-out.
const (
	RollOutRunning RollOutState = "running"
	// RollOutMoving: the new version was found good and gets all requests; the old one's
	// endpoints still end what they have.
	RollOutMoving     RollOutState = "moving"
	RollOutCompleted  RollOutState = "completed"
	RollOutRolledBack RollOutState = "rolled-back"
)

// RollOut asks that a service's requests move to the endpoints of a version.
type RollOut struct {
	// Name and Revision identify the order; Created orders one after another of the same service.
	Name     string
	Revision int64
	Created  int64
	Service  string
	Target   string
	// Duration is the time that operators allow for it.
	Duration time.Duration
	// State is the recorded decision on this target; empty for none yet.
	State RollOutState
}
