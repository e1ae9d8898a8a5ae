package config

import (
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/tailscale/hujson"
)

// ParseDocument reads one JSON document with comments into target, a pointer to a
// struct, as strictly as Parse: an unknown, misspelt, doubled or missing field is
// a Problem with file, line, field and what is expected. The error is of type Problems.
func ParseDocument(file string, data []byte, target any) error {
	if len(data) > maxDocument {
		return Problems{{File: file, Line: 1, Got: fmt.Sprintf("%d bytes", len(data)), Want: fmt.Sprintf("at most %d bytes", maxDocument)}}
	}
	tree, err := hujson.Parse(data)
	if err != nil {
		return Problems{{File: file, Line: syntaxLine(err), Got: err.Error(), Want: "JSON with comments"}}
	}
	p := parser{file: file, data: data}
	p.fields(&tree, reflect.TypeOf(target).Elem(), "", "")
	if len(p.problems) > 0 {
		return p.problems
	}
	start := tree.StartOffset
	tree.Standardize()
	if err := json.Unmarshal(tree.Pack()[start:], target); err != nil {
		p.mistyped(start, err)
		return p.problems
	}
	return nil
}
