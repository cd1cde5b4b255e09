package platformtest

import (
	"net/http"
	"strconv"
	"time"
)

const (
	retryAfterField = "Retry-After"
	// BackoffGrace is the time after a 503 with Retry-After in which requests do not count.
	BackoffGrace = 500 * time.Millisecond
	// MaxInBackoff is the number of requests that an entry may send between BackoffGrace and the
	// end of the Retry-After.
	MaxInBackoff = 2
)

// Arrival is a request that reached a runner, run or refused.
type Arrival struct {
	ID     string
	Target string
	At     time.Time
}

// Refusal is a request that was answered 503 with a Retry-After.
type Refusal struct {
	Arrival
	Delay time.Duration
}

// InBackoff reports whether an arrival counts towards MaxInBackoff.
func (f Refusal) InBackoff(at time.Time) bool {
	passed := at.Sub(f.At)
	return passed >= BackoffGrace && passed < f.Delay
}

// backoffs holds the refusals of a runner that asks for a backoff.
type backoffs struct {
	delay       time.Duration
	refuseUntil time.Time                  // zero for no end
	key         func(*http.Request) string // requests of the same key are refused once; nil refuses all
	refused     map[string]bool            // by key
	refusals    []Refusal
}

// refuse returns the refusal of a request, or false if the request is not refused.
func (b *backoffs) refuse(q *http.Request, now time.Time) (Refuse, bool) {
	if b.delay <= 0 || !b.refuseUntil.IsZero() && now.After(b.refuseUntil) {
		return Refuse{}, false
	}
	if b.key != nil {
		k := b.key(q)
		if b.refused[k] {
			return Refuse{}, false
		}
		b.refused[k] = true
	}
	b.refusals = append(b.refusals, Refusal{Arrival{ID: q.Header.Get(RequestIDField), Target: q.RequestURI, At: now}, b.delay})
	value := strconv.FormatFloat(b.delay.Seconds(), 'f', -1, 64)
	return Refuse{Status: http.StatusServiceUnavailable, RetryAfter: []string{value}}, true
}

// RefuseOnce refuses the next request of each key, with delay as its Retry-After.
func (r *Runner) RefuseOnce(delay time.Duration, key func(*http.Request) string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backoffs.delay, r.backoffs.key, r.backoffs.refused = delay, key, map[string]bool{}
	r.backoffs.refuseUntil = time.Time{}
}

// RefuseFor refuses all requests for a duration, with delay as their Retry-After.
func (r *Runner) RefuseFor(duration, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backoffs.delay, r.backoffs.key = delay, nil
	r.backoffs.refuseUntil = time.Now().Add(duration)
}

// Refusals returns the requests that were refused with a Retry-After.
func (r *Runner) Refusals() []Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Refusal(nil), r.backoffs.refusals...)
}

// Arrivals returns the requests that reached the runner, whether run or refused.
func (r *Runner) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Arrival(nil), r.arrivals...)
}
