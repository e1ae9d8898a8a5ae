package config

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// maxDocument bounds one document of objects, in bytes; the root that results is
// bounded by the platform's 1 MB anyway.
const maxDocument = 8 << 20

// Parse reads one object or an array of objects in JSON with comments. Each
// object carries its kind in the field "kind". It is strict: an unknown, misspelt,
// doubled or missing field is a Problem with file, line, field and what is
// expected; the error is of type Problems.
func Parse(file string, data []byte) ([]Object, error) {
	if len(data) > maxDocument {
		return nil, Problems{{File: file, Line: 1, Got: fmt.Sprintf("%d bytes", len(data)),
			Want: fmt.Sprintf("at most %d bytes", maxDocument)}}
	}
	tree, err := hujson.Parse(data)
	if err != nil {
		return nil, Problems{{File: file, Line: syntaxLine(err), Got: err.Error(), Want: "JSON with comments"}}
	}
	p := parser{file: file, data: data}
	p.document(&tree)
	if len(p.problems) > 0 {
		return nil, p.problems
	}
	return p.objects, nil
}

// syntaxLine takes the line out of the library's message "hujson: line 3, column 1: …".
func syntaxLine(err error) int {
	line := 1
	_, rest, _ := strings.Cut(err.Error(), "line ")
	if _, scanErr := fmt.Sscanf(rest, "%d", &line); scanErr != nil {
		return 1
	}
	return line
}

type parser struct {
	file     string
	data     []byte
	objects  []Object
	problems Problems
	// kind and name say which object is read.
	kind Kind
	name string
}

// refuse notes a problem at a byte offset.
func (p *parser) refuse(offset int, field, got, want string) {
	line := 1 + bytes.Count(p.data[:min(offset, len(p.data))], []byte("\n"))
	p.problems = append(p.problems, Problem{File: p.file, Line: line, Kind: p.kind, Name: p.name, Field: field, Got: got, Want: want})
}

func (p *parser) document(v *hujson.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		p.object(v)
		return
	}
	for i := range array.Elements {
		p.object(&array.Elements[i])
	}
}

// object reads one operator object.
func (p *parser) object(v *hujson.Value) {
	p.kind, p.name = "", ""
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		p.refuse(v.StartOffset, "", describe(v), "an object with a field \"kind\"")
		return
	}
	p.kind, p.name = Kind(text(o, "kind")), text(o, "name")
	target := New(p.kind)
	if target == nil {
		got := fmt.Sprintf("%q", p.kind)
		p.kind = ""
		p.refuse(v.StartOffset, "kind", got, "one of "+join(Kinds))
		return
	}
	before := len(p.problems)
	p.fields(v, reflect.TypeOf(target).Elem(), "", "kind")
	if len(p.problems) > before {
		return
	}
	// The copy keeps offsets: comments become blanks of the same length.
	standard := v.Clone()
	standard.Standardize()
	start := len(standard.BeforeExtra)
	if err := json.Unmarshal(standard.Pack()[start:], target); err != nil {
		p.mistyped(v.StartOffset, err)
		return
	}
	p.objects = append(p.objects, target)
}

// mistyped turns a JSON decoding error into a problem.
func (p *parser) mistyped(start int, err error) {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		p.refuse(start+int(typeErr.Offset), typeErr.Field, typeErr.Value, describeType(typeErr.Type))
		return
	}
	p.refuse(start, "", err.Error(), "a value of the field's type")
}

// fields checks the names of a struct's fields in the text, at all depths; extra is allowed besides.
func (p *parser) fields(v *hujson.Value, t reflect.Type, path, extra string) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		p.refuse(v.StartOffset, path, describe(v), "an object")
		return
	}
	known := fieldsOf(t)
	seen := make(map[string]bool)
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		f, ok := known[name]
		switch {
		case seen[name]:
			p.refuse(m.Name.StartOffset, path+name, "a second time", "each field once")
		case ok:
			p.nested(&m.Value, f.kind, path+name)
		case name != extra || extra == "":
			p.refuse(m.Name.StartOffset, path+name, "an unknown field", expected(known, name))
		}
		seen[name] = true
	}
	for name, f := range known {
		if f.required && !seen[name] {
			p.refuse(v.StartOffset, path+name, "nothing", "the field to be given ("+describeType(f.kind)+")")
		}
	}
}

// nested goes on into structs and arrays of structs; other values are checked when they are decoded.
func (p *parser) nested(v *hujson.Value, t reflect.Type, path string) {
	if lit, ok := v.Value.(hujson.Literal); ok && lit.Kind() == 'n' {
		p.refuse(v.StartOffset, path, "null", describeType(t)+", or the field left out")
		return
	}
	if p.worded(v, t, path) {
		return
	}
	if t.Kind() == reflect.Struct {
		p.fields(v, t, path+".", "")
		return
	}
	if t.Kind() != reflect.Slice || t.Elem().Kind() != reflect.Struct {
		return
	}
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		p.refuse(v.StartOffset, path, describe(v), "an array")
		return
	}
	for i := range array.Elements {
		p.fields(&array.Elements[i], t.Elem(), fmt.Sprintf("%s[%d].", path, i), "")
	}
}

// worded checks a value that is written as a text of its own form, such as a
// duration: encoding/json would not say where it stands.
func (p *parser) worded(v *hujson.Value, t reflect.Type, path string) bool {
	target, ok := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	lit, isLiteral := v.Value.(hujson.Literal)
	if !ok || !isLiteral || lit.Kind() != '"' {
		return ok
	}
	if err := target.UnmarshalText([]byte(lit.String())); err != nil {
		p.refuse(v.StartOffset, path, fmt.Sprintf("%q", lit.String()), err.Error())
	}
	return true
}

// text returns a member's string, or "".
func text(o *hujson.Object, name string) string {
	for i := range o.Members {
		key, _ := o.Members[i].Name.Value.(hujson.Literal)
		value, ok := o.Members[i].Value.Value.(hujson.Literal)
		if ok && key.String() == name && value.Kind() == '"' {
			return value.String()
		}
	}
	return ""
}

func describe(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a text"
	case 'n':
		return "null"
	case 't', 'f':
		return "true or false"
	}
	return "a number"
}
