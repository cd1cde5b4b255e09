package admission_test

import (
	"fmt"
	"time"

	"foxcross.dev/coord/admission"
	"foxcross.dev/coord/placement"
)

// A prompt that would miss its target is refused for the time until the engine has computed the
// prompts that wait there.
func ExampleDecide() {
	decision := admission.Decide(admission.Input{
		Choice:  placement.Choice{Long: true, WaitMS: 3000, FirstMS: 3200},
		Request: placement.Request{FirstEventTarget: 2 * time.Second},
		Left:    15 * time.Second,
	})
	switch d := decision.(type) {
	case admission.Send:
		fmt.Println("sent")
	case admission.Refuse:
		fmt.Println("refused, retry after", d.RetryAfter)
	}
	// Output: refused, retry after 3s
}
