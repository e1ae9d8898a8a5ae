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

// maxDocumentBytes bounds the size of a document of objects. The platform limits the resulting
// root to 1 MB anyway.
const maxDocumentBytes = 8 << 20

const (
	// maxValues bounds the values of a document, of which an endpoint has some 15, and maxDepth their nesting: the
	// library parses a nested value by a call of its own.
	maxValues, maxDepth = 250_000, 100
	// valueBytes is what a value takes in memory while its document is parsed.
	valueBytes = 200
	// maxProblems bounds the problems that are reported of a document.
	maxProblems = 100
)

// ParsedBytes estimates the memory, in bytes, that the values of a document take while Parse reads it, beside a few
// times its length.
func ParsedBytes(data []byte) int64 {
	values, _ := countValues(data)
	return valueBytes * int64(min(values, maxValues))
}

// countValues returns the number of values of a document, names included, and the depth to which they are nested.
// What it returns for text that is no JSON with comments means nothing.
func countValues(data []byte) (values, depth int) {
	values = 1
	open := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			for i++; i < len(data) && data[i] != '"'; i++ {
				if data[i] == '\\' {
					i++
				}
			}
		case '/':
			i += commentLength(data[i:])
		case '{', '[':
			values++
			open++
			depth = max(depth, open)
		case '}', ']':
			open--
		case ',', ':':
			values++
		}
	}
	return values, depth
}

// commentLength returns the length of the comment at the beginning of a text without its last byte, 0 for none.
func commentLength(text []byte) int {
	end := 0
	switch {
	case bytes.HasPrefix(text, []byte("//")):
		end = bytes.IndexByte(text, '\n')
	case bytes.HasPrefix(text, []byte("/*")):
		if end = bytes.Index(text[2:], []byte("*/")); end >= 0 {
			end += 3
		}
	}
	if end < 0 {
		return len(text)
	}
	return end
}

// checkSize returns the Problem of a document that is too large to be parsed, nil for none.
func checkSize(file string, data []byte) error {
	if len(data) > maxDocumentBytes {
		return Problems{{File: file, Line: 1, Got: fmt.Sprintf("%d bytes", len(data)), Want: fmt.Sprintf("at most %d bytes", maxDocumentBytes)}}
	}
	values, depth := countValues(data)
	if values > maxValues {
		return Problems{{File: file, Line: 1, Got: fmt.Sprintf("%d values", values), Want: fmt.Sprintf("at most %d values", maxValues)}}
	}
	if depth > maxDepth {
		return Problems{{File: file, Line: 1, Got: fmt.Sprintf("values nested to a depth of %d", depth), Want: fmt.Sprintf("a depth of at most %d", maxDepth)}}
	}
	return nil
}

// Parse decodes one object or an array of objects in JSON with comments. The field "kind" of
// each object gives its kind. An unknown, misspelt, duplicate or missing field is a Problem
// with file, line, field and the expected value. The error is of type Problems.
func Parse(file string, data []byte) ([]Object, error) {
	if err := checkSize(file, data); err != nil {
		return nil, err
	}
	tree, err := hujson.Parse(data)
	if err != nil {
		return nil, Problems{{File: file, Line: syntaxLine(err), Got: err.Error(), Want: "JSON with comments"}}
	}
	p := parser{file: file, data: data}
	p.parseDocument(&tree)
	if len(p.problems) > 0 {
		return nil, p.problems
	}
	return p.objects, nil
}

// syntaxLine returns the line number in the library's message "hujson: line 3, column 1: …".
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
	// kind and name identify the object that is being parsed.
	kind Kind
	name string
}

// isFull reports whether no further problem is reported.
func (p *parser) isFull() bool { return len(p.problems) >= maxProblems }

// addProblem adds a problem at a byte offset.
func (p *parser) addProblem(offset int, field, got, want string) {
	if p.isFull() {
		return
	}
	line := 1 + bytes.Count(p.data[:min(offset, len(p.data))], []byte("\n"))
	p.problems = append(p.problems, Problem{File: p.file, Line: line, Kind: p.kind, Name: p.name, Field: field, Got: got, Want: want})
}

func (p *parser) parseDocument(v *hujson.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		p.parseObject(v)
		return
	}
	for i := 0; i < len(array.Elements) && !p.isFull(); i++ {
		p.parseObject(&array.Elements[i])
	}
}

// parseObject parses one operator object.
func (p *parser) parseObject(v *hujson.Value) {
	p.kind, p.name = "", ""
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		p.addProblem(v.StartOffset, "", describeValue(v), "an object with a field \"kind\"")
		return
	}
	p.kind, p.name = Kind(stringMember(o, "kind")), stringMember(o, "name")
	target := NewObject(p.kind)
	if target == nil {
		got := fmt.Sprintf("%q", p.kind)
		p.kind = ""
		p.addProblem(v.StartOffset, "kind", got, "one of "+joinTexts(Kinds))
		return
	}
	before := len(p.problems)
	p.checkFields(v, reflect.TypeOf(target).Elem(), "", "kind")
	if len(p.problems) > before {
		return
	}
	// Standardize replaces comments by blanks of the same length, so offsets stay valid.
	standard := v.Clone()
	standard.Standardize()
	start := len(standard.BeforeExtra)
	if err := json.Unmarshal(standard.Pack()[start:], target); err != nil {
		p.addDecodeProblem(v.StartOffset, err)
		return
	}
	p.objects = append(p.objects, target)
}

// addDecodeProblem adds the problem for a JSON decoding error.
func (p *parser) addDecodeProblem(start int, err error) {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		p.addProblem(start+int(typeErr.Offset), typeErr.Field, typeErr.Value, describeType(typeErr.Type))
		return
	}
	p.addProblem(start, "", err.Error(), "a value of the field's type")
}

// checkFields checks the names of a struct's fields in the document, at all depths. It also
// allows the field extra.
func (p *parser) checkFields(v *hujson.Value, t reflect.Type, path, extra string) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		p.addProblem(v.StartOffset, path, describeValue(v), "an object")
		return
	}
	known := fieldsOf(t)
	seen := make(map[string]bool)
	for i := 0; i < len(o.Members) && !p.isFull(); i++ {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		f, ok := known[name]
		switch {
		case seen[name]:
			p.addProblem(m.Name.StartOffset, path+name, "a second time", "each field once")
		case ok:
			p.checkNested(&m.Value, f.kind, path+name)
		case name != extra || extra == "":
			p.addProblem(m.Name.StartOffset, path+name, "an unknown field", suggestField(known, name))
		}
		seen[name] = true
	}
	for name, f := range known {
		if f.required && !seen[name] {
			p.addProblem(v.StartOffset, path+name, "nothing", "the field to be given ("+describeType(f.kind)+")")
		}
	}
}

// checkNested checks structs and arrays of structs. Other values are checked by the decoder.
func (p *parser) checkNested(v *hujson.Value, t reflect.Type, path string) {
	if lit, ok := v.Value.(hujson.Literal); ok && lit.Kind() == 'n' {
		p.addProblem(v.StartOffset, path, "null", describeType(t)+", or the field left out")
		return
	}
	if p.checkTextValue(v, t, path) {
		return
	}
	if t.Kind() == reflect.Struct {
		p.checkFields(v, t, path+".", "")
		return
	}
	if t.Kind() != reflect.Slice || t.Elem().Kind() != reflect.Struct {
		return
	}
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		p.addProblem(v.StartOffset, path, describeValue(v), "an array")
		return
	}
	for i := range array.Elements {
		p.checkFields(&array.Elements[i], t.Elem(), fmt.Sprintf("%s[%d].", path, i), "")
	}
}

// checkTextValue checks a value whose type implements encoding.TextUnmarshaler, such as a
// duration, since the errors of encoding/json would not give the value's place. It reports
// whether the type is such a type.
func (p *parser) checkTextValue(v *hujson.Value, t reflect.Type, path string) bool {
	target, ok := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	lit, isLiteral := v.Value.(hujson.Literal)
	if !ok || !isLiteral || lit.Kind() != '"' {
		return ok
	}
	if err := target.UnmarshalText([]byte(lit.String())); err != nil {
		p.addProblem(v.StartOffset, path, fmt.Sprintf("%q", lit.String()), err.Error())
	}
	return true
}

// stringMember returns the string value of an object's member, or "" if there is none.
func stringMember(o *hujson.Object, name string) string {
	for i := range o.Members {
		key, _ := o.Members[i].Name.Value.(hujson.Literal)
		value, ok := o.Members[i].Value.Value.(hujson.Literal)
		if ok && key.String() == name && value.Kind() == '"' {
			return value.String()
		}
	}
	return ""
}

func describeValue(v *hujson.Value) string {
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
