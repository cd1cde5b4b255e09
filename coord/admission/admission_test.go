package admission_test

import (
	"testing"
	"time"

	"foxcross.dev/coord/admission"
	"foxcross.dev/coord/placement"
)

// TestDecide checks which prompts with a target of 2 s are refused, and the delay before a
// retry.
func TestDecide(t *testing.T) {
	request := placement.Request{FirstEventTarget: 2 * time.Second}
	for _, c := range []struct {
		name   string
		choice placement.Choice
		left   time.Duration
		retry  time.Duration // zero if admitted
	}{
		{"short", placement.Choice{WaitMS: 9000, FirstMS: 9000, PrefillInterferes: true}, time.Minute, 0},
		{"starts at once, whatever its length", placement.Choice{Long: true, WaitMS: 300, FirstMS: 9000, PrefillInterferes: true}, time.Minute, 0},
		{"in time", placement.Choice{Long: true, WaitMS: 1500, FirstMS: 2000}, time.Minute, 0},
		{"late", placement.Choice{Long: true, WaitMS: 1500, FirstMS: 2001}, time.Minute, 1500 * time.Millisecond},
		{"late with the recent overrun", placement.Choice{Long: true, WaitMS: 800, FirstMS: 1100, Overrun: 2}, time.Minute, 1600 * time.Millisecond},
		{"soon, with prefill interference", placement.Choice{Long: true, WaitMS: 400, FirstMS: 700, PrefillInterferes: true}, time.Minute, 0},
		{"later, with prefill interference", placement.Choice{Long: true, WaitMS: 400, FirstMS: 701, PrefillInterferes: true}, time.Minute, 700 * time.Millisecond},
		{"harms more than one request at a busy service", placement.Choice{Long: true, Terms: placement.Terms{Interference: 1.1}, BusyShare: 0.5}, time.Minute, 700 * time.Millisecond},
		{"harms more than one request with free slots", placement.Choice{Long: true, Terms: placement.Terms{Interference: 1.1}, BusyShare: 0.4}, time.Minute, 0},
		{"little time left", placement.Choice{Long: true, WaitMS: 1500, FirstMS: 2001}, 2 * time.Second, 500 * time.Millisecond},
	} {
		got := admission.Decide(admission.Input{Choice: c.choice, Request: request, Left: c.left})
		var want admission.Decision = admission.Send{}
		if c.retry != 0 {
			want = admission.Refuse{RetryAfter: c.retry}
		}
		if got != want {
			t.Errorf("%s: got %#v, want %#v", c.name, got, want)
		}
	}
}
