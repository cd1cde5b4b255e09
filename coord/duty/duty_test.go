package duty_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"foxcross.dev/coord/duty"
)

const windowLength = 5 * time.Second

var start = time.Unix(1_000_000_000, 0) // start of a window

func ExampleWindowAt() {
	w := duty.WindowAt(start.Add(12*time.Second), windowLength)
	fmt.Println(w, w.End(windowLength).Sub(start))
	// Output: 200000002 15s
}

func TestTermsFor(t *testing.T) {
	got := duty.TermsFor(3*time.Second, 300*time.Millisecond, time.Second)
	want := duty.Terms{TTL: 1500 * time.Millisecond, Margin: 300 * time.Millisecond, Handover: 3 * time.Second}
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if ttl := duty.TermsFor(time.Second, 0, 2*time.Second).TTL; ttl != 2*time.Second {
		t.Errorf("requested a TTL of %v, shorter than the store's minimum", ttl)
	}
	if unknown := duty.TermsFor(0, time.Minute, 0); unknown.TTL != time.Second || unknown.Margin != 500*time.Millisecond {
		t.Errorf("terms without bounds: %+v", unknown)
	}
}

// TestLeaseExpiresAtHolderFirst checks that the holder counts the lease from before the call and
// ends it a margin earlier.
func TestLeaseExpiresAtHolderFirst(t *testing.T) {
	terms := duty.Terms{TTL: 2 * time.Second, Margin: 300 * time.Millisecond, Handover: time.Second}
	requestedAt := time.Now()
	writtenAt := requestedAt.Add(500 * time.Millisecond)
	l := duty.Lease{}.WithGrant("a", 7, requestedAt, writtenAt, terms)
	for _, c := range []struct {
		after     time.Duration // after requestedAt
		held, act bool
	}{
		{1499 * time.Millisecond, true, false},
		{1500 * time.Millisecond, true, true},
		{1699 * time.Millisecond, true, true},
		{1700 * time.Millisecond, false, false},
	} {
		if now := requestedAt.Add(c.after); l.Held(now) != c.held || l.MayAct(now) != c.act {
			t.Errorf("after %v: held %v, may act %v", c.after, l.Held(now), l.MayAct(now))
		}
	}
	renewed := l.WithRenewal(requestedAt.Add(time.Second), terms)
	if at := requestedAt.Add(2699 * time.Millisecond); !renewed.MayAct(at) || renewed.MayAct(at.Add(time.Millisecond)) {
		t.Error("a renewed lease does not run from the request for the renewal")
	}
	if (duty.Lease{}).Held(requestedAt) {
		t.Error("the zero lease is held")
	}
}

func TestElectionDue(t *testing.T) {
	now := time.Now()
	terms := duty.TermsFor(3*time.Second, 300*time.Millisecond, time.Second)
	noHolder := duty.Situation{Eligible: true}
	e := duty.Election{Terms: terms}
	if e.Due(now, duty.Situation{}) != duty.Wait || e.Due(now, duty.Situation{Eligible: true, OtherHolder: true}) != duty.Wait {
		t.Error("tries while not eligible or while there is a live holder")
	}
	if e.Due(now, noHolder) != duty.Try {
		t.Error("does not try while there is no holder")
	}
	e.AttemptFailed(now)
	if e.Due(now.Add(499*time.Millisecond), noHolder) != duty.Wait || e.Due(now.Add(500*time.Millisecond), noHolder) != duty.Try {
		t.Error("does not wait attemptInterval between attempts")
	}
	e.Won(duty.Lease{}.WithGrant("a", 7, now, now, terms), now)
	if e.Due(now.Add(400*time.Millisecond), duty.Situation{}) != duty.Wait || e.Due(now.Add(500*time.Millisecond), duty.Situation{}) != duty.Renew {
		t.Error("does not renew after a third of the lease")
	}
	e.RenewalFailed(now.Add(time.Second))
	if e.Due(now.Add(9*time.Second), noHolder) != duty.Renew {
		t.Error("gives up a lease that the store may still hold")
	}
	late := now.Add(12 * time.Second)
	if e.Due(late, noHolder) != duty.GiveUp {
		t.Error("keeps a lease that expired more than giveUpAfter ago")
	}
	e.Lost(late)
	if e.Lease.Fence != 0 || e.Due(late.Add(499*time.Millisecond), noHolder) != duty.Wait || e.Due(late.Add(500*time.Millisecond), noHolder) != duty.Try {
		t.Error("keeps the lease, or does not wait attemptInterval, after the lease was lost")
	}
}

func TestTallyStatesChangedWindows(t *testing.T) {
	tally := duty.Tally{Owner: 1, Length: windowLength}
	at := start.Add(windowLength - time.Second)
	tally.Count("a", at)
	tally.Count("a", at)
	tally.Count("b", at)
	formatWindows := func(s duty.Statement) (all []string) {
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
		if got := formatWindows(tally.Statement(at.Add(c.after), c.all)); !slices.Equal(got, c.want) {
			t.Errorf("after %v stated %v, want %v", c.after, got, c.want)
		}
	}
}

// TestStatedWindowStaysComplete checks that a request whose true time lies slightly before the
// last statement counts in a window that is not yet stated as complete.
func TestStatedWindowStaysComplete(t *testing.T) {
	tally := duty.Tally{Owner: 1, Length: windowLength}
	tally.Statement(start.Add(windowLength+time.Millisecond), false)
	tally.Count("a", start.Add(windowLength-time.Millisecond))
	s := tally.Statement(start.Add(windowLength+2*time.Millisecond), false)
	if len(s.Windows) != 1 || s.Windows[0].Window != duty.WindowAt(start.Add(windowLength), windowLength) {
		t.Errorf("counted in %v", s.Windows)
	}
	tally.Count("a", start.Add(-windowLength)) // the clock was set back by more than a window
	if s := tally.Statement(start.Add(windowLength+3*time.Millisecond), true); len(s.Windows) != 2 {
		t.Errorf("counted in %v", s.Windows)
	}
}

// statement returns the statement of an owner for the window that begins at start.
func statement(owner uint64, through time.Duration, total int64, c duty.Counts) duty.Statement {
	return duty.Statement{Owner: owner, Through: start.Add(through), Windows: []duty.WindowCounts{
		{Window: duty.WindowAt(start, windowLength), Total: total, Counts: c},
	}}
}

func TestLedgerClosableWindows(t *testing.T) {
	w := duty.WindowAt(start, windowLength)
	live := []uint64{1, 2}
	afterEnd := start.Add(windowLength + time.Second)
	for _, c := range []struct {
		name       string
		statements []duty.Statement
		now        time.Time
		closable   bool
	}{
		{"before the end of the window", []duty.Statement{statement(1, windowLength, 1, duty.Counts{"a": 1}), statement(2, windowLength, 0, nil)}, start.Add(windowLength - 1), false},
		{"complete statements of all", []duty.Statement{statement(1, windowLength, 1, duty.Counts{"a": 1}), statement(2, windowLength, 0, nil)}, afterEnd, true},
		{"one has not counted through the end", []duty.Statement{statement(1, windowLength, 1, duty.Counts{"a": 1}), statement(2, windowLength-1, 0, nil)}, afterEnd, false},
		{"one statement is incomplete", []duty.Statement{statement(1, windowLength, 2, duty.Counts{"a": 1}), statement(2, windowLength, 0, nil)}, afterEnd, false},
		{"one missing after settleFor", []duty.Statement{statement(1, windowLength, 1, duty.Counts{"a": 1})}, afterEnd.Add(2 * time.Second), true},
		{"ended more than closeWithin ago", []duty.Statement{statement(1, windowLength, 1, duty.Counts{"a": 1})}, afterEnd.Add(time.Hour), false},
		{"no statements", nil, afterEnd, false},
	} {
		l := duty.Ledger{Length: windowLength}
		for _, s := range c.statements {
			l.Merge(s)
		}
		if got := slices.Contains(l.Closable(c.now, live), w); got != c.closable {
			t.Errorf("%s: closable %v", c.name, got)
		}
	}
}

// TestLedgerSumIgnoresOrder checks that repeated and reordered statements give the same sum.
func TestLedgerSumIgnoresOrder(t *testing.T) {
	w := duty.WindowAt(start, windowLength)
	l := duty.Ledger{Length: windowLength}
	l.Restore(w, duty.Account{Owners: map[uint64]duty.Counts{3: {"c": 5}, 1: {"a": 1}}}) // process 3 has died
	for _, s := range []duty.Statement{
		statement(1, windowLength, 4, duty.Counts{"a": 3, "b": 1}),
		statement(1, 0, 1, duty.Counts{"a": 1}),
		statement(2, 0, 2, duty.Counts{"b": 2}),
		statement(2, 0, 2, duty.Counts{"b": 2}),
	} {
		l.Merge(s)
	}
	want := duty.Counts{"a": 3, "b": 3, "c": 5}
	if got := l.Account(w).Sum(); !maps.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestClosedWindowsNeverChange checks that late statements and records of an earlier holder do not
// change a closed window.
func TestClosedWindowsNeverChange(t *testing.T) {
	w := duty.WindowAt(start, windowLength)
	l := duty.Ledger{Length: windowLength}
	l.Merge(statement(1, 0, 1, duty.Counts{"a": 1}))
	l.Close(w, duty.Counts{"a": 1})
	l.Merge(statement(1, 0, 2, duty.Counts{"a": 2}))
	l.Restore(w, duty.Account{Owners: map[uint64]duty.Counts{1: {"a": 9}}})
	l.Restore(w, duty.Account{Closed: duty.Counts{"a": 9}})
	if got := l.Account(w).Sum(); !maps.Equal(got, duty.Counts{"a": 1}) {
		t.Errorf("closed counts changed to %v", got)
	}
	if got := l.Unreported(); !slices.Equal(got, []duty.Window{w}) {
		t.Errorf("unreported windows: %v", got)
	}
	l.MarkReported(w)
	if len(l.Unreported()) > 0 || !slices.Equal(l.Unwritten(), []duty.Window{w}) {
		t.Error("a reported window is still unreported, or is not unwritten")
	}
	l.Restore(w, duty.Account{Closed: duty.Counts{"a": 1}})
	if len(l.Unreported()) > 0 {
		t.Error("a reported window is unreported again")
	}
	l.MarkWritten(w, l.Account(w))
	if len(l.Unwritten()) > 0 {
		t.Error("a written window is still unwritten")
	}
}
