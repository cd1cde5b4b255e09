package dispatch_test

import (
	"fmt"
	"time"

	"foxcross.dev/coord/dispatch"
	"foxcross.dev/coord/message"
)

// An offer for which a slot is free is accepted at once. The slot is held until the
// start arrives.
func ExampleCore() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var c dispatch.Core
	c.Add(dispatch.Endpoint{Name: "hall-0", Target: "glaze-8b"})
	offer := message.Offer{Request: 1, Attempt: 1, Target: "glaze-8b", Terms: message.Terms{FirstToken: time.Second, Weight: 1}}
	for _, a := range c.Offer(now, 7, offer) {
		reply := a.(dispatch.Reply)
		fmt.Printf("%T to owner %d\n", reply.Message, reply.Owner)
	}
	// Output: message.Ready to owner 7
}
