package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// Object is an operator object: a pointer to one of the object types of this package.
type Object interface {
	meta() *Meta
}

func (m *Meta) meta() *Meta { return m }

// Kinds lists the kinds in the order in which they are shown and checked.
var Kinds = []Kind{KindDataCentre, KindVersion, KindService, KindEndpoint, KindRollOut, KindAccount}

// NewObject returns an empty object of the kind, or nil for an unknown kind.
func NewObject(kind Kind) Object {
	switch kind {
	case KindAccount:
		return new(ClientAccount)
	case KindVersion:
		return new(ModelVersion)
	case KindRollOut:
		return new(RollOut)
	case KindDataCentre:
		return new(DataCentre)
	case KindEndpoint:
		return new(Endpoint)
	case KindService:
		return new(Service)
	}
	return nil
}

// KindOf returns the kind of an object.
func KindOf(o Object) Kind {
	switch o.(type) {
	case *ClientAccount:
		return KindAccount
	case *ModelVersion:
		return KindVersion
	case *RollOut:
		return KindRollOut
	case *DataCentre:
		return KindDataCentre
	case *Endpoint:
		return KindEndpoint
	case *Service:
		return KindService
	}
	panic(fmt.Sprintf("config: %T is no operator object", o))
}

// MetaOf returns the object's name, labels and revision.
func MetaOf(o Object) Meta { return *o.meta() }

// Clone returns a deep copy of an object. Changes are made on copies, since published objects are
// immutable.
func Clone(o Object) Object {
	data, err := cbor.Marshal(o)
	if err != nil {
		panic(fmt.Sprintf("config: encode %T: %v", o, err))
	}
	c := NewObject(KindOf(o))
	if err := cbor.Unmarshal(data, c); err != nil {
		panic(fmt.Sprintf("config: decode %T: %v", o, err))
	}
	return c
}

// Marshal encodes an object with its kind as JSON that Parse reads.
func Marshal(o Object) ([]byte, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return nil, err
	}
	return fmt.Appendf(nil, `{"kind":%q,%s`, KindOf(o), body[1:]), nil
}

// Get returns the object of this kind and name, or nil if there is none.
func (s *Snapshot) Get(kind Kind, name string) Object {
	switch kind {
	case KindAccount:
		return find(s.Accounts, name)
	case KindVersion:
		return find(s.Versions, name)
	case KindRollOut:
		return find(s.RollOuts, name)
	case KindDataCentre:
		return find(s.DataCentres, name)
	case KindEndpoint:
		return find(s.Endpoints, name)
	case KindService:
		return find(s.Services, name)
	}
	return nil
}

// List returns the objects of a kind sorted by name. With a selector, it returns only those
// that match.
func (s *Snapshot) List(kind Kind, selector Selector) []Object {
	all := s.unsorted(kind)
	slices.SortFunc(all, func(a, b Object) int { return cmp.Compare(a.meta().Name, b.meta().Name) })
	if len(selector) == 0 {
		return all
	}
	return slices.DeleteFunc(all, func(o Object) bool { return !selector.Matches(o.meta().Labels) })
}

// unsorted returns the objects of a kind in no particular order.
func (s *Snapshot) unsorted(kind Kind) []Object {
	switch kind {
	case KindAccount:
		return objects(s.Accounts)
	case KindVersion:
		return objects(s.Versions)
	case KindRollOut:
		return objects(s.RollOuts)
	case KindDataCentre:
		return objects(s.DataCentres)
	case KindEndpoint:
		return objects(s.Endpoints)
	case KindService:
		return objects(s.Services)
	}
	return nil
}

// put stores an object in a snapshot that is not published yet.
func (s *Snapshot) put(o Object) {
	name := o.meta().Name
	switch o := o.(type) {
	case *ClientAccount:
		set(&s.Accounts, name, o)
	case *ModelVersion:
		set(&s.Versions, name, o)
	case *RollOut:
		set(&s.RollOuts, name, o)
	case *DataCentre:
		set(&s.DataCentres, name, o)
	case *Endpoint:
		set(&s.Endpoints, name, o)
	case *Service:
		set(&s.Services, name, o)
	}
}

func (s *Snapshot) remove(kind Kind, name string) {
	switch kind {
	case KindAccount:
		delete(s.Accounts, name)
	case KindVersion:
		delete(s.Versions, name)
	case KindRollOut:
		delete(s.RollOuts, name)
	case KindDataCentre:
		delete(s.DataCentres, name)
	case KindEndpoint:
		delete(s.Endpoints, name)
	case KindService:
		delete(s.Services, name)
	}
}

// object is the constraint for pointers to T that implement Object.
type object[T any] interface {
	*T
	Object
}

func find[T any, P object[T]](m map[string]P, name string) Object {
	if o, ok := m[name]; ok {
		return o
	}
	return nil
}

func objects[T any, P object[T]](m map[string]P) []Object {
	list := make([]Object, 0, len(m))
	for _, o := range m {
		list = append(list, o)
	}
	return list
}

func set[T any, P object[T]](m *map[string]P, name string, o P) {
	if *m == nil {
		*m = make(map[string]P)
	}
	(*m)[name] = o
}

// ParseSelector parses a selector such as "key=a|b,other=c". The empty text gives the empty
// selector. The error is of type Problems.
func ParseSelector(text string) (Selector, error) {
	if text == "" {
		return nil, nil
	}
	s := make(Selector)
	for term := range strings.SplitSeq(text, ",") {
		key, values, ok := strings.Cut(term, "=")
		if !ok || key == "" || values == "" {
			return nil, Problems{{Field: "selector", Got: term, Want: "key=value or key=value|value"}}
		}
		s[key] = strings.Split(values, "|")
	}
	return s, nil
}

// classNames are the names of the priority classes, in the order of their values.
var classNames = []string{"immediate", "interactive", "deferrable"}

// String returns the class's name, or "class(N)" for an unknown class.
func (c Class) String() string {
	if c < 0 || int(c) >= len(classNames) {
		return fmt.Sprintf("class(%d)", int(c))
	}
	return classNames[c]
}

// MarshalText encodes the class by name.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText decodes the class by name.
func (c *Class) UnmarshalText(text []byte) error {
	i := slices.Index(classNames, string(text))
	if i < 0 {
		return fmt.Errorf("class %q is none of %s", text, strings.Join(classNames, ", "))
	}
	*c = Class(i)
	return nil
}

// compareProblems orders problems by kind, name and field.
func compareProblems(a, b Problem) int {
	return cmp.Or(
		cmp.Compare(slices.Index(Kinds, a.Kind), slices.Index(Kinds, b.Kind)),
		cmp.Compare(a.Name, b.Name),
		cmp.Compare(a.Field, b.Field),
	)
}
