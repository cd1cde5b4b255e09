// Decides about a long prompt that would be late, at a service with queued admission.
//
// Rule: a caller that was refused before is not refused again while it can still be served: its
// prompt is held at the entry until an engine has room for it. So it goes before new callers,
// which are refused where it waits. If its first event can't be in time any more, it takes only
// room that others leave: its limits are multiplied by lateFactor, and it is never sent where a
// stream would miss its target because of it, or to an engine that would recompute a prefix
// that another has. A hold takes at most maxHoldShare of the time left, and ends when its run
// would not fit into the rest. Nobody is held while the demand is above maxHoldDemand: then each
// that is let in makes others late, and a caller that came back is decided like a new one. A new
// caller is held for at most newHoldTargets while the service drains, and else refused with a time
// at which room is expected: the work in line before it, over the room that the demand leaves, or
// the wait at the chosen engine if that is longer. The place in line is at most maxLineTargets
// where returns are held, so that the caller can still be in time. The time is spread over
// spreadShare of it, and at most the third of its time that callers wait.
// Inputs: the situation of the service, the estimates of a placement.Choice, the time left.
// Units: times; first-event targets; shares of the time left.
// Never: a held prompt takes a place at an engine, or is sent where it would be late while there
// is time to wait; a caller that returns before its time gets a better place.

package admission

import (
	"math"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/share"
)

const (
	// retryShare is the share of the time left for which callers wait.
	retryShare = 1.0 / 3
	// spreadShare is the share of a delay over which the returns of callers that are refused in
	// the same moment are spread.
	spreadShare = 0.4
	// minRoomShare is the least share of the capacity that is expected to become free.
	minRoomShare = 0.1
	// maxLineTargets is the longest place in line, in first-event targets. A caller that returns
	// later is late in any case, and a prompt is held at an entry for as long.
	maxLineTargets = 0.5
	// newHoldTargets is the longest hold of a new caller, in first-event targets.
	newHoldTargets = 0.25
	// lateFactor is the factor of the limits of a caller that can't be in time any more.
	lateFactor = 0.5
	// maxLateInterference is the most interference of such a caller, in requests.
	maxLateInterference = 0.1
	// maxHoldShare is the longest hold, as a share of the time left when the caller returned.
	maxHoldShare = 2.0 / 3
	// maxHoldDemand is the demand, as a share of the capacity, above which nobody is held: room
	// does not return within callers' time.
	maxHoldDemand = 1.0
	// holdInterval is the time between two decisions about a held prompt. Engines complete a
	// long prompt in about that time.
	holdInterval = 80 * time.Millisecond
)

// decideLate decides about a long prompt that would be late if it was sent now.
func decideLate(i Input, wait time.Duration) Decision {
	if i.tooLate() {
		return Refuse{RetryAfter: i.retryAfter(wait)}
	}
	if i.Returned && demandShare(i.Load) <= maxHoldDemand {
		return decideReturned(i)
	}
	if i.Early == 0 && i.State == Draining && i.Held < targetMultiple(newHoldTargets, i.Request) {
		return i.hold()
	}
	return Refuse{RetryAfter: i.retryAfter(wait)}
}

// decideReturned decides about a caller that was refused before.
func decideReturned(i Input) Decision {
	if i.Left > time.Duration((1-maxHoldShare)*float64(i.Held+i.Left)) && i.Left-holdInterval > i.runTime() {
		return i.hold()
	}
	return Refuse{RetryAfter: i.retryAfter(0)}
}

// hold returns the hold until the next decision. The interval varies, so that entries do not
// decide in the same moment.
func (i Input) hold() Hold {
	return Hold{For: time.Duration((0.5 + i.Random) * float64(holdInterval))}
}

// retryAfter returns when a refused caller may come back.
func (i Input) retryAfter(wait time.Duration) time.Duration {
	limit := time.Duration(retryShare * float64(i.Left))
	if i.Early > 0 {
		return min(i.Early, limit)
	}
	line := i.roomIn()
	if demandShare(i.Load) <= maxHoldDemand {
		line = min(line, targetMultiple(maxLineTargets, i.Request))
	}
	after := min(max(wait, line, minRetryAfter), limit)
	after = min(after, max(i.Left-i.runTime(), minRetryAfter))
	return after - time.Duration(spreadShare*i.Random*float64(after))
}

// roomIn returns the time after which the work in line is done. A team below its share counts
// for less than what is before it.
func (i Input) roomIn() time.Duration {
	room := max(i.Load.Capacity-i.Load.Asked, minRoomShare*i.Load.Capacity)
	if room <= 0 {
		return time.Hour // no engine makes room
	}
	ms := (i.LineMS + i.Load.WaitingMS) / room
	return time.Duration(ms * lineFactor(i.Standing) * float64(time.Millisecond))
}

// lineFactor returns the share of the line that is before a team's callers.
func lineFactor(s share.Standing) float64 {
	if s <= 0 || s >= 1 {
		return 1
	}
	return float64(s)
}

// runTime returns the time that the request needs until its last event.
func (i Input) runTime() time.Duration {
	return correctedTime(i.Choice, i.Choice.FirstMS) + time.Duration(i.Choice.StreamMS*float64(time.Millisecond))
}

// tooLate reports whether a caller that came back can't be served before its deadline any more.
func (i Input) tooLate() bool { return i.Returned && i.runTime() > i.Left }

// limitFactor returns the factor of the limits of the request.
func (i Input) limitFactor() float64 {
	factor := standingFactor(i.Standing, i.Choice)
	if i.Late {
		factor *= lateFactor
	}
	return factor
}

// awaitsPrefix reports whether the prompt waits for an engine that caches its prefix.
func (i Input) awaitsPrefix() bool { return i.Late && i.Choice.RecomputedTokens > 0 }

// interferenceLimit returns the most interference of the request.
func (i Input) interferenceLimit() float64 {
	switch {
	case i.Late:
		return maxLateInterference
	case i.Choice.BusyShare >= busyServiceShare:
		return maxBusyInterference * min(i.limitFactor(), 1)
	default:
		return math.Inf(1)
	}
}

// Place returns the place of a caller that is refused with a decision.
func (d Refuse) Place(now time.Time, r placement.Request, left time.Duration, workMS float64) Place {
	return Place{Due: now.Add(d.RetryAfter), Target: now.Add(r.FirstEventTarget), Deadline: now.Add(left), WorkMS: workMS, Priority: r.Priority}
}
