// The usage of each window, at the holder of the duties and at the processes that may become it.
//
// Rule: the highest counts that a process stated apply, in whatever order its statements arrive.
// The counts that a process stated before it died stay. A window may be closed once every live
// process has stated that it has counted through the window's end and all messages of that
// statement have arrived, or settleFor after that end at the latest. The counts of a closed window
// never change: they are written to the store before they are sent, and only written counts are
// sent.
// Inputs: statements of all processes, records of an earlier holder, the live processes, the
// true time.
// Units: requests.
// Never: two reports of one window differ.

package duty

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// settleFor is how long after its end a window waits for missing statements. It covers several
// lost statements and the detection of a dead process.
const settleFor = 3 * time.Second

const (
	// closeWithin is how long after its end an open window may still be closed. It is longer
	// than the known outages; a later report is not billed.
	closeWithin = 5 * time.Minute
	// finishAfter is how long after its end the record of a reported window stays in the
	// store, so that no delayed statement opens the window again. It is twice closeWithin.
	finishAfter = 2 * closeWithin
)

// Account is the usage of one window. The zero value is empty.
type Account struct {
	Owners   map[uint64]Counts // by incarnation of the process, while the window is open
	Closed   Counts            // nil while the window is open
	Reported bool              // the platform has accepted the report
}

// Sum returns the counts over all processes, or the closed counts.
func (a Account) Sum() Counts {
	if a.Closed != nil {
		return a.Closed
	}
	sum := Counts{}
	for _, c := range a.Owners {
		sum = sum.Plus(c)
	}
	return sum
}

// Clone returns a copy that later changes of the account do not affect.
func (a Account) Clone() Account {
	a.Owners = maps.Clone(a.Owners) // a shallow copy: Counts are replaced, never changed
	return a
}

// Ledger holds the accounts of windows. Set Length; the zero value is empty. It is not safe
// for concurrent use.
type Ledger struct {
	Length         time.Duration // of a window
	accounts       map[Window]*account
	countedThrough map[uint64]time.Time // by owner, true time up to which it has counted
}

// account is an Account with the stated totals that show whether it is complete.
type account struct {
	Account
	totals  map[uint64]int64 // by owner, as stated
	changed bool             // since it was last written
}

// Merge merges the statement of a process. Counts of closed windows are ignored.
func (l *Ledger) Merge(s Statement) {
	if l.countedThrough == nil {
		l.countedThrough = map[uint64]time.Time{}
	}
	if s.Through.After(l.countedThrough[s.Owner]) {
		l.countedThrough[s.Owner] = s.Through
	}
	for _, w := range s.Windows {
		a := l.account(w.Window)
		if a.Closed != nil {
			continue
		}
		a.totals[s.Owner] = max(a.totals[s.Owner], w.Total)
		a.merge(s.Owner, w.Counts)
	}
}

// merge adds the counts of a process.
func (a *account) merge(owner uint64, c Counts) {
	before := a.Owners[owner]
	after := before.Union(c)
	if maps.Equal(before, after) {
		return
	}
	a.Owners[owner] = after
	a.changed = true
}

// Restore merges the account of a window that an earlier holder wrote.
func (l *Ledger) Restore(w Window, stored Account) {
	a := l.account(w)
	switch {
	case a.Reported: // its record is not written yet
		return
	case stored.Reported, stored.Closed != nil && a.open():
		a.Account = stored
		a.changed = false
		return
	case !a.open(): // closed counts never change
		return
	}
	for owner, c := range stored.Owners {
		a.merge(owner, c)
	}
}

func (l *Ledger) account(w Window) *account {
	if l.accounts == nil {
		l.accounts = map[Window]*account{}
	}
	a := l.accounts[w]
	if a == nil {
		a = &account{Account: Account{Owners: map[uint64]Counts{}}, totals: map[uint64]int64{}}
		l.accounts[w] = a
	}
	return a
}

// Windows returns all windows of the ledger, oldest first.
func (l *Ledger) Windows() []Window { return slices.Sorted(maps.Keys(l.accounts)) }

// Account returns a window's account.
func (l *Ledger) Account(w Window) Account {
	if a := l.accounts[w]; a != nil {
		return a.Account
	}
	return Account{}
}

// Unwritten returns the windows whose accounts have changed since they were written, oldest
// first.
func (l *Ledger) Unwritten() []Window {
	return l.filter(func(_ Window, a *account) bool { return a.changed })
}

// Closable returns the open windows that may be closed at a true time, oldest first: those whose
// counts are complete for each live process, and those that ended settleFor ago.
func (l *Ledger) Closable(now time.Time, live []uint64) []Window {
	return l.filter(func(w Window, a *account) bool {
		sinceEnd := now.Sub(w.End(l.Length))
		if !a.open() || len(a.Owners) == 0 || sinceEnd < 0 || sinceEnd > closeWithin {
			return false
		}
		return sinceEnd >= settleFor || l.complete(w, a, live)
	})
}

// Unreported returns the closed windows whose reports the platform has not accepted, oldest first.
func (l *Ledger) Unreported() []Window {
	return l.filter(func(_ Window, a *account) bool { return a.Closed != nil && !a.Reported })
}

// Finished returns the reported windows whose records are no longer needed, oldest first.
func (l *Ledger) Finished(now time.Time) []Window {
	return l.filter(func(w Window, a *account) bool { return a.Reported && now.Sub(w.End(l.Length)) > finishAfter })
}

// MarkWritten records that the store holds the given account of a window.
func (l *Ledger) MarkWritten(w Window, stored Account) {
	a := l.account(w)
	a.changed = !a.equal(stored)
}

func (a Account) equal(other Account) bool {
	return a.Reported == other.Reported && maps.Equal(a.Closed, other.Closed) &&
		maps.EqualFunc(a.Owners, other.Owners, func(a, b Counts) bool { return maps.Equal(a, b) })
}

// Close closes a window with the given counts, which the store holds.
func (l *Ledger) Close(w Window, c Counts) {
	a := l.account(w)
	a.Account = Account{Closed: c}
	a.changed = false
}

// MarkReported records that the platform has accepted the report of a window.
func (l *Ledger) MarkReported(w Window) {
	a := l.account(w)
	a.Reported = true
	a.changed = true
}

// Delete deletes a window.
func (l *Ledger) Delete(w Window) { delete(l.accounts, w) }

// Expire deletes the windows that ended more than keepFor ago, at a process that does not hold
// the duties.
func (l *Ledger) Expire(now time.Time) {
	for w := range l.accounts {
		if now.Sub(w.End(l.Length)) > keepFor {
			delete(l.accounts, w)
		}
	}
	for owner, at := range l.countedThrough {
		if now.Sub(at) > keepFor {
			delete(l.countedThrough, owner)
		}
	}
}

func (a *account) open() bool { return a.Closed == nil && !a.Reported }

// complete reports whether the counts of an ended window have arrived from each live process.
func (l *Ledger) complete(w Window, a *account, live []uint64) bool {
	end := w.End(l.Length)
	for _, owner := range live {
		if l.countedThrough[owner].Before(end) || a.Owners[owner].Total() < a.totals[owner] {
			return false
		}
	}
	return true
}

// filter returns the windows for which match returns true, oldest first.
func (l *Ledger) filter(match func(Window, *account) bool) []Window {
	var matched []Window
	for w, a := range l.accounts {
		if match(w, a) {
			matched = append(matched, w)
		}
	}
	slices.SortFunc(matched, func(a, b Window) int { return cmp.Compare(a, b) })
	return matched
}
