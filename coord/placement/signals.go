// Keeps the signals that endpoints send in their responses.
//
// Rule: a rate limit, a backoff and draining belong to one incarnation of an endpoint. They are
// kept for signalRetention after the endpoint has left the list, since its record may expire
// and return. Signals that other entries announce for an endpoint not listed yet are kept as
// well.
// Inputs: signals in responses, the list of endpoints.
// Never: an endpoint that returns in the same incarnation is used as if it had sent no signal.

package placement

import (
	"math/rand/v2"
	"time"

	"foxcross.dev/coord/eligibility"
)

const (
	// signalRetention is how long the signals of an unlisted endpoint are kept. It is above the
	// longest outage of the store during which records expire.
	signalRetention = 10 * time.Minute
	// maxUnlisted bounds the unlisted endpoints whose signals are kept.
	maxUnlisted = 4096
	// backoffJitter is the largest share of a delay that is added at random, so that entries
	// rejected at the same moment don't all return at once.
	backoffJitter = 0.3
)

// signals holds the signals of one incarnation of an endpoint. The zero value has none.
type signals struct {
	limit   eligibility.Limit
	backoff eligibility.Backoff
	drain   eligibility.Drain
}

// unlisted holds the signals of an endpoint that is not listed.
type unlisted struct {
	signals
	addedAt time.Time // when the endpoint left the list, or its first signal arrived
}

// active reports whether any signal is in effect.
func (s *signals) active(now time.Time) bool {
	return s.limit.Limited() || s.backoff.Active(now) || s.drain.Draining()
}

// findSignals returns the signals of an endpoint, listed or not, or nil if none are stored.
func (t *Table) findSignals(incarnation string) *signals {
	if e := t.endpoints[incarnation]; e != nil {
		return &e.signals
	}
	if u := t.unlisted[incarnation]; u != nil {
		return &u.signals
	}
	return nil
}

// findOrAddSignals returns the signals of an endpoint, listed or not. It returns nil if the
// bound on unlisted endpoints is reached.
func (t *Table) findOrAddSignals(now time.Time, incarnation string) *signals {
	if s := t.findSignals(incarnation); s != nil {
		return s
	}
	return t.addUnlisted(now, incarnation, signals{})
}

// addUnlisted keeps the signals of an unlisted endpoint. It returns nil if the bound is
// reached.
func (t *Table) addUnlisted(now time.Time, incarnation string, s signals) *signals {
	if t.unlisted == nil {
		t.unlisted = map[string]*unlisted{}
	}
	if len(t.unlisted) >= maxUnlisted {
		return nil
	}
	u := &unlisted{signals: s, addedAt: now}
	t.unlisted[incarnation] = u
	return &u.signals
}

// takeUnlisted removes and returns the signals kept for an endpoint that is listed again.
func (t *Table) takeUnlisted(incarnation string) signals {
	u := t.unlisted[incarnation]
	if u == nil {
		return signals{}
	}
	delete(t.unlisted, incarnation)
	return u.signals
}

// expireUnlisted removes the signals of endpoints that have been unlisted for longer than
// signalRetention.
func (t *Table) expireUnlisted(now time.Time) {
	for incarnation, u := range t.unlisted {
		if now.Sub(u.addedAt) > signalRetention {
			delete(t.unlisted, incarnation)
		}
	}
}

// ApplyBackoff records a response to this entry that asks for a delay. It reports whether a
// backoff began.
func (t *Table) ApplyBackoff(now time.Time, incarnation string, delay time.Duration, random *rand.Rand) (began bool) {
	s := t.findOrAddSignals(now, incarnation)
	if s == nil {
		return false
	}
	return s.backoff.Apply(now, delay, time.Duration(backoffJitter*random.Float64()*float64(delay)))
}

// ApplyDrain records a drain signal from a response or another entry. It reports whether the
// signal is the first one, and whether to announce it to other entries.
func (t *Table) ApplyDrain(now time.Time, incarnation string, at time.Time) (began, announce bool) {
	s := t.findOrAddSignals(now, incarnation)
	if s == nil {
		return false, false
	}
	return s.drain.Apply(at), s.drain.Announce(now)
}

// Withdraw reports whether a request placed at an endpoint must no longer be sent there.
func (t *Table) Withdraw(now time.Time, incarnation string) bool {
	s := t.findSignals(incarnation)
	return s != nil && (s.backoff.Active(now) || !s.drain.Allows(now, t.DrainGrace))
}
