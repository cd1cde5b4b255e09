package platformtest

import (
	"net/http"
	"strconv"
	"time"
)

const (
	retryAfterField = "Retry-After"
	// BackoffGrace is the time after a 503 with Retry-After from which requests count.
	BackoffGrace = 500 * time.Millisecond
	// MaxInBackoff is how many requests an entry may send from then to the end of the time.
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

// Counts tells whether an arrival lies within the time in which few may come.
func (f Refusal) Counts(at time.Time) bool {
	passed := at.Sub(f.At)
	return passed >= BackoffGrace && passed < f.Delay
}

// backoffs are the refusals of a runner that asks for a backoff.
type backoffs struct {
	delay   time.Duration
	until   time.Time                  // zero for no end
	key     func(*http.Request) string // whose requests are refused once; nil refuses all
	refused map[string]bool            // by key
	all     []Refusal
}

// refuse returns the refusal of a request, if it is to be refused.
func (b *backoffs) refuse(q *http.Request, now time.Time) (Refuse, bool) {
	if b.delay <= 0 || !b.until.IsZero() && now.After(b.until) {
		return Refuse{}, false
	}
	if b.key != nil {
		k := b.key(q)
		if b.refused[k] {
			return Refuse{}, false
		}
		b.refused[k] = true
	}
	b.all = append(b.all, Refusal{Arrival{ID: q.Header.Get(RequestIDField), Target: q.RequestURI, At: now}, b.delay})
	value := strconv.FormatFloat(b.delay.Seconds(), 'f', -1, 64)
	return Refuse{Status: http.StatusServiceUnavailable, RetryAfter: []string{value}}, true
}

// RefuseOnce refuses the next request of each key, with the time as its Retry-After.
func (r *Runner) RefuseOnce(delay time.Duration, key func(*http.Request) string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backoffs.delay, r.backoffs.key, r.backoffs.refused = delay, key, map[string]bool{}
	r.backoffs.until = time.Time{}
}

// RefuseFor refuses all requests for a time, with another one as their Retry-After.
func (r *Runner) RefuseFor(lasts, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backoffs.delay, r.backoffs.key = delay, nil
	r.backoffs.until = time.Now().Add(lasts)
}

// Refusals returns the requests that were refused with a Retry-After.
func (r *Runner) Refusals() []Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Refusal(nil), r.backoffs.all...)
}

// Arrivals returns the requests that reached the runner, run or refused.
func (r *Runner) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Arrival(nil), r.arrivals...)
}
