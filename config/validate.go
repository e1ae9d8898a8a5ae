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

// Limits of single values.
const (
	// maxWeight prevents one account from starving the others in a pool at capacity.
	maxWeight = 1000
	// maxSlots is far above the batch size of an engine, so a larger number is a typing error.
	maxSlots = 10_000
	// maxLabels and maxLabelBytes bound the work of selectors.
	maxLabels     = 32
	maxLabelBytes = 128
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Validate checks a configuration as a whole and returns all problems, sorted by object. The
// configuration may be accepted if there are none.
func Validate(s *Snapshot) []Problem {
	v := validator{snapshot: s}
	for _, kind := range Kinds {
		for _, o := range s.List(kind, nil) {
			v.checkObject(o)
		}
	}
	v.checkCascades()
	v.checkUnique()
	slices.SortStableFunc(v.problems, compareProblems)
	return v.problems
}

type validator struct {
	snapshot *Snapshot
	problems []Problem
	kind     Kind
	name     string
}

func (v *validator) addProblem(field string, got any, want string) {
	v.problems = append(v.problems, Problem{Kind: v.kind, Name: v.name, Field: field, Got: fmt.Sprintf("%v", got), Want: want})
}

func (v *validator) checkObject(o Object) {
	m := o.meta()
	v.kind, v.name = KindOf(o), m.Name
	v.checkMeta(m)
	switch o := o.(type) {
	case *ClientAccount:
		v.checkAccount(o)
	case *ModelVersion:
		v.checkVersion(o)
	case *RollOut:
		v.checkRollOut(o)
	case *DataCentre:
		v.checkDataCentre(o)
	case *Endpoint:
		v.checkEndpoint(o)
	case *Service:
		v.checkService(o)
	}
}

func (v *validator) checkMeta(m *Meta) {
	if !namePattern.MatchString(m.Name) {
		v.addProblem("name", fmt.Sprintf("%q", m.Name), "lower-case letters, digits, '-' and '.', at most 63, a letter or digit first")
	}
	if len(m.Labels) > maxLabels {
		v.addProblem("labels", len(m.Labels), fmt.Sprintf("at most %d", maxLabels))
	}
	for key, value := range m.Labels {
		if key == "" || value == "" || len(key) > maxLabelBytes || len(value) > maxLabelBytes || strings.ContainsAny(key+value, "=,|") {
			v.addProblem("labels."+key, fmt.Sprintf("%q", value), fmt.Sprintf("1 to %d bytes without '=', ',' and '|'", maxLabelBytes))
		}
	}
}

func (v *validator) checkAccount(a *ClientAccount) {
	if len(a.KeyHashes) == 0 {
		v.addProblem("keyHashes", "none", "at least one hex SHA-256 sum of an API key")
	}
	for i, h := range a.KeyHashes {
		if sum, err := hex.DecodeString(h); err != nil || len(sum) != 32 || strings.ToLower(h) != h {
			v.addProblem(fmt.Sprintf("keyHashes[%d]", i), fmt.Sprintf("%d characters", len(h)), "a SHA-256 sum as 64 lower-case hex digits")
		}
	}
	if !(a.Weight >= 0 && a.Weight <= maxWeight) {
		v.addProblem("weight", a.Weight, fmt.Sprintf("0 to %d", maxWeight))
	}
	if a.Class < ClassImmediate || a.Class > ClassDeferrable {
		v.addProblem("class", a.Class, "one of "+strings.Join(classNames, ", "))
	}
	v.checkFraction("quality", a.Quality)
	if a.SpendCap < 0 {
		v.addProblem("spendCap", a.SpendCap, "0 or more micro-units")
	}
	v.checkSelectors(a)
}

// checkSelectors checks that each selector of an account matches something. Withdrawn versions
// count: a withdrawal must not be refused because it leaves an account without a version.
// Warnings reports that case.
func (v *validator) checkSelectors(a *ClientAccount) {
	if len(a.Versions) == 0 && len(a.Services) == 0 {
		v.addProblem("versions", "no version and no service", "a selector in versions or services")
	}
	v.checkSelector("versions", a.Versions, KindVersion)
	v.checkSelector("services", a.Services, KindService)
}

func (v *validator) checkSelector(field string, s Selector, kind Kind) {
	if len(s) > 0 && len(v.snapshot.List(kind, s)) == 0 {
		v.addProblem(field, "a selector that matches nothing", "a selector that matches at least one "+string(kind))
	}
}

func (v *validator) checkFraction(field string, x float64) {
	if !(x >= 0 && x <= 1) {
		v.addProblem(field, x, "0 to 1")
	}
}

func (v *validator) checkVersion(m *ModelVersion) {
	if m.Model == "" {
		v.addProblem("model", "nothing", "the name that callers ask for")
	}
	checkOneOf(v, "state", m.State, VersionServing, VersionWithdrawn)
	if m.Cost < 0 {
		v.addProblem("cost", m.Cost, "0 or more micro-units for 1000 output tokens")
	}
	v.checkFraction("quality", m.Quality)
	if m.Cascade != "" && v.snapshot.Versions[m.Cascade] == nil {
		v.addMissing("cascade", m.Cascade, KindVersion)
	}
}

func (v *validator) addMissing(field, name string, kind Kind) {
	v.addProblem(field, fmt.Sprintf("%q", name), "the name of an existing "+string(kind))
}

func (v *validator) checkDataCentre(d *DataCentre) {
	if d.Region == "" {
		v.addProblem("region", "nothing", "the region's name")
	}
	checkOneOf(v, "state", d.State, DataCentreIn, DataCentreOut)
}

func (v *validator) checkEndpoint(e *Endpoint) {
	if a, err := netip.ParseAddrPort(e.Address); err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		v.addProblem("address", fmt.Sprintf("%q", e.Address), "ip:port with an IP number and a port above 0")
	}
	if v.snapshot.DataCentres[e.DataCentre] == nil {
		v.addMissing("dataCentre", e.DataCentre, KindDataCentre)
	}
	for i, name := range e.Versions {
		if v.snapshot.Versions[name] == nil {
			v.addMissing(fmt.Sprintf("versions[%d]", i), name, KindVersion)
		}
	}
	if e.Service != "" && v.snapshot.Services[e.Service] == nil {
		v.addMissing("service", e.Service, KindService)
	}
	if (len(e.Versions) > 0) == (e.Service != "") {
		v.addProblem("versions", fmt.Sprintf("%d versions and service %q", len(e.Versions), e.Service), "either versions or a service")
	}
	if e.Slots < 1 || e.Slots > maxSlots {
		v.addProblem("slots", e.Slots, fmt.Sprintf("1 to %d requests", maxSlots))
	}
	if e.ColdSlots < 1 || e.ColdSlots > e.Slots {
		v.addProblem("coldSlots", e.ColdSlots, "1 to slots requests")
	}
	checkOneOf(v, "state", e.State, EndpointServing, EndpointLeaving)
}

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

func (v *validator) checkService(s *Service) {
	if len(s.Calls) == 0 {
		v.addProblem("calls", "none", "at least one call")
	}
	seen := make(map[Call]bool)
	for i, c := range s.Calls {
		field := fmt.Sprintf("calls[%d]", i)
		checkOneOf(v, field+".method", c.Method, methods...)
		if !strings.HasPrefix(c.Path, "/") || strings.ContainsAny(c.Path, "?# ") || strings.Contains(c.Path, "..") {
			v.addProblem(field+".path", fmt.Sprintf("%q", c.Path), "a path from '/' without query")
		}
		key := Call{Method: c.Method, Path: c.Path}
		if seen[key] {
			v.addProblem(field, c.Method+" "+c.Path+" a second time", "each call once")
		}
		seen[key] = true
	}
}

// checkOneOf adds a problem if a value is not among those allowed.
func checkOneOf[S ~string](v *validator, field string, got S, allowed ...S) {
	if !slices.Contains(allowed, got) {
		v.addProblem(field, fmt.Sprintf("%q", got), "one of "+joinTexts(allowed))
	}
}

// checkUnique checks that no two endpoints share an address and no two accounts a key.
func (v *validator) checkUnique() {
	addresses := make(map[string]string)
	for _, name := range slices.Sorted(maps.Keys(v.snapshot.Endpoints)) {
		e := v.snapshot.Endpoints[name]
		v.kind, v.name = KindEndpoint, name
		if other, ok := addresses[e.Address]; ok {
			v.addProblem("address", e.Address, "an address of its own; "+other+" has this one")
		}
		addresses[e.Address] = name
	}
	owners := make(map[string]string)
	for _, name := range slices.Sorted(maps.Keys(v.snapshot.Accounts)) {
		v.kind, v.name = KindAccount, name
		for i, h := range v.snapshot.Accounts[name].KeyHashes {
			if other, ok := owners[h]; ok {
				v.addProblem(fmt.Sprintf("keyHashes[%d]", i), "a key in use", "a key of its own; "+other+" has this one")
			}
			owners[h] = name
		}
	}
}
