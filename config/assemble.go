package config

import (
	"fmt"
	"slices"
)

// Assemble builds a configuration from the objects in files and validates it as a whole,
// without a platform. Two objects of the same kind and name are a problem.
func Assemble(objects []Object) (*Snapshot, []Problem) {
	s := &Snapshot{}
	var problems []Problem
	for _, o := range objects {
		kind, name := KindOf(o), o.meta().Name
		if s.Get(kind, name) != nil {
			problems = append(problems, Problem{Kind: kind, Name: name, Got: "a second one", Want: fmt.Sprintf("one %s of this name", kind)})
		}
		s.put(Clone(o))
	}
	return s, slices.Concat(problems, Validate(s))
}
