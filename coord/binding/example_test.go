package binding_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"foxcross.dev/coord/binding"
	"foxcross.dev/coord/message"
)

// An agent reports a free slot, gets the offer of a request, and gets the start after it
// sends ready.
func ExampleCore() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := binding.Core{Rand: rand.New(rand.NewPCG(1, 2))}
	c.AgentUp(now, "hall", 0)
	c.Heartbeat(now, "hall", message.Heartbeat{Loads: []message.Load{{Target: "glaze-8b", Slots: 1, Free: 1}}})
	id, actions := c.Accept(now, binding.Request{Target: "glaze-8b", Terms: message.Terms{FirstToken: time.Second}, GiveUp: time.Minute})
	for _, a := range actions {
		fmt.Printf("%T\n", a)
	}
	for _, a := range c.Ready(now, "hall", message.Ready{Request: id, Attempt: 1}) {
		fmt.Printf("%T\n", a)
	}
	// Output:
	// binding.Send
	// binding.Start
}
