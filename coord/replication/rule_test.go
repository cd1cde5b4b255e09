package replication_test

import (
	"fmt"
	"testing"
	"time"

	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/replication"
)

func ExampleWorthwhile() {
	rate := memory.Rate{TokenBytes: 18_432, LinkMbps: 740_000}
	chat := replication.Input{PromptTokens: 1_460, MemoryTokens: 565_931, FirstEventTarget: 600 * time.Millisecond, Rate: rate}
	summary := replication.Input{PromptTokens: 8_000, MemoryTokens: 565_931, FirstEventTarget: 2 * time.Second, Rate: rate}
	fmt.Println(replication.Worthwhile(chat), replication.Worthwhile(summary))
	summary.Crashing = true
	fmt.Println(replication.Worthwhile(summary))
	// Output:
	// true false
	// true
}

func TestNoCopyOfWhatIsNotLost(t *testing.T) {
	rate := memory.Rate{TokenBytes: 18_432, LinkMbps: 740_000}
	for name, i := range map[string]replication.Input{
		"may be repeated":            {Repeatable: true, PromptTokens: 100, MemoryTokens: 500_000, Rate: rate, Crashing: true},
		"no prompt":                  {MemoryTokens: 500_000, Rate: rate, Crashing: true},
		"no link between engines":    {PromptTokens: 100, MemoryTokens: 500_000, Crashing: true},
		"unknown memory":             {PromptTokens: 100, Rate: rate, Crashing: true},
		"too large for the memory":   {PromptTokens: 20_000, MemoryTokens: 500_000, Rate: rate, Crashing: true},
		"longer than the run's wait": {PromptTokens: 8_000, MemoryTokens: 500_000, FirstEventTarget: 10 * time.Millisecond, Rate: rate, Crashing: true},
	} {
		if replication.Worthwhile(i) {
			t.Errorf("%s: gets a copy", name)
		}
	}
}

func TestCrashOfOneEngineCountsOnceAndExpires(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var c replication.Crashes
	c.Record(now, "i-1")
	c.Record(now.Add(time.Second), "i-1")
	c.Record(now.Add(time.Second), "i-2")
	if n := c.Recent(now.Add(2 * time.Second)); n != 2 {
		t.Errorf("%d crashes, want 2", n)
	}
	if !c.Includes(now.Add(2*time.Second), "i-1") || c.Includes(now.Add(2*time.Second), "i-3") {
		t.Error("does not tell the engines that have crashed from others")
	}
	if n := c.Recent(now.Add(time.Minute)); n != 0 {
		t.Errorf("%d crashes after a minute, want 0", n)
	}
}

func TestCrashesAreBounded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var c replication.Crashes
	for n := range 10_000 {
		c.Record(now, fmt.Sprint(n))
	}
	if n := c.Recent(now); n > 100 {
		t.Errorf("%d crashes are kept", n)
	}
}

func TestFollows(t *testing.T) {
	for _, c := range []struct {
		last, next string
		want       bool
	}{
		{"7", "8", true}, {"7", "14", true}, {"7", "7", false}, {"7", "6", false}, {"", "1", true}, {"7", "", false}, {"a", "b", false}, {"9", "10", true},
	} {
		if got := replication.Follows(c.last, c.next); got != c.want {
			t.Errorf("Follows(%q, %q) = %v", c.last, c.next, got)
		}
	}
}
