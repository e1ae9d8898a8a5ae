// Package settings reads the settings of goldcrestfork's daemon from a file in JSON with
// comments. All VMs use the same settings except for the names and addresses of the VM.
// Unknown, misspelt, missing or contradictory fields are refused at start, with file, line,
// field and the expected value.
package settings

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"

	"goldcrestfork/config"
	"goldcrestfork/policy/room"
)

// Settings are the settings of one VM, read at its start.
type Settings struct {
	// VM is the platform's name for this VM. A replacement VM gets a new name.
	VM string `json:"vm"`
	// DataCentre is the name of the configured data centre in which the VM runs.
	DataCentre string `json:"dataCentre"`
	// Region is the region of the data centre.
	Region string `json:"region"`
	// Callers is the listener for callers.
	Callers Listener `json:"callers"`
	// Operators is the listener for operators, probes and metrics.
	Operators Listener `json:"operators"`
	// Peers configures the link between VMs.
	Peers Peers `json:"peers"`
	// Platform configures the access to the platform's object API.
	Platform Platform `json:"platform"`
	// Secret is the signing key of session pins and resume tokens: at least 32 bytes in
	// hex, the same on all VMs.
	Secret string `json:"secret"`
	// OperatorKeyHashes are hex SHA-256 sums of the operators' keys. There are several
	// while a key is being replaced.
	OperatorKeyHashes []string `json:"operatorKeyHashes"`
	// Rating configures the service that rates answers. Without one, cascades use the
	// expected quality of the versions.
	Rating Rating `json:"rating,omitempty"`
	// Prefer is "cost" (a cached prefix may outweigh a lower load, and answers may wait for
	// a rating) or "latency". The default is "cost".
	Prefer string `json:"prefer,omitempty"`
	// KeepAddresses is how long callers keep an address answer. The default is "10s".
	KeepAddresses Duration `json:"keepAddresses,omitempty"`
	// SpreadLeaving is how long, from its beginning, a planned stop assumes that some other
	// VMs don't know of it yet and still name this VM to callers. The default is "15s".
	SpreadLeaving Duration `json:"spreadLeaving,omitempty"`
	// StopGrace is how long a planned stop waits for running streams once the address
	// answers that name this VM have expired. Streams that still run then are cut. The
	// default is "15m".
	StopGrace Duration `json:"stopGrace,omitempty"`
	// AnswerWait is how long a caller may take to read 64 KB of its answer. A whole request
	// of an operator may take twice as long. The default is "30s", the least "20s".
	AnswerWait Duration `json:"answerWait,omitempty"`
	// MemoryMB is the memory of the process, in MB. It bounds the connections of callers, and
	// the heads and bodies of their requests. The default is 256.
	MemoryMB int `json:"memoryMB,omitempty"`
	// Descriptors is the number of descriptors that the process may open, which bounds the
	// connections of callers as well. The default is 4096.
	Descriptors int `json:"descriptors,omitempty"`
}

// Listener configures an address to serve on.
type Listener struct {
	// Address is "ip:port". Port 0 selects a free port and is meant for tests.
	Address string `json:"address"`
	// Advertise is the "ip:port" that other VMs and callers get. The default is Address.
	Advertise string `json:"advertise,omitempty"`
	// Certificate and Key are PEM files. Without them the listener serves plain HTTP.
	Certificate string `json:"certificate,omitempty"`
	Key         string `json:"key,omitempty"`
}

// Peers configures the link between VMs.
type Peers struct {
	// Address is the "ip:port" (UDP) on which this VM receives.
	Address string `json:"address"`
	// CA, Certificate and Key are PEM files. The common name of the certificate is the
	// name of the VM.
	CA          string `json:"ca"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Seeds are addresses of peers to contact first when the platform's VM list can't be read.
	Seeds []string `json:"seeds,omitempty"`
}

// Platform configures the access to the platform's object API.
type Platform struct {
	// URL is "http://ip:port" or "https://ip:port".
	URL string `json:"url"`
	// Register makes the VM add itself to the platform's list of VMs. It is meant for the
	// stand-in, which has no other source of that list. The default is false.
	Register bool `json:"register,omitempty"`
}

// Rating configures the rating service.
type Rating struct {
	// URL is "http://ip:port/path"; empty for no rating service.
	URL string `json:"url,omitempty"`
}

// Duration is a positive duration such as "300ms", "10s" or "15m".
type Duration time.Duration

// UnmarshalText parses a positive duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v <= 0 {
		return errors.New("a positive duration with a unit, such as \"10s\"")
	}
	*d = Duration(v)
	return nil
}

// MarshalText returns the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Defaults and bounds.
const (
	// DefaultKeepAddresses is short enough that callers stop using a VM within seconds of
	// its end, and long enough that 10,000 callers send each of 6 VMs only 170 address
	// requests a second.
	DefaultKeepAddresses = 10 * time.Second
	// DefaultSpreadLeaving exceeds the time in which all of 400 VMs learn that a VM is
	// leaving: about ten heartbeats of a second (docs/design/membership.md).
	DefaultSpreadLeaving = 15 * time.Second
	// DefaultStopGrace is half of the longest deadline that a caller may set, and
	// enough for growth reports, which run for minutes.
	DefaultStopGrace = 15 * time.Minute
	// DefaultAnswerWait lets a caller read at 2 KB/s.
	DefaultAnswerWait = 30 * time.Second
	// minAnswerWait lets an operator's request wait for a revision.
	minAnswerWait = 20 * time.Second
	// DefaultMemoryMB is what a node has for the process (docs/CAPACITY.md).
	DefaultMemoryMB = 256
	// DefaultDescriptors lets DefaultMemoryMB alone bound the connections.
	DefaultDescriptors = 4096
	// minMemoryMB leaves something beside what the process itself takes.
	minMemoryMB = 64
	// minSecretBytes is the minimum length of the secret: that of the hash it keys.
	minSecretBytes = 32
)

// Load reads and checks a file. Its error is a config.Problems or names the file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return Parse(file, data)
}

// Parse parses and checks settings. The name file appears in the errors only.
func Parse(file string, data []byte) (*Settings, error) {
	s := &Settings{}
	if err := config.ParseDocument(file, data, s); err != nil {
		return nil, err
	}
	s.setDefaults()
	c := checker{file: file}
	c.check(s)
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return s, nil
}

func (s *Settings) setDefaults() {
	if s.Prefer == "" {
		s.Prefer = "cost"
	}
	if s.KeepAddresses == 0 {
		s.KeepAddresses = Duration(DefaultKeepAddresses)
	}
	if s.SpreadLeaving == 0 {
		s.SpreadLeaving = Duration(DefaultSpreadLeaving)
	}
	if s.StopGrace == 0 {
		s.StopGrace = Duration(DefaultStopGrace)
	}
	if s.AnswerWait == 0 {
		s.AnswerWait = Duration(DefaultAnswerWait)
	}
	if s.MemoryMB == 0 {
		s.MemoryMB = DefaultMemoryMB
	}
	if s.Descriptors == 0 {
		s.Descriptors = DefaultDescriptors
	}
}

// SecretBytes returns the decoded secret.
func (s *Settings) SecretBytes() []byte {
	// Parse has checked the encoding.
	b, _ := hex.DecodeString(s.Secret)
	return b
}

// checker collects the faults in the values.
type checker struct {
	file     string
	problems config.Problems
}

func (c *checker) addProblem(field, got, want string) {
	c.problems = append(c.problems, config.Problem{File: c.file, Line: 1, Field: field, Got: got, Want: want})
}

func (c *checker) check(s *Settings) {
	c.name("vm", s.VM)
	c.name("dataCentre", s.DataCentre)
	c.name("region", s.Region)
	c.listener("callers", s.Callers)
	c.listener("operators", s.Operators)
	c.address("peers.address", s.Peers.Address, true)
	for i, seed := range s.Peers.Seeds {
		c.address(fmt.Sprintf("peers.seeds[%d]", i), seed, false)
	}
	c.ports(s)
	c.files(s)
	c.url("platform.url", s.Platform.URL, true)
	c.url("rating.url", s.Rating.URL, false)
	if b, err := hex.DecodeString(s.Secret); err != nil || len(b) < minSecretBytes {
		c.addProblem("secret", fmt.Sprintf("%d characters", len(s.Secret)), fmt.Sprintf("at least %d bytes in hex", minSecretBytes))
	}
	if len(s.OperatorKeyHashes) == 0 {
		c.addProblem("operatorKeyHashes", "none", "at least one hash; without it nobody could operate the VM")
	}
	for i, h := range s.OperatorKeyHashes {
		if b, err := hex.DecodeString(h); err != nil || len(b) != 32 {
			c.addProblem(fmt.Sprintf("operatorKeyHashes[%d]", i), fmt.Sprintf("%d characters", len(h)), "a SHA-256 sum, 64 hex characters")
		}
	}
	if wait := time.Duration(s.AnswerWait); wait < minAnswerWait {
		c.addProblem("answerWait", wait.String(), "at least "+minAnswerWait.String())
	}
	c.atLeast("memoryMB", s.MemoryMB, minMemoryMB)
	c.atLeast("descriptors", s.Descriptors, room.MinDescriptors)
	if s.Prefer != "cost" && s.Prefer != "latency" {
		c.addProblem("prefer", fmt.Sprintf("%q", s.Prefer), `"cost" or "latency"`)
	}
}

func (c *checker) atLeast(field string, v, least int) {
	if v < least {
		c.addProblem(field, fmt.Sprint(v), fmt.Sprintf("at least %d", least))
	}
}

func (c *checker) name(field, v string) {
	if v == "" {
		c.addProblem(field, "an empty text", "a name")
	}
}

func (c *checker) listener(field string, l Listener) {
	c.address(field+".address", l.Address, true)
	if l.Advertise != "" {
		c.address(field+".advertise", l.Advertise, false)
	}
	if (l.Certificate == "") != (l.Key == "") {
		c.addProblem(field+".certificate", "one of certificate and key", "both or neither")
	}
}

// address checks "ip:port". A host name is refused because the VM would depend on a resolver.
func (c *checker) address(field, v string, zeroPort bool) {
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 && !zeroPort {
		c.addProblem(field, fmt.Sprintf("%q", v), `"ip:port" with an IP number`)
	}
}

// ports refuses the same port for both TCP listeners. The peers' port is UDP.
func (c *checker) ports(s *Settings) {
	a, errA := netip.ParseAddrPort(s.Callers.Address)
	b, errB := netip.ParseAddrPort(s.Operators.Address)
	if errA == nil && errB == nil && a.Port() != 0 && a.Port() == b.Port() {
		c.addProblem("operators.address", "the port of callers.address", "a port of its own")
	}
}

// files checks that the PEM files exist.
func (c *checker) files(s *Settings) {
	type file struct{ field, path string }
	pemFiles := []file{
		{"peers.ca", s.Peers.CA}, {"peers.certificate", s.Peers.Certificate}, {"peers.key", s.Peers.Key},
	}
	if s.Callers.Certificate != "" {
		pemFiles = append(pemFiles, file{"callers.certificate", s.Callers.Certificate}, file{"callers.key", s.Callers.Key})
	}
	if s.Operators.Certificate != "" {
		pemFiles = append(pemFiles, file{"operators.certificate", s.Operators.Certificate}, file{"operators.key", s.Operators.Key})
	}
	for _, f := range pemFiles {
		if info, err := os.Stat(f.path); err != nil || !info.Mode().IsRegular() {
			c.addProblem(f.field, fmt.Sprintf("%q", f.path), "a PEM file that can be read")
		}
	}
}
