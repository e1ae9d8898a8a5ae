package node

import "time"

// Settings are what a VM is told at its start.
type Settings struct {
	VM         string
	IP         string
	DataCentre string
	Region     string
	// Regions are the regions by data centre.
	Regions map[string]string
	// Front, Ready and Directory are the listeners' addresses (ip:port); empty where not served.
	Front, Ready, Directory string
	// PortFirst and PortLast are free for traffic between VMs.
	PortFirst, PortLast int
	// MetricsPort serves metrics and the state dump on the VM's address.
	MetricsPort int
	// Store is the platform's store (ip:port).
	Store string
	// FirstStart says that the whole fleet starts for the first time.
	FirstStart bool
	// MemoryMB bounds the process.
	MemoryMB int
	Bounds   Bounds
}

// Bounds are the times and shares that the operators hold the system to.
type Bounds struct {
	// ContactWindow is how long after trouble bounds hold again.
	ContactWindow time.Duration
	// DrainTimeout: an endpoint that leaves must get nothing later.
	DrainTimeout time.Duration
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	// ConfigInForce is the time from the acceptance of a configuration.
	ConfigInForce time.Duration
	// Revocation is the time from the acceptance of a configuration that takes a key away.
	Revocation time.Duration
	// RetryRatio and RetrySlack bound attempts beyond the first within RetryWindow.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ExposureShare bounds the part of a service's requests that a version on trial gets.
	ExposureShare float64
	// Evacuation is the time from an order to take a data centre out.
	Evacuation time.Duration
	// RollBack is the time from a trial's failure to its end.
	RollBack time.Duration
	// Session is the longest pause between requests of one session.
	Session time.Duration
	// MostDirectoryTTL is the longest life of a directory answer that callers honour.
	MostDirectoryTTL time.Duration
}
