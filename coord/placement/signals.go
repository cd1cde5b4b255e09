// What an endpoint has said of itself in its responses.
//
// Rule: a rate limit, a backoff and draining belong to one start of an endpoint. They are kept for
// signalRetention after the endpoint has left the list, since its record may lapse and come
// back; what other entries announce of an endpoint that is not listed yet is kept as well.
// Inputs: signals of responses, the list of endpoints.
// Never: an endpoint that comes back under the same start is used as if it had said nothing.

package placement

import (
	"math/rand/v2"
	"time"

	"foxcross.dev/coord/eligibility"
)

const (
	// signalRetention is how long signals of an endpoint that is not listed are kept. Above the
	// longest outage of the store in which records lapse.
	signalRetention = 10 * time.Minute
	// maxUnlisted bounds the endpoints that are not listed of which signals are kept.
	maxUnlisted = 4096
	// backoffJitter is the share of a delay by which entries that were refused at the same moment
	// spread their return.
	backoffJitter = 0.3
)

// signals are what one start of an endpoint has said. The zero value is nothing.
type signals struct {
	limit   eligibility.Limit
	backoff eligibility.Backoff
	drain   eligibility.Drain
}

// unlisted are the signals of an endpoint that is not on the list.
type unlisted struct {
	signals
	since time.Time // when they were set aside
}

// matter tells whether there is anything to keep.
func (s *signals) matter(now time.Time) bool {
	return s.limit.Limited() || s.backoff.Active(now) || s.drain.Draining()
}

// knownSignals returns the signals of an endpoint that is listed, or of which some are kept; else
// nil.
func (t *Table) knownSignals(incarnation string) *signals {
	if e := t.endpoints[incarnation]; e != nil {
		return &e.signals
	}
	if u := t.unlisted[incarnation]; u != nil {
		return &u.signals
	}
	return nil
}

// signalsOf returns the signals of an endpoint, listed or not; nil if there is no room for one
// that is not listed.
func (t *Table) signalsOf(now time.Time, incarnation string) *signals {
	if s := t.knownSignals(incarnation); s != nil {
		return s
	}
	return t.setAside(now, incarnation, signals{})
}

// setAside keeps the signals of an endpoint that is not listed.
func (t *Table) setAside(now time.Time, incarnation string, s signals) *signals {
	if t.unlisted == nil {
		t.unlisted = map[string]*unlisted{}
	}
	if len(t.unlisted) >= maxUnlisted {
		return nil
	}
	u := &unlisted{signals: s, since: now}
	t.unlisted[incarnation] = u
	return &u.signals
}

// relist returns the signals that were kept of an endpoint that is listed now.
func (t *Table) relist(incarnation string) signals {
	u := t.unlisted[incarnation]
	if u == nil {
		return signals{}
	}
	delete(t.unlisted, incarnation)
	return u.signals
}

// forgetUnlisted drops signals of endpoints that have not been listed for long.
func (t *Table) forgetUnlisted(now time.Time) {
	for incarnation, u := range t.unlisted {
		if now.Sub(u.since) > signalRetention {
			delete(t.unlisted, incarnation)
		}
	}
}

// ApplyBackoff records a response of an endpoint to this entry that asks for a delay. It returns
// whether a backoff began.
func (t *Table) ApplyBackoff(now time.Time, incarnation string, delay time.Duration, random *rand.Rand) (began bool) {
	s := t.signalsOf(now, incarnation)
	if s == nil {
		return false
	}
	return s.backoff.Apply(now, delay, time.Duration(backoffJitter*random.Float64()*float64(delay)))
}

// ApplyDrain records a sign that an endpoint drains, of a response or of another entry. It
// returns whether it is the first one, and whether others are to be told.
func (t *Table) ApplyDrain(now time.Time, incarnation string, at time.Time) (began, announce bool) {
	s := t.signalsOf(now, incarnation)
	if s == nil {
		return false, false
	}
	return s.drain.Apply(at), s.drain.Announce(now)
}

// Withdraw tells whether a request that was placed at an endpoint is not to be sent there any
// more.
func (t *Table) Withdraw(now time.Time, incarnation string) bool {
	s := t.knownSignals(incarnation)
	return s != nil && (s.backoff.Active(now) || !s.drain.Allows(now, t.DrainGrace))
}
