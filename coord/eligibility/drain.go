// When an endpoint that has said that it drains gets nothing any more.
//
// Rule: an endpoint that says in a response, or in its record, that it drains is the last resort
// of new requests for a grace period, and gets none after it. The period runs from the
// earliest sign that this entry had, its own or another entry's.
// Inputs: signs of responses, of records, of other entries.
// Units: times.
// Never: anything but another start of the endpoint ends the draining.

package eligibility

import "time"

// Drain is that of one start of an endpoint. The zero value is none.
type Drain struct {
	since     time.Time // of the earliest sign
	announced time.Time // when other entries were last told
}

// Apply records a sign of draining. It returns whether it is the first one.
func (d *Drain) Apply(at time.Time) (began bool) {
	began = !d.Draining()
	if began || at.Before(d.since) {
		d.since = at
	}
	return began
}

// Draining tells whether the endpoint drains.
func (d *Drain) Draining() bool { return !d.since.IsZero() }

// Since returns the time of the earliest sign.
func (d *Drain) Since() time.Time { return d.since }

// Allows tells whether a request may be sent, with the grace period.
func (d *Drain) Allows(now time.Time, grace time.Duration) bool {
	return !d.Draining() || now.Sub(d.since) < grace
}

// Announce tells whether other entries are to be told of a sign, and counts that as told.
func (d *Drain) Announce(now time.Time) bool {
	if !d.announced.IsZero() && now.Sub(d.announced) < announceInterval {
		return false
	}
	d.announced = now
	return true
}
