package node

import (
	"slices"
	"time"
)

// Settings are the settings of a VM at its start.
type Settings struct {
	VM         string
	IP         string
	DataCentre string
	Region     string
	// Regions maps each data centre to its region.
	Regions map[string]string
	// Front, Ready and Directory are the listeners' addresses (ip:port) for callers, readiness
	// checks and the directory of VMs; empty if not served.
	Front, Ready, Directory string
	// PortFirst and PortLast are the range of ports for traffic between VMs.
	PortFirst, PortLast int
	// MetricsPort serves metrics and the state dump on the VM's address.
	MetricsPort int
	// Store is the address of the platform's store (ip:port).
	Store string
	// FirstStart says that this is the first start of the whole fleet.
	FirstStart bool
	// MemoryMB limits the memory of the process.
	MemoryMB int
	// HeadBytes limits the memory of requests' heads beyond the usual size; 0 for the default for MemoryMB.
	HeadBytes int64
	// Descriptors limits the open descriptors of the process, 0 for no limit.
	Descriptors int
	// DirectoryTime bounds a request to the directory, the metrics and the state, from its head to the end of its
	// answer; 0 for no bound.
	DirectoryTime time.Duration
	// LinkMbps is the bandwidth of the VM's link, 0 if unknown.
	LinkMbps int
	// Contracts are the names of the rules that the operators have put in force.
	Contracts []string
	Bounds    Bounds
}

// contractPressure is the contract under which the load of all services is managed.
const contractPressure = "pressure"

func (s *Settings) hasContract(name string) bool { return slices.Contains(s.Contracts, name) }

// Bounds are the times and shares within which operators require the system to act.
type Bounds struct {
	// ContactWindow is the time after a fault from which the bounds hold again.
	ContactWindow time.Duration
	// DrainTimeout is the time after which an endpoint that leaves must get no requests.
	DrainTimeout time.Duration
	// EndpointReport is the time between two reports of an endpoint to the platform, which removes
	// its entry after three without one.
	EndpointReport time.Duration
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	// ConfigInForce is the time from the acceptance of a configuration until it is in force.
	ConfigInForce time.Duration
	// Revocation is the time from the acceptance of a configuration that removes a key until the
	// key is refused.
	Revocation time.Duration
	// RetryRatio and RetrySlack bound attempts beyond the first within RetryWindow, as a share
	// of the first attempts and as a number.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ExposureShare bounds the share of a service's requests that a version in a trial gets.
	ExposureShare float64
	// ExposureSlack is the number of requests beyond it that operators allow the version.
	ExposureSlack float64
	// Evacuation is the time from an order to take a data centre out of service until it gets no
	// requests.
	Evacuation time.Duration
	// RollBack is the time from the failure of a trial until the old version serves all
	// requests.
	RollBack time.Duration
	// Session is the longest pause between requests of one session.
	Session time.Duration
	// MostDirectoryTTL is the longest TTL of a directory answer that callers accept.
	MostDirectoryTTL time.Duration
}
