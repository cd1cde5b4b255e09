// Package eligibility decides whether an endpoint may take a request now. It is asked wherever
// an endpoint is chosen: for a first attempt, a retry, a resumed stream, and as a source of
// memory.
//
// Rule: an endpoint is ineligible for a request
//
//   - outside the regions that the request's class and team are served in, each of which
//     binds (regions.go);
//   - in a data centre that operators have evacuated;
//   - while it warms up and has been sent as much as it bears (warmup.go);
//   - while its answers name a limit and it has been sent as much (limit.go);
//   - while it has asked this entry to back off, or gets little after that (backoff.go);
//   - once it has drained for longer than the grace period (drain.go).
//
// Warm-ups and limits count by one rule what all entries together send (pace.go).
//
// Inputs: the request's regions, where the endpoint is, the attempts that all entries have
// sent to it lately, the number of entries, the time.
// Units: requests a second, times.
// Never: an endpoint is preferred here; package placement chooses among the eligible ones.
//
// Nothing here does I/O or reads a clock.
package eligibility

// Reason is why an endpoint may not take a request now.
type Reason uint8

// The reasons, from the one that passes the soonest to the one that lasts longest.
const (
	Eligible       Reason = iota
	Limited               // it has been sent as much as it names as its limit
	BackedOff             // it has asked this entry to back off
	WarmingUp             // it has been sent as much as it bears while it warms up
	Draining              // it drains, and the grace period is over
	Evacuated             // its data centre is evacuated
	OutsideRegions        // the request may not be served in its region
)

// String returns the reason in words.
func (r Reason) String() string {
	switch r {
	case Eligible:
		return "eligible"
	case Limited:
		return "at its limit"
	case BackedOff:
		return "backed off from"
	case WarmingUp:
		return "warming up"
	case Draining:
		return "draining"
	case Evacuated:
		return "evacuated"
	case OutsideRegions:
		return "outside the allowed regions"
	default:
		return "unknown"
	}
}

// Location is where an endpoint is.
type Location struct {
	Region    string // empty if it is not known
	Evacuated bool   // operators want nothing sent to its data centre
}

// Check returns why nothing may be sent for a request to an endpoint at the location,
// whatever the endpoint's state. Eligible if it may.
func Check(allowed Regions, at Location) Reason {
	switch {
	case !allowed.Allow(at.Region):
		return OutsideRegions
	case at.Evacuated:
		return Evacuated
	default:
		return Eligible
	}
}
