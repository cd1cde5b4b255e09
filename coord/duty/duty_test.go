package duty_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"foxcross.dev/coord/duty"
)

const length = 5 * time.Second

var start = time.Unix(1_000_000_000, 0) // the beginning of a window

func ExampleWindowAt() {
	w := duty.WindowAt(start.Add(12*time.Second), length)
	fmt.Println(w, w.End(length).Sub(start))
	// Output: 200000002 15s
}

func TestTermsFor(t *testing.T) {
	got := duty.TermsFor(3*time.Second, 300*time.Millisecond, time.Second)
	want := duty.Terms{TTL: 1500 * time.Millisecond, Margin: 300 * time.Millisecond, Handover: 3 * time.Second}
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if least := duty.TermsFor(time.Second, 0, 2*time.Second).TTL; least != 2*time.Second {
		t.Errorf("a lease of %v is asked for, less than the store grants", least)
	}
	if unknown := duty.TermsFor(0, time.Minute, 0); unknown.TTL != time.Second || unknown.Margin != 500*time.Millisecond {
		t.Errorf("without bounds the terms are %+v", unknown)
	}
}

// TestLeaseIsOverForItsHolderFirst counts from before the call and stops by the margin.
func TestLeaseIsOverForItsHolderFirst(t *testing.T) {
	terms := duty.Terms{TTL: 2 * time.Second, Margin: 300 * time.Millisecond, Handover: time.Second}
	asked := time.Now()
	won := asked.Add(500 * time.Millisecond)
	l := duty.Lease{}.WithGrant("a", 7, asked, won, terms)
	for _, c := range []struct {
		at        time.Duration // after asked
		held, act bool
	}{
		{1499 * time.Millisecond, true, false},
		{1500 * time.Millisecond, true, true},
		{1699 * time.Millisecond, true, true},
		{1700 * time.Millisecond, false, false},
	} {
		if now := asked.Add(c.at); l.Held(now) != c.held || l.MayAct(now) != c.act {
			t.Errorf("after %v: held %v, may act %v", c.at, l.Held(now), l.MayAct(now))
		}
	}
	renewed := l.WithRenewal(asked.Add(time.Second), terms)
	if at := asked.Add(2699 * time.Millisecond); !renewed.MayAct(at) || renewed.MayAct(at.Add(time.Millisecond)) {
		t.Error("a renewed lease does not run from when the renewal was asked for")
	}
	if (duty.Lease{}).Held(asked) {
		t.Error("the zero lease is held")
	}
}

func TestElectionMoves(t *testing.T) {
	now := time.Now()
	terms := duty.TermsFor(3*time.Second, 300*time.Millisecond, time.Second)
	free := duty.Situation{Eligible: true}
	e := duty.Election{Terms: terms}
	if e.Due(now, duty.Situation{}) != duty.Rest || e.Due(now, duty.Situation{Eligible: true, Heard: true}) != duty.Rest {
		t.Error("tries though it may not, or hears of a holder")
	}
	if e.Due(now, free) != duty.Try {
		t.Error("does not try")
	}
	e.Tried(now)
	if e.Due(now.Add(499*time.Millisecond), free) != duty.Rest || e.Due(now.Add(500*time.Millisecond), free) != duty.Try {
		t.Error("does not wait for the next try")
	}
	e.Won(duty.Lease{}.WithGrant("a", 7, now, now, terms), now)
	if e.Due(now.Add(400*time.Millisecond), duty.Situation{}) != duty.Rest || e.Due(now.Add(500*time.Millisecond), duty.Situation{}) != duty.Renew {
		t.Error("does not renew after a third of the lease")
	}
	e.RenewalFailed(now.Add(time.Second))
	if e.Due(now.Add(9*time.Second), free) != duty.Renew {
		t.Error("gives up a lease that the store may still keep")
	}
	late := now.Add(12 * time.Second)
	if e.Due(late, free) != duty.GiveUp {
		t.Error("keeps a lease that was over for long")
	}
	e.Lost(late)
	if e.Lease.Fence != 0 || e.Due(late.Add(499*time.Millisecond), free) != duty.Rest || e.Due(late.Add(500*time.Millisecond), free) != duty.Try {
		t.Error("does not give up a lease that is long over")
	}
}

func TestTallyTellsWhatChanged(t *testing.T) {
	tally := duty.Tally{Owner: 1, Length: length}
	at := start.Add(length - time.Second)
	tally.Count("a", at)
	tally.Count("a", at)
	tally.Count("b", at)
	windowsOf := func(s duty.Statement) (all []string) {
		for _, w := range s.Windows {
			all = append(all, fmt.Sprint(w.Window, w.Total, w.Counts))
		}
		slices.Sort(all)
		return all
	}
	first := "200000000 3 map[a:2 b:1]"
	for _, c := range []struct {
		after time.Duration
		all   bool
		want  []string
	}{
		{0, false, []string{first}},
		{2 * time.Second, false, []string{first}},
		{3 * time.Second, false, nil},
		{3 * time.Second, true, []string{first}},
		{3 * time.Minute, true, nil},
	} {
		if got := windowsOf(tally.State(at.Add(c.after), c.all)); !slices.Equal(got, c.want) {
			t.Errorf("after %v told %v, want %v", c.after, got, c.want)
		}
	}
}

// TestToldWindowStaysComplete counts a request whose true time goes back a little where it
// can still count.
func TestToldWindowStaysComplete(t *testing.T) {
	tally := duty.Tally{Owner: 1, Length: length}
	tally.State(start.Add(length+time.Millisecond), false)
	tally.Count("a", start.Add(length-time.Millisecond))
	s := tally.State(start.Add(length+2*time.Millisecond), false)
	if len(s.Windows) != 1 || s.Windows[0].Window != duty.WindowAt(start.Add(length), length) {
		t.Errorf("counted in %v", s.Windows)
	}
	tally.Count("a", start.Add(-length)) // by a clock that was put right
	if s := tally.State(start.Add(length+3*time.Millisecond), true); len(s.Windows) != 2 {
		t.Errorf("counted in %v", s.Windows)
	}
}

// statement is what an owner says of the window that begins at start.
func statement(owner uint64, through time.Duration, total int64, c duty.Counts) duty.Statement {
	return duty.Statement{Owner: owner, Through: start.Add(through), Windows: []duty.WindowCounts{
		{Window: duty.WindowAt(start, length), Total: total, Counts: c},
	}}
}

func TestLedgerClosesWhatIsComplete(t *testing.T) {
	w := duty.WindowAt(start, length)
	live := []uint64{1, 2}
	ended := start.Add(length + time.Second)
	for _, c := range []struct {
		name       string
		statements []duty.Statement
		now        time.Time
		ripe       bool
	}{
		{"before its end", []duty.Statement{statement(1, length, 1, duty.Counts{"a": 1}), statement(2, length, 0, nil)}, start.Add(length - 1), false},
		{"all have told", []duty.Statement{statement(1, length, 1, duty.Counts{"a": 1}), statement(2, length, 0, nil)}, ended, true},
		{"one has not told", []duty.Statement{statement(1, length, 1, duty.Counts{"a": 1}), statement(2, length-1, 0, nil)}, ended, false},
		{"one has told a part", []duty.Statement{statement(1, length, 2, duty.Counts{"a": 1}), statement(2, length, 0, nil)}, ended, false},
		{"one has not told for long", []duty.Statement{statement(1, length, 1, duty.Counts{"a": 1})}, ended.Add(2 * time.Second), true},
		{"too long ago", []duty.Statement{statement(1, length, 1, duty.Counts{"a": 1})}, ended.Add(time.Hour), false},
		{"nothing known", nil, ended, false},
	} {
		l := duty.Ledger{Length: length}
		for _, s := range c.statements {
			l.Take(s)
		}
		if got := slices.Contains(l.Ripe(c.now, live), w); got != c.ripe {
			t.Errorf("%s: ripe %v", c.name, got)
		}
	}
}

// TestStatementsInAnyOrder comes to the same sum, whichever is repeated or late.
func TestStatementsInAnyOrder(t *testing.T) {
	w := duty.WindowAt(start, length)
	l := duty.Ledger{Length: length}
	l.Restore(w, duty.Account{Owners: map[uint64]duty.Counts{3: {"c": 5}, 1: {"a": 1}}}) // 3 has died since
	for _, s := range []duty.Statement{
		statement(1, length, 4, duty.Counts{"a": 3, "b": 1}),
		statement(1, 0, 1, duty.Counts{"a": 1}),
		statement(2, 0, 2, duty.Counts{"b": 2}),
		statement(2, 0, 2, duty.Counts{"b": 2}),
	} {
		l.Take(s)
	}
	want := duty.Counts{"a": 3, "b": 3, "c": 5}
	if got := l.Account(w).Sum(); !maps.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestClosedWindowsNeverChange passes over what comes late, also by a record.
func TestClosedWindowsNeverChange(t *testing.T) {
	w := duty.WindowAt(start, length)
	l := duty.Ledger{Length: length}
	l.Take(statement(1, 0, 1, duty.Counts{"a": 1}))
	l.Close(w, duty.Counts{"a": 1})
	l.Take(statement(1, 0, 2, duty.Counts{"a": 2}))
	l.Restore(w, duty.Account{Owners: map[uint64]duty.Counts{1: {"a": 9}}})
	l.Restore(w, duty.Account{Closed: duty.Counts{"a": 9}})
	if got := l.Account(w).Sum(); !maps.Equal(got, duty.Counts{"a": 1}) {
		t.Errorf("changed to %v", got)
	}
	if got := l.Unreported(); !slices.Equal(got, []duty.Window{w}) {
		t.Errorf("to be reported: %v", got)
	}
	l.Report(w)
	if len(l.Unreported()) > 0 || !slices.Equal(l.Unwritten(), []duty.Window{w}) {
		t.Error("a reported window is to be reported, or not to be written")
	}
	l.Restore(w, duty.Account{Closed: duty.Counts{"a": 1}})
	if len(l.Unreported()) > 0 {
		t.Error("a reported window is to be reported anew")
	}
	l.Written(w, l.Account(w))
	if len(l.Unwritten()) > 0 {
		t.Error("a written window is to be written")
	}
}
