package peers

import "testing"

func TestWindowTellsRepetitionsApart(t *testing.T) {
	var w window
	for _, c := range []struct {
		number uint64
		first  bool
	}{
		{1, true}, {1, false}, {3, true}, {2, true}, {2, false}, {3, false},
		{70, true}, {69, true}, {7, true}, {6, false}, {3, false}, {70, false}, {1000, true}, {70, false},
	} {
		if got := w.first(c.number); got != c.first {
			t.Errorf("number %d is seen for the first time: %v, want %v", c.number, got, c.first)
		}
	}
}
