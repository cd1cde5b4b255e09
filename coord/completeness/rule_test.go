package completeness_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"foxcross.dev/coord/completeness"
)

// TestVerdictsOfAllEvidence compares the verdict on each combination of evidence with a table.
func TestVerdictsOfAllEvidence(t *testing.T) {
	var b strings.Builder
	fmt.Fprintf(&b, "%-12s %-9s %-9s %-16s %-6s %s\n", "framing", "end", "upload", "tail", "gone", "verdict")
	for f := completeness.NoBody; f <= completeness.UntilClose; f++ {
		for e := completeness.InOrder; e <= completeness.Failed; e++ {
			for u := completeness.Accepted; u <= completeness.CutOff; u++ {
				for tail := completeness.Opaque; tail <= completeness.InsideEvent; tail++ {
					for _, gone := range []bool{false, true} {
						v := completeness.Judge(completeness.Evidence{Framing: f, End: e, Upload: u, Tail: tail}, func() bool { return gone })
						fmt.Fprintf(&b, "%-12s %-9s %-9s %-16s %-6t %s\n", f, e, u, tail, gone, v)
					}
				}
			}
		}
	}
	const path = "testdata/verdicts.golden"
	if os.Getenv("UPDATE_GOLDEN") != "" {
		if err := os.WriteFile(path, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if b.String() != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", b.String(), want)
	}
}

func ExampleJudge() {
	listening := func() bool { return false }
	cut := completeness.Evidence{Framing: completeness.UntilClose, Tail: completeness.InsideEvent}
	whole := completeness.Evidence{Framing: completeness.UntilClose, Tail: completeness.BetweenEvents}
	page := completeness.Evidence{Framing: completeness.UntilClose}
	fmt.Println(completeness.Judge(cut, listening), completeness.Judge(whole, listening), completeness.Judge(page, listening))
	// Output: broken complete unproven
}
