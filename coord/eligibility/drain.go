// Draining of an endpoint.
//
// Rule: an endpoint that announces in a response, or in its record, that it drains receives new
// requests only as a last resort during a grace period, and none after it. The period starts
// at the earliest drain signal known to this entry, its own or another entry's.
// Inputs: drain signals from responses, from records and from other entries.
// Units: times.
// Never: anything but a restart of the endpoint ends the draining.

package eligibility

import "time"

// Drain is the drain state of one incarnation of an endpoint. The zero value is not draining.
type Drain struct {
	since     time.Time // time of the earliest signal
	announced time.Time // time of the last announcement to other entries
}

// Apply records a drain signal. It reports whether it is the first one.
func (d *Drain) Apply(at time.Time) (started bool) {
	started = !d.Draining()
	if started || at.Before(d.since) {
		d.since = at
	}
	return started
}

// Draining reports whether the endpoint drains.
func (d *Drain) Draining() bool { return !d.since.IsZero() }

// Since returns the time of the earliest signal.
func (d *Drain) Since() time.Time { return d.since }

// Allows reports whether a request may be sent, given the grace period.
func (d *Drain) Allows(now time.Time, grace time.Duration) bool {
	return !d.Draining() || now.Sub(d.since) < grace
}

// Announce reports whether to announce a signal to other entries, and if so records the
// announcement.
func (d *Drain) Announce(now time.Time) bool {
	if !d.announced.IsZero() && now.Sub(d.announced) < announceInterval {
		return false
	}
	d.announced = now
	return true
}
