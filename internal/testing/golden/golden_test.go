package golden_test

import (
	"fmt"
	"testing"

	"foxcross.dev/foxcross/internal/testing/golden"
)

// recordingTest records the failure of a comparison.
type recordingTest struct{ text string }

func (f *recordingTest) Helper() {}

func (f *recordingTest) Fatalf(format string, args ...any) { f.text = fmt.Sprintf(format, args...) }

func TestCompareFailsOnADifference(t *testing.T) {
	t.Setenv("UPDATE_GOLDEN", "")
	var f recordingTest
	golden.Compare(&f, "no-such.golden", "")
	if f.text == "" {
		t.Error("a missing file did not fail the comparison")
	}
}

func ExampleKeys() {
	var f recordingTest
	fmt.Print(golden.Keys(&f, []byte(`{"a":{"b":1},"list":[{"c":"x"},{"c":"y"}],"d":true}`)))
	// Output:
	// .a.b number
	// .d bool
	// .list[].c string
}
