package config_test

import (
	"context"
	"fmt"

	"goldcrestfork/config"
	"goldcrestfork/standin/store"
)

// A change is accepted on one VM and read on another.
func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	platform := store.New()
	reader := config.NewCache(config.Options{Store: platform})
	go reader.Run(ctx)

	editor := config.NewEditor(platform, config.NewCache(config.Options{Store: platform}))
	objects, err := config.Parse("dc.jsonc", []byte(`// out for repairs
		{ "kind": "data-centre", "name": "floresti", "region": "cluj", "state": "out" }`))
	if err != nil {
		fmt.Println(err)
		return
	}
	revision, _, err := editor.Apply(ctx, []config.Change{{Op: config.OpPut, Object: objects[0], IfRevision: config.IfAbsent}})
	if err != nil {
		fmt.Println(err)
		return
	}
	snapshot, err := reader.WaitRevision(ctx, revision)
	fmt.Println(snapshot.Revision, snapshot.DataCentres["floresti"].State, err)
	// Output: 1 out <nil>
}

// A misspelt field is refused with its place and the expected field.
func ExampleParse() {
	_, err := config.Parse("dc.jsonc", []byte(`{
  "kind": "data-centre",
  "name": "floresti",
  "regoin": "cluj",
  "state": "in"
}`))
	fmt.Println(err.(config.Problems)[0])
	// Output: dc.jsonc:4: data-centre "floresti": regoin: an unknown field found; expected the field "region"
}
