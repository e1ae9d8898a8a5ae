package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// field describes a field of an object's JSON.
type field struct {
	kind reflect.Type
	// required fields have no default, so an object without them is refused.
	required bool
}

// fieldsOf returns a struct's JSON fields by name, including those of embedded structs.
func fieldsOf(t reflect.Type) map[string]field {
	known := make(map[string]field)
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			maps.Copy(known, fieldsOf(f.Type))
			continue
		}
		name, options, _ := strings.Cut(f.Tag.Get("json"), ",")
		known[name] = field{kind: f.Type, required: !strings.Contains(options, "omitempty")}
	}
	return known
}

// suggestField names the field that was probably meant, or lists all fields.
func suggestField(known map[string]field, name string) string {
	for _, candidate := range slices.Sorted(maps.Keys(known)) {
		if strings.EqualFold(candidate, name) || withinOneEdit(candidate, name) {
			return fmt.Sprintf("the field %q", candidate)
		}
	}
	return "one of " + strings.Join(slices.Sorted(maps.Keys(known)), ", ")
}

// withinOneEdit reports whether a and b differ by at most one edit: a letter inserted, deleted
// or replaced, or two adjacent letters swapped.
func withinOneEdit(a, b string) bool {
	if len(a) < len(b) {
		a, b = b, a
	}
	if len(a)-len(b) > 1 {
		return false
	}
	i := 0
	for i < len(b) && a[i] == b[i] {
		i++
	}
	restA, restB := a[i:], b[i:]
	switch {
	case len(restA) > len(restB):
		return restA[1:] == restB
	case len(restA) == 0:
		return true
	case restA[1:] == restB[1:]:
		return true
	}
	return len(restA) >= 2 && restA[0] == restB[1] && restA[1] == restB[0] && restA[2:] == restB[2:]
}

// describeType describes the values that a field takes, for messages.
func describeType(t reflect.Type) string {
	if t == reflect.TypeFor[Class]() {
		return "one of " + strings.Join(classNames, ", ")
	}
	switch t.Kind() {
	case reflect.String:
		return "a text"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "an array"
	case reflect.Map, reflect.Struct:
		return "an object"
	}
	return t.String()
}

// joinTexts joins texts with commas.
func joinTexts[S ~string](items []S) string {
	texts := make([]string, len(items))
	for i, item := range items {
		texts[i] = string(item)
	}
	return strings.Join(texts, ", ")
}
