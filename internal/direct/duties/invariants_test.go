package duties

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"foxcross.dev/coord/duty"
)

// check returns the invariants that are broken.
func (r *run) check(last duty.Window) (broken []string) {
	r.platform.mu.Lock()
	reports := slices.Clone(r.platform.reports)
	r.platform.mu.Unlock()
	broken = append(broken, sameCounts(reports)...)
	broken = append(broken, ownFences(reports)...)
	broken = append(broken, noAlternation(reports)...)
	broken = append(broken, noReturnAfterFence(reports)...)
	broken = append(broken, r.missed(reports, last)...)
	return broken
}

// sameCounts: no two reports of a window that the platform took differ.
func sameCounts(reports []report) (broken []string) {
	taken := map[int64]duty.Counts{}
	for _, x := range reports {
		before, known := taken[x.window]
		if !x.refused && known && !maps.Equal(before, x.counts) {
			broken = append(broken, fmt.Sprintf("same counts: window %d: %v, then %v", x.window, before, x.counts))
		}
		if !x.refused {
			taken[x.window] = x.counts
		}
	}
	return broken
}

// ownFences: no fence is used by two holders.
func ownFences(reports []report) (broken []string) {
	users := map[uint64]string{}
	for _, x := range reports {
		if user, known := users[x.fence]; known && user != x.machine {
			broken = append(broken, fmt.Sprintf("own fences: %d of %s and %s", x.fence, user, x.machine))
		}
		users[x.fence] = x.machine
	}
	return broken
}

// noAlternation: no holder acts again within the time after another one acted in between.
// What counts is when the call was made: what is carried out late the fence refuses.
func noAlternation(reports []report) (broken []string) {
	byTime := slices.Clone(reports)
	slices.SortFunc(byTime, func(a, b report) int { return a.sentAt.Compare(b.sentAt) })
	for n, third := range byTime {
		others := false
		for _, x := range slices.Backward(byTime[:n]) {
			if third.sentAt.Sub(x.sentAt) > alternate {
				break
			}
			if x.machine != third.machine {
				others = true
			} else if others {
				broken = append(broken, fmt.Sprintf("alternation: %s acted within %v of itself, after another", third.machine, third.sentAt.Sub(x.sentAt)))
				break
			}
		}
	}
	return broken
}

// noReturnAfterFence: after a refusal nobody calls again with the fence that was refused, but
// for calls that were under way.
func noReturnAfterFence(reports []report) (broken []string) {
	refusedAt := map[uint64]time.Time{}
	for _, x := range reports {
		if at, refused := refusedAt[x.fence]; refused && x.sentAt.After(at.Add(time.Millisecond*1500)) {
			broken = append(broken, fmt.Sprintf("return after fence: %s calls with %d again", x.machine, x.fence))
		}
		if x.refused {
			refusedAt[x.fence] = x.arrived
		}
	}
	return broken
}

// missed: every window is reported in which an entry counted that lived to the end, and
// without faults in time and exactly.
func (r *run) missed(reports []report, last duty.Window) (broken []string) {
	taken := map[duty.Window]report{}
	for _, x := range reports {
		w := duty.Window(x.window)
		if _, known := taken[w]; !known && !x.refused {
			taken[w] = x
		}
	}
	for w, truth := range r.began {
		if w >= last || !r.survives(w) {
			continue
		}
		x, known := taken[w]
		switch late := x.arrived.Sub(w.End(r.plan.window)); {
		case !known:
			broken = append(broken, fmt.Sprintf("missed: window %d", w))
		case r.plan.faults:
		case late > dueAfter || !maps.Equal(truth, x.counts):
			broken = append(broken, fmt.Sprintf("missed: window %d came %v late as %v, not %v", w, late, x.counts, truth))
		}
	}
	return broken
}
