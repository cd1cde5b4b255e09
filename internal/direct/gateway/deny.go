// When settings are too old to deny a request by.
//
// Rule: a route or key that the settings lack is denied (404, 401) only while the
// settings were confirmed as the newest within currentFor. Later, a newer version
// may hold it, so the answer is "not ready" and when to come back.
// Inputs: when the settings were last confirmed, by the store or another entry.
// Never: what the settings do hold is served however old they are.

package gateway

import (
	"time"

	"foxcross.dev/coord/result"
)

// currentFor is how long after their last confirmation settings are taken for the
// newest. Derived: a key has to work 4 s after its settings were accepted at the
// latest (the platform's bound on catching up).
const currentFor = 4 * time.Second

// deny returns the denial, or "not ready" if the settings may be out of date.
func (g *Gateway) deny(denial *result.Error) *result.Error {
	if mayDeny(time.Since(g.directory.Confirmed())) {
		return denial
	}
	return notReady("the settings may be out of date")
}

// mayDeny tells whether settings of that age since their confirmation may be
// denied by.
func mayDeny(age time.Duration) bool { return age <= currentFor }

func notReady(reason string) *result.Error {
	return &result.Error{Code: result.NotReady, Run: result.NotRun, RetryAfter: notReadyRetryAfter, Reason: reason}
}
