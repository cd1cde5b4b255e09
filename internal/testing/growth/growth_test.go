package growth

import (
	"testing"
	"time"
)

// TestSpread checks the spread of a version over links that transfer it in a second each.
func TestSpread(t *testing.T) {
	c := Cost{StoreBytes: 1_250_000, PeerBytes: 125_000, PlainBytes: 1_000_000}
	f := Fleet{Entries: 2, LinkMbps: 10, Processor: 1}
	if got := Spread(c, f); got != time.Second {
		t.Errorf("readers have the version after %v", got)
	}
	f.Entries = 10
	want := time.Second + announceDelay + fetchDelay + 400*time.Millisecond
	if got := Spread(c, f); got != want {
		t.Errorf("eight others have the version after %v, want %v", got, want)
	}
	f.Entries = 11
	if got := Spread(c, f); got != want+announceDelay+fetchDelay+100*time.Millisecond {
		t.Errorf("a ninth has the version after %v", got)
	}
	if _, ok := FormerSpread(c, f); ok {
		t.Error("the former rule transferred 1 MB over 10 Mbit/s")
	}
}

// TestMeasure measures a version with 100 items that follows one with 90, and one that follows
// none.
func TestMeasure(t *testing.T) {
	for _, k := range []Kind{Routes, Teams} {
		c, err := Measure(k, 90, 100)
		if err != nil {
			t.Fatal(err)
		}
		all, err := Measure(k, 0, 100)
		if err != nil {
			t.Fatal(err)
		}
		if c.StoreBytes != all.StoreBytes || c.PeerBytes >= all.PeerBytes || all.PeerBytes >= all.PlainBytes {
			t.Errorf("%s: ten more %+v, all %+v", k, c, all)
		}
		if c.Read <= 0 || c.Encode <= 0 || c.Apply <= 0 {
			t.Errorf("%s: %+v", k, c)
		}
	}
}
