package peers

import "testing"

func TestReplayWindowDetectsRepeatedNumbers(t *testing.T) {
	var w replayWindow
	for _, c := range []struct {
		number   uint64
		accepted bool
	}{
		{1, true}, {1, false}, {3, true}, {2, true}, {2, false}, {3, false},
		{70, true}, {69, true}, {7, true}, {6, false}, {3, false}, {70, false}, {1000, true}, {70, false},
	} {
		if got := w.accept(c.number); got != c.accepted {
			t.Errorf("number %d is new: %v, want %v", c.number, got, c.accepted)
		}
	}
}
