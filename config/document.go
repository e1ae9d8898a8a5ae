package config

import (
	"encoding/json"
	"reflect"

	"github.com/tailscale/hujson"
)

// ParseDocument decodes a JSON document with comments into target, a pointer to a struct. It is
// as strict as Parse: an unknown, misspelt, duplicate or missing field is a Problem with file,
// line, field and the expected value. The error is of type Problems.
func ParseDocument(file string, data []byte, target any) error {
	if err := checkSize(file, data); err != nil {
		return err
	}
	tree, err := hujson.Parse(data)
	if err != nil {
		return Problems{{File: file, Line: syntaxLine(err), Got: err.Error(), Want: "JSON with comments"}}
	}
	p := parser{file: file, data: data}
	p.checkFields(&tree, reflect.TypeOf(target).Elem(), "", "")
	if len(p.problems) > 0 {
		return p.problems
	}
	start := tree.StartOffset
	tree.Standardize()
	if err := json.Unmarshal(tree.Pack()[start:], target); err != nil {
		p.addDecodeProblem(start, err)
		return p.problems
	}
	return nil
}
