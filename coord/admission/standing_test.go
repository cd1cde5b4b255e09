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
		{0, 2000}, {0.3, 2500}, {1, 2500}, {2, 1000}, {1e9, 400},
	} {
		for _, first := range []float64{c.limitMS - 1, c.limitMS + 1} {
			decision := admission.Decide(admission.Input{
				Choice:   placement.Choice{Long: true, WaitMS: 1500, FirstMS: first},
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

// TestTeamBelowItsShareIsNotRefusedEarly has streams that miss their targets during prefill, which
// lowers the limit of all others to 700 ms.
func TestTeamBelowItsShareIsNotRefusedEarly(t *testing.T) {
	for _, c := range []struct {
		standing     share.Standing
		interference float64
		limitMS      float64
	}{
		{0, 0, 700}, {0.3, 0, 2500}, {1, 0, 2500}, {1.4, 0, 500}, {0.3, 0.3, 700},
	} {
		for _, first := range []float64{c.limitMS - 1, c.limitMS + 1} {
			decision := admission.Decide(admission.Input{
				Choice:   placement.Choice{Long: true, WaitMS: 1500, FirstMS: first, PrefillInterferes: true, Terms: placement.Terms{Interference: c.interference}},
				Request:  placement.Request{FirstEventTarget: 2 * time.Second},
				Left:     time.Minute,
				Standing: c.standing,
			})
			if _, sent := decision.(admission.Send); sent != (first < c.limitMS) {
				t.Errorf("standing %v, interference %v, first event after %v ms: got %#v", c.standing, c.interference, first, decision)
			}
		}
	}
}
