package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"foxcross.dev/coord/quarantine"

	"pgregory.net/rapid"
)

func TestSnapshot(t *testing.T) {
	var from, to quarantine.Table
	for n := range 3 {
		crash(&from, fmt.Sprint("i-", n), float64(n), "bad", fmt.Sprint("other-", n))
	}
	from.RecordSuccess(key("other-1"))
	from.Hold(key("reported"), 4, 1, at(100))
	to.Merge(at(10), from.Snapshot(at(10), 7))
	for _, content := range []string{"bad", "other-0", "other-1", "reported"} {
		want, got := from.Verdict(at(10), key(content)), to.Verdict(at(10), key(content))
		if got != want {
			t.Errorf("%s: %+v, was %+v", content, got, want)
		}
	}
	for _, s := range to.States(at(10)) {
		if s.Content == key("bad") && !slices.Equal(s.ReportedBy, []uint64{7, 7, 7}) {
			t.Errorf("the crashes were reported by %v", s.ReportedBy)
		}
	}
}

// TestRetriesWithMillisecondReports checks that all entries count the same crashes if an entry
// retries within 1 ms of a crash. The reports have a resolution of 1 ms and take 1 to 40 ms to
// arrive; by their times alone the others would count two crashes instead of three.
func TestRetriesWithMillisecondReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var own, other quarantine.Table
		now := start
		for n := range 3 {
			started := now.Add(time.Duration(rapid.IntRange(50, 900).Draw(t, "us after the crash")) * time.Microsecond)
			now = started.Add(time.Duration(rapid.IntRange(20, 200).Draw(t, "ms from start to crash")) * time.Millisecond)
			r := quarantine.Run{Content: key("bad"), Started: started, KnownCrashes: own.Verdict(started, key("bad")).Crashes}
			own.RecordCrash(fmt.Sprint("i-", n), now, 0, r)
			transit := time.Duration(rapid.IntRange(1, 40).Draw(t, "ms of transit")) * time.Millisecond
			other.ApplyCrash(now.Add(transit), quarantine.CrashReport{
				Endpoint: fmt.Sprint("i-", n), Runs: []quarantine.RunReport{quarantine.ReportOf(r, now)},
			})
		}
		var fromSnapshot quarantine.Table
		fromSnapshot.Merge(now, own.Snapshot(now, 1))
		for name, x := range map[string]*quarantine.Table{"own": &own, "other": &other, "snapshot": &fromSnapshot} {
			if n := x.Verdict(now, key("bad")).Crashes; n != 3 {
				t.Errorf("%s: %d crashes are counted", name, n)
			}
		}
	})
}

// TestOrderOfReportsDoesNotMatter checks that tables return the same verdicts whatever the order of
// the reports, and if some are repeated. Reports reach entries on different paths.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type crashReport struct {
			endpoint int
			content  int
		}
		const endpoints = 8
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) crashReport {
			return crashReport{rapid.IntRange(0, endpoints-1).Draw(t, "endpoint"), rapid.IntRange(0, 4).Draw(t, "content")}
		}), 1, 40).Draw(t, "reports")
		gaps := rapid.SliceOfN(rapid.IntRange(1, 3000), endpoints, endpoints).Draw(t, "gaps")
		crashed := make([]float64, endpoints)
		for n := 1; n < endpoints; n++ {
			crashed[n] = crashed[n-1] + float64(gaps[n])/1000
		}
		apply := func(all []crashReport) *quarantine.Table {
			var x quarantine.Table
			for _, r := range all {
				crash(&x, fmt.Sprint("i-", r.endpoint), crashed[r.endpoint], fmt.Sprint(r.content))
			}
			return &x
		}
		first := apply(reports)
		again := append(rapid.Permutation(reports).Draw(t, "order"), reports[:len(reports)/2]...)
		second := apply(again)
		now := crashed[endpoints-1]
		for c := range 5 {
			if a, b := first.Verdict(at(now), key(fmt.Sprint(c))), second.Verdict(at(now), key(fmt.Sprint(c))); a != b {
				t.Fatalf("content %d: %+v, and in another order %+v", c, a, b)
			}
		}
	})
}

// TestMergeReturnsNewDataOnce checks that Merge returns exactly the data that was new. Otherwise
// processes would forward the same data to each other without end.
func TestMergeReturnsNewDataOnce(t *testing.T) {
	var from, to quarantine.Table
	crash(&from, "i-1", 1, "bad")
	from.Hold(key("reported"), 3, 1, at(100))
	snapshot := from.Snapshot(at(2), 7)
	if _, added := to.Merge(at(2), snapshot); len(added.Crashes) != 1 || len(added.Holds) != 1 {
		t.Errorf("new data: %+v", added)
	}
	if _, added := to.Merge(at(2.1), snapshot); !added.Empty() {
		t.Errorf("known data returned as new: %+v", added)
	}
	crash(&from, "i-1", 1, "other")
	if _, added := to.Merge(at(3), from.Snapshot(at(3), 7)); len(added.Crashes) != 1 {
		t.Errorf("new run at a known crash: %+v", added)
	}
	k := key("bad")
	cleared := quarantine.Snapshot{Cleared: [][]byte{k[:], []byte("no key")}}
	if _, added := to.Merge(at(4), cleared); len(added.Cleared) != 1 {
		t.Errorf("cleared content: %+v", added)
	}
	if _, added := to.Merge(at(4), cleared); !added.Empty() {
		t.Errorf("content cleared again: %+v", added)
	}
	if _, added := to.Merge(at(5), from.Snapshot(at(5), 7)); len(added.Crashes) != 0 || held(&to, 5, "bad") {
		t.Errorf("crashes of a cleared content returned as new: %+v", added)
	}
}

// FuzzReports merges invalid reports.
func FuzzReports(f *testing.F) {
	f.Add([]byte("0123456789abcdef"), int64(5), int64(-5), 3)
	f.Add([]byte("short"), int64(1<<62), int64(1<<62), -1)
	f.Add([]byte(nil), int64(-1<<63), int64(-1<<63), 1<<30)
	f.Fuzz(func(t *testing.T, content []byte, age, ran int64, crashes int) {
		var x quarantine.Table
		snapshot := quarantine.Snapshot{
			Crashes: []quarantine.CrashReport{{Endpoint: "i-1", AgeMS: age, Runs: []quarantine.RunReport{{Content: content, RanMS: ran}}}},
			Holds:   []quarantine.HoldReport{{Content: content, Crashes: crashes, ForMS: age}},
		}
		x.Merge(at(0), snapshot)
		if _, again := x.Merge(at(0), snapshot); !again.Empty() {
			t.Errorf("known data returned as new: %+v", again)
		}
		for _, s := range x.States(at(0)) {
			if s.ForMS > time.Hour.Milliseconds() || s.ForMS < 0 {
				t.Errorf("a content is held for %d ms", s.ForMS)
			}
		}
		x.Expire(at(0))
	})
}
