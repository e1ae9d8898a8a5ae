package config

import (
	"fmt"
	"maps"
)

// applyAll applies the changes to an unpublished snapshot and validates the result as a whole.
// If it returns an error, the snapshot must not be used.
func applyAll(s *Snapshot, changes []Change) error {
	if len(changes) == 0 {
		return Problems{{Field: "changes", Want: "at least one change"}}
	}
	for i := range changes {
		if err := applyOne(s, &changes[i], s.Revision+1); err != nil {
			return err
		}
	}
	if problems := Validate(s); len(problems) > 0 {
		return Problems(problems)
	}
	return nil
}

func applyOne(s *Snapshot, c *Change, revision int64) error {
	kind, name := c.target()
	current := s.Get(kind, name)
	if !c.conditionMet(current) {
		return &ConflictError{Kind: kind, Name: name, Current: current, Revision: s.Revision}
	}
	if current == nil && c.Op != OpPut {
		return &ConflictError{Kind: kind, Name: name, Revision: s.Revision}
	}
	switch c.Op {
	case OpPut:
		o := Clone(c.Object)
		o.meta().Revision = revision
		s.put(o)
	case OpDelete:
		s.remove(kind, name)
	case OpLabel:
		s.put(relabel(current, c, revision))
	case OpEdit:
		o := Clone(current)
		if err := c.Edit(o); err != nil {
			return err
		}
		o.meta().Revision = revision
		s.put(o)
	default:
		return Problems{{Kind: kind, Name: name, Field: "op", Got: fmt.Sprint(c.Op), Want: "put, delete, label or edit"}}
	}
	return nil
}

// conditionMet reports whether the condition on the object's revision is met.
func (c *Change) conditionMet(current Object) bool {
	switch {
	case c.IfRevision == IfAny:
		return true
	case current == nil:
		return c.IfRevision == IfAbsent
	}
	return current.meta().Revision == c.IfRevision
}

func relabel(current Object, c *Change, revision int64) Object {
	o := Clone(current)
	m := o.meta()
	if m.Labels == nil {
		m.Labels = make(map[string]string)
	}
	maps.Copy(m.Labels, c.Labels)
	for _, key := range c.RemoveLabels {
		delete(m.Labels, key)
	}
	m.Revision = revision
	return o
}

// deletedRefs returns the objects that the changes delete.
func deletedRefs(changes []Change) []objectRef {
	var refs []objectRef
	for i := range changes {
		if changes[i].Op == OpDelete {
			refs = append(refs, objectRef{changes[i].Kind, changes[i].Name})
		}
	}
	return refs
}
