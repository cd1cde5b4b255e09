package admission_test

import (
	"testing"
	"time"

	"foxcross.dev/coord/admission"
	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/share"
)

// TestStanding checks up to which expected first event a prompt with a target of 2 s is sent.
func TestStanding(t *testing.T) {
	for _, c := range []struct {
		standing share.Standing
		limitMS  float64
	}{
		{0, 2000}, {0.3, 2000}, {1, 2000}, {2, 1000}, {1e9, 400},
	} {
		for _, first := range []float64{c.limitMS - 1, c.limitMS + 1} {
			decision := admission.Decide(admission.Input{
				Choice:   placement.Choice{Long: true, WaitMS: 350, FirstMS: first},
				Request:  placement.Request{FirstEventTarget: 2 * time.Second},
				Left:     time.Minute,
				Standing: c.standing,
			})
			if _, sent := decision.(admission.Send); sent != (first < c.limitMS) {
				t.Errorf("standing %v, first event after %v ms: got %#v", c.standing, first, decision)
			}
		}
	}
}
