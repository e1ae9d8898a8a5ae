package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// field is one field as operators write it.
type field struct {
	kind reflect.Type
	// required: no default stands for it, so a forgotten one is refused.
	required bool
}

// fieldsOf lists a struct's JSON fields; embedded structs count as their fields.
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

// expected names the field that was probably meant, else all of them.
func expected(known map[string]field, name string) string {
	for _, candidate := range slices.Sorted(maps.Keys(known)) {
		if strings.EqualFold(candidate, name) || near(candidate, name) {
			return fmt.Sprintf("the field %q", candidate)
		}
	}
	return "one of " + strings.Join(slices.Sorted(maps.Keys(known)), ", ")
}

// near reports that one edit (a letter more, less, other, or two swapped) parts a from b.
func near(a, b string) bool {
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

// describeType says in words what a field takes.
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

// join lists texts for a message.
func join[S ~string](items []S) string {
	texts := make([]string, len(items))
	for i, item := range items {
		texts[i] = string(item)
	}
	return strings.Join(texts, ", ")
}
