package rollout_test

import (
	"fmt"

	"goldcrestfork/config"
	"goldcrestfork/policy/rollout"
)

// A session gets its version from its id and the roll-out alone, so every VM makes
// the same choice. An account that may only use the old version gets the old
// version.
func ExampleChoose() {
	r := &config.RollOut{
		Model: "asistente", From: "asistente-4", To: "asistente-5",
		Steps: []float64{50, 100}, State: config.RollOutRunning,
	}
	both := func(string) bool { return true }
	old := func(version string) bool { return version == r.From }
	for _, session := range []string{"till-7", "till-8"} {
		a, _ := rollout.Choose(r, session, both)
		b, _ := rollout.Choose(r, session, both)
		c, _ := rollout.Choose(r, session, old)
		fmt.Println(a == b, c.Version)
	}
	// Output:
	// true asistente-4
	// true asistente-4
}
