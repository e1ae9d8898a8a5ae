package config

import (
	"encoding/hex"
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

// Bounds of single values.
const (
	// maxWeight keeps one account from starving the rest of a full pool for good.
	maxWeight = 1000
	// maxSlots is far above what one engine batches; a larger figure is a typing error.
	maxSlots = 10_000
	// maxLabels and maxLabel bound what selectors have to look at.
	maxLabels = 32
	maxLabel  = 128
)

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Validate checks a configuration as a whole and returns all problems, sorted by
// object; none means that it may be accepted.
func Validate(s *Snapshot) []Problem {
	v := validator{snapshot: s}
	for _, kind := range Kinds {
		for _, o := range s.List(kind, nil) {
			v.object(o)
		}
	}
	v.cascades()
	v.unique()
	slices.SortStableFunc(v.problems, byKind)
	return v.problems
}

type validator struct {
	snapshot *Snapshot
	problems []Problem
	kind     Kind
	name     string
}

func (v *validator) refuse(field string, got any, want string) {
	v.problems = append(v.problems, Problem{Kind: v.kind, Name: v.name, Field: field, Got: fmt.Sprintf("%v", got), Want: want})
}

func (v *validator) object(o Object) {
	m := o.meta()
	v.kind, v.name = KindOf(o), m.Name
	v.common(m)
	switch o := o.(type) {
	case *ClientAccount:
		v.account(o)
	case *ModelVersion:
		v.version(o)
	case *RollOut:
		v.rollOut(o)
	case *DataCentre:
		v.dataCentre(o)
	case *Endpoint:
		v.endpoint(o)
	case *Service:
		v.service(o)
	}
}

func (v *validator) common(m *Meta) {
	if !nameForm.MatchString(m.Name) {
		v.refuse("name", fmt.Sprintf("%q", m.Name), "lower-case letters, digits, '-' and '.', at most 63, a letter or digit first")
	}
	if len(m.Labels) > maxLabels {
		v.refuse("labels", len(m.Labels), fmt.Sprintf("at most %d", maxLabels))
	}
	for key, value := range m.Labels {
		if key == "" || value == "" || len(key) > maxLabel || len(value) > maxLabel || strings.ContainsAny(key+value, "=,|") {
			v.refuse("labels."+key, fmt.Sprintf("%q", value), fmt.Sprintf("1 to %d bytes without '=', ',' and '|'", maxLabel))
		}
	}
}

func (v *validator) account(a *ClientAccount) {
	if len(a.KeyHashes) == 0 {
		v.refuse("keyHashes", "none", "at least one hex SHA-256 sum of an API key")
	}
	for i, h := range a.KeyHashes {
		if sum, err := hex.DecodeString(h); err != nil || len(sum) != 32 || strings.ToLower(h) != h {
			v.refuse(fmt.Sprintf("keyHashes[%d]", i), fmt.Sprintf("%d characters", len(h)), "a SHA-256 sum as 64 lower-case hex digits")
		}
	}
	if !(a.Weight >= 0 && a.Weight <= maxWeight) {
		v.refuse("weight", a.Weight, fmt.Sprintf("0 to %d", maxWeight))
	}
	if a.Class < ClassImmediate || a.Class > ClassDeferrable {
		v.refuse("class", a.Class, "one of "+strings.Join(classNames, ", "))
	}
	v.share("quality", a.Quality)
	if a.SpendCap < 0 {
		v.refuse("spendCap", a.SpendCap, "0 or more micro-units")
	}
	v.grants(a)
}

// grants checks that each selector of an account matches something. A withdrawn
// version counts as a match: a withdrawal must never be refused because of the
// accounts that it leaves without a version; see Warnings.
func (v *validator) grants(a *ClientAccount) {
	if len(a.Versions) == 0 && len(a.Services) == 0 {
		v.refuse("versions", "no version and no service", "a selector in versions or services")
	}
	v.selector("versions", a.Versions, KindVersion)
	v.selector("services", a.Services, KindService)
}

func (v *validator) selector(field string, s Selector, kind Kind) {
	if len(s) > 0 && len(v.snapshot.List(kind, s)) == 0 {
		v.refuse(field, "a selector that matches nothing", "a selector that matches at least one "+string(kind))
	}
}

func (v *validator) share(field string, x float64) {
	if !(x >= 0 && x <= 1) {
		v.refuse(field, x, "0 to 1")
	}
}

func (v *validator) version(m *ModelVersion) {
	if m.Model == "" {
		v.refuse("model", "nothing", "the name that callers ask for")
	}
	oneOf(v, "state", m.State, VersionServing, VersionWithdrawn)
	if m.Cost < 0 {
		v.refuse("cost", m.Cost, "0 or more micro-units for 1000 output tokens")
	}
	v.share("quality", m.Quality)
	if m.Cascade != "" && v.snapshot.Versions[m.Cascade] == nil {
		v.missing("cascade", m.Cascade, KindVersion)
	}
}

func (v *validator) missing(field, name string, kind Kind) {
	v.refuse(field, fmt.Sprintf("%q", name), "the name of an existing "+string(kind))
}

func (v *validator) dataCentre(d *DataCentre) {
	if d.Region == "" {
		v.refuse("region", "nothing", "the region's name")
	}
	oneOf(v, "state", d.State, DataCentreIn, DataCentreOut)
}

func (v *validator) endpoint(e *Endpoint) {
	if a, err := netip.ParseAddrPort(e.Address); err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		v.refuse("address", fmt.Sprintf("%q", e.Address), "ip:port with an IP number and a port above 0")
	}
	if v.snapshot.DataCentres[e.DataCentre] == nil {
		v.missing("dataCentre", e.DataCentre, KindDataCentre)
	}
	for i, name := range e.Versions {
		if v.snapshot.Versions[name] == nil {
			v.missing(fmt.Sprintf("versions[%d]", i), name, KindVersion)
		}
	}
	if e.Service != "" && v.snapshot.Services[e.Service] == nil {
		v.missing("service", e.Service, KindService)
	}
	if (len(e.Versions) > 0) == (e.Service != "") {
		v.refuse("versions", fmt.Sprintf("%d versions and service %q", len(e.Versions), e.Service), "either versions or a service")
	}
	if e.Slots < 1 || e.Slots > maxSlots {
		v.refuse("slots", e.Slots, fmt.Sprintf("1 to %d requests", maxSlots))
	}
	if e.ColdSlots < 1 || e.ColdSlots > e.Slots {
		v.refuse("coldSlots", e.ColdSlots, "1 to slots requests")
	}
	oneOf(v, "state", e.State, EndpointServing, EndpointLeaving)
}

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

func (v *validator) service(s *Service) {
	if len(s.Calls) == 0 {
		v.refuse("calls", "none", "at least one call")
	}
	seen := make(map[Call]bool)
	for i, c := range s.Calls {
		field := fmt.Sprintf("calls[%d]", i)
		oneOf(v, field+".method", c.Method, methods...)
		if !strings.HasPrefix(c.Path, "/") || strings.ContainsAny(c.Path, "?# ") || strings.Contains(c.Path, "..") {
			v.refuse(field+".path", fmt.Sprintf("%q", c.Path), "a path from '/' without query")
		}
		key := Call{Method: c.Method, Path: c.Path}
		if seen[key] {
			v.refuse(field, c.Method+" "+c.Path+" a second time", "each call once")
		}
		seen[key] = true
	}
}

// oneOf refuses a value that is not among those allowed.
func oneOf[S ~string](v *validator, field string, got S, allowed ...S) {
	if !slices.Contains(allowed, got) {
		v.refuse(field, fmt.Sprintf("%q", got), "one of "+join(allowed))
	}
}

// unique checks what no two objects may share.
func (v *validator) unique() {
	addresses := make(map[string]string)
	for _, name := range slices.Sorted(maps.Keys(v.snapshot.Endpoints)) {
		e := v.snapshot.Endpoints[name]
		v.kind, v.name = KindEndpoint, name
		if other, ok := addresses[e.Address]; ok {
			v.refuse("address", e.Address, "an address of its own; "+other+" has this one")
		}
		addresses[e.Address] = name
	}
	owners := make(map[string]string)
	for _, name := range slices.Sorted(maps.Keys(v.snapshot.Accounts)) {
		v.kind, v.name = KindAccount, name
		for i, h := range v.snapshot.Accounts[name].KeyHashes {
			if other, ok := owners[h]; ok {
				v.refuse(fmt.Sprintf("keyHashes[%d]", i), "a key in use", "a key of its own; "+other+" has this one")
			}
			owners[h] = name
		}
	}
}
