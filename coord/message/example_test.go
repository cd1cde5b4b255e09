package message_test

import (
	"fmt"
	"time"

	"foxcross.dev/coord/message"
)

// Messages contain durations, never clock times: an agent subtracts the age of a request from the
// target in its offer.
func ExampleOffer() {
	o := message.Offer{Target: "glaze-8b", Terms: message.Terms{FirstToken: 500 * time.Millisecond}, Age: 120 * time.Millisecond}
	fmt.Println(o.Terms.FirstToken - o.Age)
	// Output: 380ms
}
