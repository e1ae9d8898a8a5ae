package ledger_test

import (
	"context"
	"fmt"

	"goldcrestfork/ledger"
	"goldcrestfork/standin/store"
)

// A refund is claimed before it is sent. The second VM that gets the same request returns the
// recorded answer and sends nothing.
func ExampleClaims() {
	ctx := context.Background()
	platform := store.New()
	on := func(vm string) *ledger.Claims {
		return ledger.NewClaims(ledger.New(platform, nil, nil, ledger.Settings{VM: vm, Incarnation: 1}), nil)
	}
	key := ledger.ClaimKey{Account: "bakers", IdempotencyKey: "refund-1"}
	body := ledger.FingerprintOf([]byte("POST /refunds"), []byte("12 EUR"))

	first := on("vm-1")
	start, err := first.Begin(ctx, key, body)
	if err != nil || start.Ticket == nil {
		fmt.Println("not run:", err)
		return
	}
	// The refund is sent at this point, exactly once.
	if err := first.Finish(ctx, start.Ticket, ledger.Outcome{Known: true, Status: 200, Answer: []byte("booked")}); err != nil {
		fmt.Println("recorded later:", err)
	}

	again, err := on("vm-2").Begin(ctx, key, body)
	if err != nil {
		fmt.Println("not run:", err)
		return
	}
	fmt.Println(again.Ticket == nil, again.Repeat.State, string(again.Repeat.Answer))
	// Output: true done booked
}
