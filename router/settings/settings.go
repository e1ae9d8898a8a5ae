// Package settings reads the settings of goldcrestfork's daemon: one file in JSON
// with comments, the same on all VMs but for the names and addresses of the VM.
// It is strict: what is unknown, misspelt, missing or contradictory is refused at
// start, with file, line, field and what is expected.
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
)

// Settings are what a VM is told at its start.
type Settings struct {
	// VM is the platform's name for this VM; a replaced VM gets a new one.
	VM string `json:"vm"`
	// DataCentre is where the VM runs; a configured data centre's name.
	DataCentre string `json:"dataCentre"`
	// Region is the data centre's region.
	Region string `json:"region"`
	// Callers is where callers connect.
	Callers Listener `json:"callers"`
	// Operators is where operators, probes and metrics connect.
	Operators Listener `json:"operators"`
	// Peers is the link between VMs.
	Peers Peers `json:"peers"`
	// Platform is the platform's object API.
	Platform Platform `json:"platform"`
	// Secret is 32 bytes or more in hex, the same on all VMs; it signs session pins and resume tokens.
	Secret string `json:"secret"`
	// OperatorKeyHashes are hex SHA-256 sums of the operators' keys; several while a key is changed.
	OperatorKeyHashes []string `json:"operatorKeyHashes"`
	// Rating is the service that rates answers; without it cascades go by the versions' expected quality.
	Rating Rating `json:"rating,omitempty"`
	// Prefer is "cost" (a cached prefix may win over a lower load; answers may wait for a
	// rating) or "latency". Default "cost".
	Prefer string `json:"prefer,omitempty"`
	// KeepAddresses is how long callers keep an address answer. Default "10s".
	KeepAddresses Duration `json:"keepAddresses,omitempty"`
	// SpreadLeaving is how long a planned stop reckons with other VMs that have not
	// heard of it and still name this VM to callers. Default "15s".
	SpreadLeaving Duration `json:"spreadLeaving,omitempty"`
	// StopGrace is how long a planned stop waits for running streams once no caller
	// should come any more. Default "15m"; what still runs then is cut.
	StopGrace Duration `json:"stopGrace,omitempty"`
}

// Listener is an address to serve on.
type Listener struct {
	// Address is "ip:port"; port 0 takes a free one and is for trials.
	Address string `json:"address"`
	// Advertise is the "ip:port" that others are told. Default: Address.
	Advertise string `json:"advertise,omitempty"`
	// Certificate and Key are PEM files; with neither the listener speaks plain HTTP.
	Certificate string `json:"certificate,omitempty"`
	Key         string `json:"key,omitempty"`
}

// Peers are the settings of the link between VMs.
type Peers struct {
	// Address is the "ip:port" (UDP) of this VM's end.
	Address string `json:"address"`
	// CA, Certificate and Key are PEM files; the certificate's common name is the VM's name.
	CA          string `json:"ca"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Seeds are peers' addresses to start from when the platform's list can't be read.
	Seeds []string `json:"seeds,omitempty"`
}

// Platform is where the platform's object API answers.
type Platform struct {
	// URL is "http://ip:port" or "https://ip:port".
	URL string `json:"url"`
	// Register lets the VM enter itself into the platform's list of VMs; for the
	// stand-in, which nobody else tells of VMs. Default false.
	Register bool `json:"register,omitempty"`
}

// Rating is where the rating service answers.
type Rating struct {
	// URL is "http://ip:port/path"; empty for none.
	URL string `json:"url,omitempty"`
}

// Duration is a time such as "300ms", "10s" or "15m".
type Duration time.Duration

// UnmarshalText reads a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v <= 0 {
		return errors.New("a positive duration with a unit, such as \"10s\"")
	}
	*d = Duration(v)
	return nil
}

// MarshalText gives the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Defaults and bounds.
const (
	// DefaultKeepAddresses: short enough that a VM's end is felt for seconds only,
	// long enough that 10,000 callers ask each of 6 VMs 170 times a second.
	DefaultKeepAddresses = 10 * time.Second
	// DefaultSpreadLeaving: word of a leaving VM reaches 400 VMs in some ten
	// heartbeats of a second (docs/design/membership.md).
	DefaultSpreadLeaving = 15 * time.Second
	// DefaultStopGrace: half of the longest deadline a caller may name; growth reports run for minutes.
	DefaultStopGrace = 15 * time.Minute
	// minSecret is the least length of the secret, in bytes: that of the hash it keys.
	minSecret = 32
)

// Load reads and checks a file. The error is config.Problems or names the file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return Parse(file, data)
}

// Parse reads and checks settings; file is for messages.
func Parse(file string, data []byte) (*Settings, error) {
	s := &Settings{}
	if err := config.ParseDocument(file, data, s); err != nil {
		return nil, err
	}
	s.defaults()
	c := checker{file: file}
	c.check(s)
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return s, nil
}

func (s *Settings) defaults() {
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
}

// SecretBytes is the decoded secret.
func (s *Settings) SecretBytes() []byte {
	// Parse has checked it.
	b, _ := hex.DecodeString(s.Secret)
	return b
}

// checker collects what is wrong with the values.
type checker struct {
	file     string
	problems config.Problems
}

func (c *checker) refuse(field, got, want string) {
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
	if b, err := hex.DecodeString(s.Secret); err != nil || len(b) < minSecret {
		c.refuse("secret", fmt.Sprintf("%d characters", len(s.Secret)), fmt.Sprintf("at least %d bytes in hex", minSecret))
	}
	if len(s.OperatorKeyHashes) == 0 {
		c.refuse("operatorKeyHashes", "none", "at least one hash; without it nobody could operate the VM")
	}
	for i, h := range s.OperatorKeyHashes {
		if b, err := hex.DecodeString(h); err != nil || len(b) != 32 {
			c.refuse(fmt.Sprintf("operatorKeyHashes[%d]", i), fmt.Sprintf("%d characters", len(h)), "a SHA-256 sum, 64 hex characters")
		}
	}
	if s.Prefer != "cost" && s.Prefer != "latency" {
		c.refuse("prefer", fmt.Sprintf("%q", s.Prefer), `"cost" or "latency"`)
	}
}

func (c *checker) name(field, v string) {
	if v == "" {
		c.refuse(field, "an empty text", "a name")
	}
}

func (c *checker) listener(field string, l Listener) {
	c.address(field+".address", l.Address, true)
	if l.Advertise != "" {
		c.address(field+".advertise", l.Advertise, false)
	}
	if (l.Certificate == "") != (l.Key == "") {
		c.refuse(field+".certificate", "one of certificate and key", "both or neither")
	}
}

// address checks "ip:port"; a name would make the VM depend on a resolver.
func (c *checker) address(field, v string, zeroPort bool) {
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 && !zeroPort {
		c.refuse(field, fmt.Sprintf("%q", v), `"ip:port" with an IP number`)
	}
}

// ports refuses two TCP listeners on one address; the peers' port is UDP.
func (c *checker) ports(s *Settings) {
	a, errA := netip.ParseAddrPort(s.Callers.Address)
	b, errB := netip.ParseAddrPort(s.Operators.Address)
	if errA == nil && errB == nil && a.Port() != 0 && a.Port() == b.Port() {
		c.refuse("operators.address", "the port of callers.address", "a port of its own")
	}
}

// files checks that the PEM files are there.
func (c *checker) files(s *Settings) {
	type file struct{ field, path string }
	named := []file{
		{"peers.ca", s.Peers.CA}, {"peers.certificate", s.Peers.Certificate}, {"peers.key", s.Peers.Key},
	}
	if s.Callers.Certificate != "" {
		named = append(named, file{"callers.certificate", s.Callers.Certificate}, file{"callers.key", s.Callers.Key})
	}
	if s.Operators.Certificate != "" {
		named = append(named, file{"operators.certificate", s.Operators.Certificate}, file{"operators.key", s.Operators.Key})
	}
	for _, f := range named {
		if info, err := os.Stat(f.path); err != nil || !info.Mode().IsRegular() {
			c.refuse(f.field, fmt.Sprintf("%q", f.path), "a PEM file that can be read")
		}
	}
}
