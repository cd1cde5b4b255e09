package golden_test

import (
	"fmt"
	"testing"

	"foxcross.dev/foxcross/internal/testing/golden"
)

// failing records that a comparison failed.
type failing struct{ text string }

func (f *failing) Helper() {}

func (f *failing) Fatalf(format string, args ...any) { f.text = fmt.Sprintf(format, args...) }

func TestCompareFailsOnADifference(t *testing.T) {
	t.Setenv("UPDATE_GOLDEN", "")
	var f failing
	golden.Compare(&f, "no-such.golden", "")
	if f.text == "" {
		t.Error("a file that is missing was taken for equal")
	}
}

func ExampleKeys() {
	var f failing
	fmt.Print(golden.Keys(&f, []byte(`{"a":{"b":1},"list":[{"c":"x"},{"c":"y"}],"d":true}`)))
	// Output:
	// .a.b number
	// .d bool
	// .list[].c string
}
