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
	"foxcross.dev/foxcross/internal/steady"
)

// currentFor is how long after their last confirmation settings are taken for the
// newest. A key has to work 4 s after its settings were accepted at the
// latest (the platform's bound on catching up).
const currentFor = 4 * time.Second

// deny returns the denial, or "not ready" if the settings may be out of date. The clock is read
// exactly: requests that came while the machine was suspended are answered as soon as it wakes.
func (g *Gateway) deny(denial *result.Error) *result.Error {
	age := steady.Exact().Sub(g.directory.Confirmed())
	if mayDeny(age) {
		return denial
	}
	return notReady("the settings may be out of date", age)
}

// mayDeny tells whether settings of that age since their confirmation may be
// denied by.
func mayDeny(age time.Duration) bool { return age <= currentFor }

// notReady returns the answer to a request that comes while this entry lacks settings or
// endpoints, or may lack the newest ones. What has lasted for a time is expected to last
// as long again: an entry that has just started knows them within some 0.1 s, and a caller
// that is told to come back after 3 s then misses its target (839 of 1,782 requests of two
// seconds after a loss of power of all entries).
func notReady(reason string, lasted time.Duration) *result.Error {
	after := min(max(lasted, minNotReadyRetryAfter), maxNotReadyRetryAfter)
	return &result.Error{Code: result.NotReady, Run: result.NotRun, RetryAfter: after, Reason: reason}
}
