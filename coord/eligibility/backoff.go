// When an entry sends nothing to an endpoint that has asked it to back off.
//
// Rule: a 503 response with a Retry-After begins a backoff of this entry from the endpoint. It
// runs from the receipt of the response, and of several the latest end counts. After the end
// the entry has one request open there, and one more with each response that it gets, until
// the endpoint's slots are reached: each round trip doubles what it sends (slow start).
// Inputs: delays that responses ask for, requests and responses of this entry.
// Units: times, requests open at once.
// Never: a backoff binds another entry; a later response shortens it; an endpoint is shut by
// a delay beyond MaxBackoff.

package eligibility

import "time"

const (
	// MaxBackoff is the longest delay that is valid.
	MaxBackoff = time.Hour
	// defaultSlots stands for the slots of an endpoint that names none.
	defaultSlots = 16
)

// Backoff is that of one entry from one endpoint. The zero value is none.
type Backoff struct {
	asked  time.Time     // when the response came that set the end
	delay  time.Duration // that it asked for
	until  time.Time     // the end, jitter included
	window int           // requests that may be open at once after the end, 0 for any number
}

// Apply records a response that asks for a delay. The entry comes back later by the jitter. It
// returns whether a backoff began.
func (b *Backoff) Apply(received time.Time, delay, jitter time.Duration) (began bool) {
	if delay <= 0 || delay > MaxBackoff {
		return false
	}
	began = !b.Active(received)
	b.window = 1
	if until := received.Add(delay + jitter); until.After(b.until) {
		b.asked, b.delay, b.until = received, delay, until
	}
	return began
}

// Active tells whether nothing may be sent.
func (b *Backoff) Active(now time.Time) bool { return now.Before(b.until) }

// Left returns how much longer nothing may be sent, 0 if something may.
func (b *Backoff) Left(now time.Time) time.Duration { return max(b.until.Sub(now), 0) }

// Asked returns when the response came that set the end, and the delay that it asked for.
func (b *Backoff) Asked() (received time.Time, delay time.Duration) { return b.asked, b.delay }

// Ramping tells whether the number of open requests is bounded after the end.
func (b *Backoff) Ramping(now time.Time) bool { return b.window > 0 && !b.Active(now) }

// Allows tells whether one more request may be sent, where so many are open that were sent
// after the end.
func (b *Backoff) Allows(now time.Time, open int) bool {
	return !b.Active(now) && (b.window == 0 || open < b.window)
}

// Since tells whether a request was sent after the end.
func (b *Backoff) Since(sent time.Time) bool { return !sent.Before(b.until) }

// Responded records a response to a request, from an endpoint that has so many slots, 0 for
// unknown.
func (b *Backoff) Responded(sent time.Time, slots int) {
	if b.window == 0 || !b.Since(sent) {
		return
	}
	if slots <= 0 {
		slots = defaultSlots
	}
	b.window++
	if b.window > slots {
		b.window = 0
	}
}
