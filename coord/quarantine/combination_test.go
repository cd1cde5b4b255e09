package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"foxcross.dev/coord/quarantine"
)

var (
	sharedPart = quarantine.PartKey(partService, 0xaa) // of sound and crashing requests
	soundPart  = quarantine.PartKey(partService, 0xbb)
	deadlyPart = quarantine.PartKey(partService, 0xdead)
)

// crashUnder records a crash under one run with these parts.
func crashUnder(t *quarantine.Table, name string, at time.Time, known int, parts ...quarantine.Key) {
	var runs []quarantine.Run
	for _, k := range parts {
		runs = append(runs, quarantine.Run{Content: k, Started: at.Add(-20 * time.Millisecond), KnownCrashes: known, Source: quarantine.Source(at.UnixNano())})
	}
	t.RecordCrash(name, at, 0, runs...)
}

// heldParts returns a table in which the three parts are held, with a trial due at the time that it returns.
func heldParts() (*quarantine.Table, time.Time) {
	t := &quarantine.Table{}
	at := start
	for n := range 3 {
		at = start.Add(time.Duration(n) * 2 * time.Second)
		crashUnder(t, fmt.Sprint("i-", n), at, n, sharedPart, deadlyPart)
		crashUnder(t, fmt.Sprint("i-", n), at.Add(time.Millisecond), n, sharedPart, soundPart)
	}
	return t, at.Add(2 * time.Second)
}

// TestFailedTrialLeavesPartsToOtherRequests guards against a shared part that is held longer as a crashing request tried it.
func TestFailedTrialLeavesPartsToOtherRequests(t *testing.T) {
	table, now := heldParts()
	crashUnder(table, "i-4", now, 3, sharedPart, deadlyPart)
	if v := table.Verdict(now, sharedPart); !v.Held || v.Remaining > 0 {
		t.Errorf("the shared part may be tried in %v", v.Remaining)
	}
	if d := table.CombinationHold(now, []quarantine.Key{sharedPart, deadlyPart}); d != quarantine.TrialInterval {
		t.Errorf("the combination is held for %v", d)
	}
	if d := table.CombinationHold(now, []quarantine.Key{sharedPart, soundPart}); d > 0 {
		t.Errorf("another combination is held for %v", d)
	}
	now = now.Add(time.Second)
	table.RecordBegin(now, "i-5", sharedPart)
	table.RecordBegin(now, "i-5", soundPart)
	if table.Verdict(now, sharedPart).Held || table.Verdict(now, soundPart).Held {
		t.Error("parts that have begun are held")
	}
	if v := table.Verdict(now, deadlyPart); v.Remaining < 50*time.Second {
		t.Errorf("the cause is held for %v", v.Remaining)
	}
}

// TestCombinationIsHeldLongerAfterEachTrial guards against endless trials where all requests have the cause.
func TestCombinationIsHeldLongerAfterEachTrial(t *testing.T) {
	table, now := heldParts()
	tried := []quarantine.Key{sharedPart, deadlyPart}
	for n, want := range []time.Duration{5 * time.Second, 20 * time.Second, 80 * time.Second, 2 * time.Hour} {
		endpoint := fmt.Sprint("trial-", n)
		for range 3 { // the report is repeated
			crashUnder(table, endpoint, now, 3, tried...)
		}
		if d := table.CombinationHold(now, tried); d != want {
			t.Errorf("after %d trials held for %v, not %v", n+1, d, want)
		}
		now = now.Add(want)
	}
}

// TestBeginThatItsEndpointDoesNotOutliveKeepsCombination guards against a cause that writes before it crashes.
func TestBeginThatItsEndpointDoesNotOutliveKeepsCombination(t *testing.T) {
	table, now := heldParts()
	tried := []quarantine.Key{sharedPart, deadlyPart}
	crashUnder(table, "i-4", now, 3, tried...)
	now = now.Add(10 * time.Second)
	for _, k := range tried {
		table.RecordBegin(now, "i-5", k)
	}
	crashUnder(table, "i-5", now.Add(3*time.Millisecond), 3, tried...)
	if d := table.CombinationHold(now, tried); d < 20*time.Second {
		t.Errorf("held for %v after the second trial", d)
	}
}

// TestSnapshotHasFailedTrials guards against entries that start and try a combination again.
func TestSnapshotHasFailedTrials(t *testing.T) {
	table, now := heldParts()
	tried := []quarantine.Key{sharedPart, deadlyPart}
	crashUnder(table, "i-4", now, 3, tried...)
	var started quarantine.Table
	started.Merge(now, table.Snapshot(now, 1))
	if d := started.CombinationHold(now, tried); d != quarantine.TrialInterval {
		t.Errorf("the combination is held for %v", d)
	}
}
