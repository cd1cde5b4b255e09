// When the settings are too old to deny a request.
//
// Rule: a request whose route or key is missing from the settings is denied (404, 401) only within
// maxConfirmationAge of the last confirmation that the settings are the newest. After that, a newer
// version may contain the route or key, so the response is "not ready" with a Retry-After.
// Inputs: the time at which the store or another entry last confirmed the settings.
// Never: a request whose route and key are in the settings is refused because of the settings' age.

package gateway

import (
	"time"

	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/steady"
)

// maxConfirmationAge is how long after their last confirmation settings are treated as the newest.
// A new key has to work at most 4 s after its settings were accepted (the platform's limit on
// propagation).
const maxConfirmationAge = 4 * time.Second

// deny returns the denial, or "not ready" if the settings may be out of date. It reads the exact
// clock, because requests that arrive while the machine is suspended are answered as soon as it
// resumes.
func (g *Gateway) deny(denial *result.Error) *result.Error {
	age := steady.Exact().Sub(g.directory.Confirmed())
	if mayDeny(age) {
		return denial
	}
	return notReady("the settings may be out of date", age)
}

// mayDeny reports whether settings whose last confirmation is that old may be used to deny a
// request.
func mayDeny(age time.Duration) bool { return age <= maxConfirmationAge }

// notReady returns the error for a request that arrives while this entry has no settings or no
// endpoints, or may not have the newest ones. A state that has lasted for some time is expected to
// last as long again, so that time is the Retry-After, within bounds. An entry that has just
// started has both after some 0.1 s, and a caller that retries only after 3 s then misses its target
// (839 of 1,782 requests of two seconds after a power loss of all entries).
func notReady(reason string, elapsed time.Duration) *result.Error {
	after := min(max(elapsed, minNotReadyRetryAfter), maxNotReadyRetryAfter)
	return &result.Error{Code: result.NotReady, Run: result.NotRun, RetryAfter: after, Reason: reason}
}
