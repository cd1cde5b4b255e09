package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"foxcross.dev/coord/quarantine"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time so many seconds after the start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// key returns the key of the content with a name.
func key(name string) quarantine.Key { return quarantine.KeyOf("studio-1", "POST", name, nil) }

// crash records a crash of an endpoint that had started to run the contents a tenth of a second
// earlier.
func crash(t *quarantine.Table, endpoint string, seconds float64, contents ...string) []quarantine.Key {
	var runs []quarantine.Run
	for _, c := range contents {
		runs = append(runs, quarantine.Run{Content: key(c), Started: at(seconds - 0.1)})
	}
	return t.RecordCrash(endpoint, at(seconds), 0, runs...)
}

func held(t *quarantine.Table, seconds float64, content string) bool {
	return t.Verdict(at(seconds), key(content)).Held
}

func ExampleTable() {
	var t quarantine.Table
	for n, endpoint := range []string{"i-1", "i-2", "i-3"} {
		crashed := start.Add(time.Duration(n) * time.Second)
		t.RecordCrash(endpoint, crashed, 0, quarantine.Run{Content: key("/plan/7"), Started: crashed.Add(-100 * time.Millisecond)})
	}
	now := start.Add(2 * time.Second)
	v := t.Verdict(now, key("/plan/7"))
	fmt.Println(v.Crashes, v.Held, v.Remaining)
	t.RecordSuccess(key("/plan/7"))
	fmt.Println(t.Verdict(now, key("/plan/7")).Held)
	// Output:
	// 3 true 1m0s
	// false
}

func TestHeldAfterThreeCrashes(t *testing.T) {
	var x quarantine.Table
	crash(&x, "i-1", 0, "bad")
	crash(&x, "i-2", 0.2, "bad")
	if held(&x, 0.2, "bad") {
		t.Error("held after two crashes")
	}
	if newlyHeld := crash(&x, "i-3", 0.4, "bad"); len(newlyHeld) != 1 || newlyHeld[0] != key("bad") {
		t.Errorf("the third crash reports %v as newly held", newlyHeld)
	}
	if again := crash(&x, "i-4", 0.6, "bad"); len(again) != 0 {
		t.Errorf("the fourth crash reports %v as newly held", again)
	}
	if held(&x, 0.6, "good") {
		t.Error("another content is held")
	}
}

// TestHoldsGrow checks the lengths of holds: a minute, then four times as long after each failed
// trial, at most an hour.
func TestHoldsGrow(t *testing.T) {
	var x quarantine.Table
	for n := range 2 {
		crash(&x, fmt.Sprint("i-", n), float64(n), "bad")
	}
	seconds := 2.0
	for trials, want := range []time.Duration{time.Minute, 4 * time.Minute, 16 * time.Minute, time.Hour, time.Hour} {
		crash(&x, fmt.Sprint("trial-", trials), seconds, "bad")
		v := x.Verdict(at(seconds), key("bad"))
		if v.Remaining != want {
			t.Errorf("after %d trials: held for %v, want %v", trials, v.Remaining, want)
		}
		seconds += v.Remaining.Seconds()
		x.Hold(key("bad"), v.Crashes, trials+1, at(seconds).Add(quarantine.TrialInterval))
	}
}

// TestAmbiguousHold checks that a content has one short hold if another content was in progress
// at each of its crashes, and a full hold if it has three crashes of its own.
func TestAmbiguousHold(t *testing.T) {
	var x quarantine.Table
	for n := range 3 {
		crash(&x, fmt.Sprint("i-", n), 2*float64(n), "one", "other")
	}
	for _, content := range []string{"one", "other"} {
		if v := x.Verdict(at(4), key(content)); !v.Held || v.Remaining < time.Second || v.Remaining > 3*time.Second {
			t.Errorf("%s: %+v", content, v)
		}
	}
	x.RecordSuccess(key("one"))
	if v := x.Verdict(at(4), key("other")); !v.Held || v.Remaining != time.Minute {
		t.Errorf("after the other content succeeded: %+v", v)
	}
	for n, content := range []string{"one", "one", "one", "one"} {
		crash(&x, fmt.Sprint("j-", n), 10+2*float64(n), content)
	}
	crash(&x, "trial", 20, "one", "other")
	x.Hold(key("other"), 4, 1, at(20))
	if v := x.Verdict(at(20), key("other")); v.Remaining != 4*time.Minute {
		t.Errorf("after a trial with the other content in progress: %+v", v)
	}
}

// TestCrashKeepsReportedHold guards against a hold reported by another process that is lost when
// this process records its first crash.
func TestCrashKeepsReportedHold(t *testing.T) {
	var x quarantine.Table
	x.Hold(key("reported"), 3, 0, at(60))
	crash(&x, "i-1", 1, "another")
	if !held(&x, 2, "reported") {
		t.Error("the reported hold is lost")
	}
}

func TestTrialIsDueAfterHold(t *testing.T) {
	var x quarantine.Table
	for n := range 3 {
		crash(&x, fmt.Sprint("i-", n), float64(n), "bad")
	}
	if v := x.Verdict(at(62), key("bad")); !v.Held || v.Remaining != 0 {
		t.Errorf("after a minute: %+v", v)
	}
	x.Hold(key("bad"), 3, 1, at(62).Add(quarantine.TrialInterval))
	if v := x.Verdict(at(63), key("bad")); !v.Held || v.Remaining != 4*time.Second {
		t.Errorf("during a trial: %+v", v)
	}
}

// TestCorrelatedCrashesCountOnce guards against a popular content that is held after a rack failed
// with all endpoints that ran it.
func TestCorrelatedCrashesCountOnce(t *testing.T) {
	var x quarantine.Table
	for n := range 20 {
		x.RecordCrash(fmt.Sprint("i-", n), at(10+float64(n)*0.04), 0, quarantine.Run{Content: key("popular"), Started: at(9)})
	}
	if v := x.Verdict(at(11), key("popular")); v.Held || v.Crashes != 1 {
		t.Errorf("20 endpoints that crash within 0.8 s: %+v", v)
	}
}

// TestRepeatedReportsCountOnce checks that crashes that happened together count once even if their
// reports are repeated. A late report gives a later crash time; without a correction a run that
// had just begun appears to have begun after the crash before.
func TestRepeatedReportsCountOnce(t *testing.T) {
	var x quarantine.Table
	for _, delay := range []float64{0, 0.01, 0.05} {
		for n := range 3 {
			r := quarantine.CrashReport{Endpoint: fmt.Sprint("i-", n), From: 7, Runs: []quarantine.RunReport{
				quarantine.ReportOf(quarantine.Run{Content: key("popular"), Started: at(9.99)}, at(10)),
			}}
			x.ApplyCrash(at(10+delay+0.001*float64(n)), r)
		}
	}
	if v := x.Verdict(at(10.1), key("popular")); v.Crashes != 1 {
		t.Errorf("three endpoints that crashed at the same time: %+v", v)
	}
}

// TestNoSuccessAfterCorrelatedCrashes checks that a content is tried with one request if endpoints
// that ran it crashed together and no run of it has succeeded within a second. It is not held
// until then.
func TestNoSuccessAfterCorrelatedCrashes(t *testing.T) {
	crashTogether := func(endpoints int) *quarantine.Table {
		x := &quarantine.Table{}
		for n := range endpoints {
			x.RecordCrash(fmt.Sprint("i-", n), at(10+float64(n)*0.01), 0, quarantine.Run{Content: key("correlated"), Started: at(9.9)})
		}
		return x
	}
	x := crashTogether(3)
	if held(x, 11, "correlated") {
		t.Error("held within a second")
	}
	if v := x.Verdict(at(11.02), key("correlated")); !v.Held || !v.Correlated || v.Remaining != 0 || v.Crashes != 3 {
		t.Errorf("after a second: %+v", v)
	}
	x.RecordTrial(key("correlated"), 1, at(11.02).Add(quarantine.TrialInterval))
	if v := x.Verdict(at(12.02), key("correlated")); !v.Held || v.Remaining != 4*time.Second {
		t.Errorf("during the trial: %+v", v)
	}
	x.RecordCrash("trial", at(12.1), 0, quarantine.Run{Content: key("correlated"), Started: at(12), KnownCrashes: 3})
	if v := x.Verdict(at(12.1), key("correlated")); v.Correlated || v.Crashes != 4 || v.Remaining < time.Minute {
		t.Errorf("after a failed trial: %+v", v)
	}
	if held(crashTogether(2), 60, "correlated") {
		t.Error("held after two crashes")
	}
	x = crashTogether(3)
	x.RecordSuccess(key("correlated"))
	if held(x, 60, "correlated") {
		t.Error("held after a success")
	}
}

// TestLongRunsCountSeparately checks that a content is held after its third crash if the crashes
// are more than a second apart, though its runs started before the first one.
func TestLongRunsCountSeparately(t *testing.T) {
	var x quarantine.Table
	for n := range 3 {
		x.RecordCrash(fmt.Sprint("i-", n), at(5+1.2*float64(n)), 0, quarantine.Run{Content: key("slow"), Started: at(float64(n) * 0.1)})
	}
	if !held(&x, 8, "slow") {
		t.Error("not held after three crashes, 1.2 s apart")
	}
}

// TestConcurrentContents checks the holds of contents that were in progress at the same crashes.
func TestConcurrentContents(t *testing.T) {
	const clear = time.Minute
	ambiguous := func(content string) time.Duration { // the same in every process
		return time.Second + 2*time.Second*time.Duration(key(content)[0])/256
	}
	for _, c := range []struct {
		name    string
		crashes [][]string               // contents in progress at each crash
		held    map[string]time.Duration // length of the hold from the last crash on, by content
	}{
		{"in progress at two of three crashes", [][]string{{"bad", "a"}, {"bad", "a"}, {"bad"}}, map[string]time.Duration{"bad": clear, "a": 0}},
		{"in progress at each crash", [][]string{{"bad", "a"}, {"bad", "a"}, {"bad", "a"}}, map[string]time.Duration{"bad": ambiguous("bad"), "a": ambiguous("a")}},
		{"in progress at three crashes, then three crashes without it", [][]string{{"bad", "a"}, {"bad", "a"}, {"bad", "a"}, {"bad"}, {"bad"}, {"bad"}}, map[string]time.Duration{"bad": clear, "a": 0}},
		{"in progress at crashes of two bad contents", [][]string{{"bad", "a"}, {"worse", "a"}, {"bad"}, {"worse"}, {"bad"}, {"worse"}}, map[string]time.Duration{"a": 0, "worse": clear}},
		{"several others at each of three crashes", [][]string{{"a", "b", "c", "bad"}, {"d", "e", "f", "bad"}, {"g", "h", "i", "bad"}}, map[string]time.Duration{"bad": clear, "a": 0, "e": 0, "i": 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var x quarantine.Table
			for n, contents := range c.crashes {
				crash(&x, fmt.Sprint("i-", n), float64(n), contents...)
			}
			for content, want := range c.held {
				if got := x.Verdict(at(float64(len(c.crashes)-1)), key(content)).Remaining; got != want {
					t.Errorf("%s: held for %v, want %v", content, got, want)
				}
			}
		})
	}
}

// TestSuccessClears checks that a success clears the crashes before it, even if they are reported
// again or late.
func TestSuccessClears(t *testing.T) {
	var x quarantine.Table
	reportAll := func() {
		for n := range 3 {
			crash(&x, fmt.Sprint("i-", n), float64(n), "popular")
		}
	}
	reportAll()
	if !x.RecordSuccess(key("popular")) || held(&x, 3, "popular") || !x.Empty() {
		t.Error("not cleared")
	}
	reportAll()
	if held(&x, 3, "popular") || !x.Empty() {
		t.Error("held after repeated reports of cleared crashes")
	}
	if x.RecordSuccess(key("popular")) {
		t.Error("a second success clears something")
	}
	for n := range 3 {
		crash(&x, fmt.Sprint("j-", n), 4+float64(n), "popular")
	}
	if !held(&x, 7, "popular") {
		t.Error("not held after three crashes since the success")
	}
}

// TestSameCrashFromManyEntries checks that a crash counts once, whatever the number of entries
// that report it.
func TestSameCrashFromManyEntries(t *testing.T) {
	var x quarantine.Table
	for n := range 10 {
		x.RecordCrash("i-1", at(1+float64(n)*0.01), uint64(n), quarantine.Run{Content: key("bad"), Started: at(0.9)})
	}
	if v := x.Verdict(at(2), key("bad")); v.Crashes != 1 {
		t.Errorf("one crash of an endpoint counts %d times", v.Crashes)
	}
}

func TestUnansweredRuns(t *testing.T) {
	var x quarantine.Table
	run := func(name string) quarantine.Run { return quarantine.Run{Content: key(name), Started: at(0)} }
	x.RecordUnanswered(at(1), "i-1", run("old"))
	x.RecordUnanswered(at(5), "i-1", run("recent"))
	x.RecordUnanswered(at(5), "i-2", run("elsewhere"))
	if got := x.UnansweredAt(at(6)); len(got) != 2 {
		t.Errorf("runs without a response at %v", got)
	}
	got := x.TakeUnanswered(at(10), "i-1")
	if len(got) != 1 || got[0].Content != key("recent") {
		t.Errorf("in progress at the crash: %v", got)
	}
	if again := x.TakeUnanswered(at(10), "i-1"); len(again) != 0 {
		t.Errorf("in progress at a second crash: %v", again)
	}
}

func TestExpire(t *testing.T) {
	var x quarantine.Table
	crash(&x, "i-1", 0, "bad")
	x.Hold(key("reported"), 3, 0, at(60))
	x.Expire(at(7000))
	if x.Empty() {
		t.Error("removed before two hours have passed")
	}
	x.Expire(at(7300))
	if !x.Empty() {
		t.Error("not removed after two hours")
	}
}

// TestMemoryIsBounded records more crashes, with more contents each, than a table stores.
func TestMemoryIsBounded(t *testing.T) {
	const crashes, contents, maxCrashes, maxRuns = 300, 150, 256, 128
	var x quarantine.Table
	for n := range crashes {
		var names []string
		for c := range contents {
			names = append(names, fmt.Sprint(n, "/", c))
		}
		crash(&x, fmt.Sprint("i-", n), float64(n), names...)
	}
	s := x.Snapshot(at(crashes), 1)
	if len(s.Crashes) != maxCrashes || len(s.Crashes[0].Runs) != maxRuns {
		t.Errorf("%d crashes of %d contents are stored", len(s.Crashes), len(s.Crashes[0].Runs))
	}
	if known, held := x.Counts(at(crashes)); known != maxCrashes*maxRuns || held != 0 {
		t.Errorf("%d contents are stored, %d held", known, held)
	}
}
