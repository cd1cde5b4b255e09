// Backoff of one entry from an endpoint that has requested it.
//
// Rule: a 503 response with a Retry-After header starts a backoff of this entry from the
// endpoint. The backoff starts at the receipt of the response; if there are several, the latest
// end applies. After the end the entry may have one open request there, and one more with each
// response, up to the endpoint's number of slots, so that the number doubles with each round
// trip (slow start).
// Inputs: delays requested by responses, requests and responses of this entry.
// Units: times, concurrent requests.
// Never: a backoff applies to another entry; a later response shortens it; a delay beyond
// MaxBackoff makes an endpoint ineligible.

package eligibility

import "time"

const (
	// MaxBackoff is the longest valid delay.
	MaxBackoff = time.Hour
	// defaultSlots is the number of slots assumed for an endpoint that reports none.
	defaultSlots = 16
)

// Backoff is the backoff of one entry from one endpoint. The zero value is inactive.
type Backoff struct {
	receivedAt     time.Time     // receipt of the response that set the end
	requestedDelay time.Duration // delay requested by that response
	until          time.Time     // the end, jitter included
	window         int           // maximum of open requests after the end, 0 for no maximum
}

// Apply records a response that requests a delay. The jitter is added to the delay. It reports
// whether a backoff started.
func (b *Backoff) Apply(received time.Time, delay, jitter time.Duration) (started bool) {
	if delay <= 0 || delay > MaxBackoff {
		return false
	}
	started = !b.Active(received)
	b.window = 1
	if until := received.Add(delay + jitter); until.After(b.until) {
		b.receivedAt, b.requestedDelay, b.until = received, delay, until
	}
	return started
}

// Active reports whether the backoff has not ended, so that no request may be sent.
func (b *Backoff) Active(now time.Time) bool { return now.Before(b.until) }

// Remaining returns the time until the end of the backoff, 0 if it is not active.
func (b *Backoff) Remaining(now time.Time) time.Duration { return max(b.until.Sub(now), 0) }

// Requested returns when the response that set the end was received, and the delay it requested.
func (b *Backoff) Requested() (received time.Time, delay time.Duration) {
	return b.receivedAt, b.requestedDelay
}

// InSlowStart reports whether the backoff has ended and slow start still bounds the open requests.
func (b *Backoff) InSlowStart(now time.Time) bool { return b.window > 0 && !b.Active(now) }

// Allows reports whether one more request may be sent. open is the number of open requests that
// were sent after the end.
func (b *Backoff) Allows(now time.Time, open int) bool {
	return !b.Active(now) && (b.window == 0 || open < b.window)
}

// SentAfterEnd reports whether a request was sent at or after the end.
func (b *Backoff) SentAfterEnd(sent time.Time) bool { return !sent.Before(b.until) }

// RecordResponse records the response to a request that was sent at the given time. slots is the
// endpoint's number of slots, 0 if unknown.
func (b *Backoff) RecordResponse(sent time.Time, slots int) {
	if b.window == 0 || !b.SentAfterEnd(sent) {
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
