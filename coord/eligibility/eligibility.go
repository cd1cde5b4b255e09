// Package eligibility decides whether an endpoint may receive a request now. Every selection of
// an endpoint applies it: for a first attempt, a retry, a resumed stream, and as a source of
// cached memory.
//
// Rule: an endpoint is ineligible for a request
//
//   - outside the regions allowed for the request's class and for its team, both of which
//     apply (regions.go);
//   - in a data centre that operators have evacuated;
//   - while it warms up and has received its warm-up rate (warmup.go);
//   - while it advertises a rate limit in its responses and has received that rate (limit.go);
//   - while it has asked this entry to back off, and during the slow start after that
//     when its open requests reach their bound (backoff.go);
//   - once it has drained for longer than the grace period (drain.go).
//
// Warm-up rates and advertised limits share one token bucket algorithm that counts the requests
// of all entries (sharedrate.go).
//
// Inputs: the request's regions, the endpoint's location, the recent attempts of all entries
// at the endpoint, the number of entries, the time.
// Units: requests per second, times.
// Never: this package ranks endpoints; package placement chooses among the eligible ones.
//
// This package does no I/O and reads no clock.
package eligibility

// Reason is why an endpoint may not receive a request now.
type Reason uint8

// The reasons, in order of their expected duration, the shortest first.
const (
	Eligible       Reason = iota
	Limited               // the endpoint has received its advertised rate
	BackedOff             // the endpoint has asked this entry to back off
	WarmingUp             // the endpoint has received its warm-up rate
	Draining              // the endpoint drains, and the grace period is over
	Evacuated             // the endpoint's data centre is evacuated
	OutsideRegions        // the request may not be served in the endpoint's region
	OtherVersion          // the endpoint runs another version than the one that began the request's stream
)

// Temporary reports whether the endpoint may receive the request soon, or may now.
func (r Reason) Temporary() bool { return r < Draining }

// String returns a readable form of the reason.
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
	case OtherVersion:
		return "at another version of their software"
	default:
		return "unknown"
	}
}

// Location is the location of an endpoint.
type Location struct {
	Region    string // empty if unknown
	Evacuated bool   // operators have evacuated its data centre
}

// Check returns why an endpoint at the location may not receive a request, independent of the
// endpoint's state. It returns Eligible if the endpoint may.
func Check(allowed Regions, at Location) Reason {
	switch {
	case !allowed.Allows(at.Region):
		return OutsideRegions
	case at.Evacuated:
		return Evacuated
	default:
		return Eligible
	}
}
