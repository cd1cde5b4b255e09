package duties

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"foxcross.dev/coord/duty"
)

// check returns the violations of the invariants.
func (r *run) check(last duty.Window) (violations []string) {
	r.platform.mu.Lock()
	reports := slices.Clone(r.platform.reports)
	r.platform.mu.Unlock()
	violations = append(violations, consistentCounts(reports)...)
	violations = append(violations, uniqueFences(reports)...)
	violations = append(violations, noAlternation(reports)...)
	violations = append(violations, noReturnAfterFence(reports)...)
	violations = append(violations, r.missing(reports, last)...)
	return violations
}

// consistentCounts checks that the accepted reports of a window do not differ.
func consistentCounts(reports []report) (violations []string) {
	accepted := map[int64]duty.Counts{}
	for _, x := range reports {
		before, known := accepted[x.window]
		if !x.refused && known && !maps.Equal(before, x.counts) {
			violations = append(violations, fmt.Sprintf("consistent counts: window %d: %v, then %v", x.window, before, x.counts))
		}
		if !x.refused {
			accepted[x.window] = x.counts
		}
	}
	return violations
}

// uniqueFences checks that no two holders use the same fence.
func uniqueFences(reports []report) (violations []string) {
	usedBy := map[uint64]string{}
	for _, x := range reports {
		if user, known := usedBy[x.fence]; known && user != x.machine {
			violations = append(violations, fmt.Sprintf("unique fences: %d of %s and %s", x.fence, user, x.machine))
		}
		usedBy[x.fence] = x.machine
	}
	return violations
}

// noAlternation checks that no holder acts twice within the time alternate with an act of another
// holder in between. The time of the call counts: the fence refuses calls that are executed late.
func noAlternation(reports []report) (violations []string) {
	byTime := slices.Clone(reports)
	slices.SortFunc(byTime, func(a, b report) int { return a.sentAt.Compare(b.sentAt) })
	for n, last := range byTime {
		hasOther := false
		for _, x := range slices.Backward(byTime[:n]) {
			if last.sentAt.Sub(x.sentAt) > alternate {
				break
			}
			if x.machine != last.machine {
				hasOther = true
			} else if hasOther {
				violations = append(violations, fmt.Sprintf("alternation: %s acted twice within %v, with another holder in between", last.machine, last.sentAt.Sub(x.sentAt)))
				break
			}
		}
	}
	return violations
}

// noReturnAfterFence checks that after a refusal no process calls again with the refused fence,
// except for calls in flight.
func noReturnAfterFence(reports []report) (violations []string) {
	refusedAt := map[uint64]time.Time{}
	for _, x := range reports {
		if at, refused := refusedAt[x.fence]; refused && x.sentAt.After(at.Add(time.Millisecond*1500)) {
			violations = append(violations, fmt.Sprintf("return after fence: %s calls with %d again", x.machine, x.fence))
		}
		if x.refused {
			refusedAt[x.fence] = x.arrived
		}
	}
	return violations
}

// missing checks that every window is reported in which an entry counted that is live at the end.
// Without faults, the report must be in time and exact.
func (r *run) missing(reports []report, last duty.Window) (violations []string) {
	accepted := map[duty.Window]report{}
	for _, x := range reports {
		w := duty.Window(x.window)
		if _, known := accepted[w]; !known && !x.refused {
			accepted[w] = x
		}
	}
	for w, want := range r.wantCounts {
		if w >= last || !r.survives(w) {
			continue
		}
		x, known := accepted[w]
		switch late := x.arrived.Sub(w.End(r.plan.window)); {
		case !known:
			violations = append(violations, fmt.Sprintf("missing: window %d", w))
		case r.plan.faults:
		case late > dueAfter || !maps.Equal(want, x.counts):
			violations = append(violations, fmt.Sprintf("missing: window %d reported %v after its end as %v, want %v", w, late, x.counts, want))
		}
	}
	return violations
}
