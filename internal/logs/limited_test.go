package logs

import (
	"testing"
	"time"
)

func TestLinesOfAKindAreLimited(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	if n, ok := allow("a", now); !ok || n != 0 {
		t.Errorf("the first line: %d, %t", n, ok)
	}
	for range 3 {
		if _, ok := allow("a", now.Add(minInterval/2)); ok {
			t.Error("a line within the interval was allowed")
		}
	}
	if _, ok := allow("b", now); !ok {
		t.Error("a line of another kind was dropped")
	}
	if n, ok := allow("a", now.Add(minInterval)); !ok || n != 3 {
		t.Errorf("the next line: %d dropped, %t", n, ok)
	}
}
