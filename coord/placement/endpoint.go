package placement

import (
	"time"
)

// placed is a request at an endpoint.
type placed struct {
	job      Job
	at       time.Time
	uncached int       // prompt tokens to be read
	expected float64   // ms until the first event, as estimated when it was placed
	idle     bool      // nothing waited before it when it was placed
	began    time.Time // of the first event, zero before
	local    bool      // placed by this entry
}

// waiting tells whether the request's prompt is still to be read.
func (p *placed) waiting() bool { return p.began.IsZero() }

const (
	mostArrivals  = 64
	arrivalWindow = 4 * time.Second
	errorWeight   = 0.2 // of the newest outcome in the share of errors
	firstBackoff  = 300 * time.Millisecond
	mostBackoff   = 5 * time.Second
	leastFactor   = 0.5
	mostFactor    = 20.0
	factorWeight  = 0.25 // of the newest observation in an endpoint's factor
	slackMS       = 150  // of a first event before an endpoint is suspected
	silenceAfter  = 400 * time.Millisecond
)

// arrival is a prompt that was sent to an endpoint.
type arrival struct {
	at   time.Time
	read float64 // ms to read it
}

// state is what is known of one endpoint.
type state struct {
	Endpoint
	rank      uint64 // common to all entries
	jobs      map[JobID]*placed
	cache     cache
	arrivals  []arrival
	factor    float64 // slowness: observed over expected times, 1 for as expected
	errors    float64 // share of recent outcomes that speak against it
	backoff   time.Duration
	avoidTo   time.Time
	heard     time.Time // of the last event of a local request
	tokens    int       // of running requests
	pendingMS float64   // to read the waiting prompts, at factor 1
	pendingAt time.Time // since when the first of them is being read
}

// backlog returns the ms until the waiting prompts are read.
func (s *state) backlog(now time.Time) float64 {
	if s.pendingMS <= 0 {
		return 0
	}
	passed := milliseconds(now.Sub(s.pendingAt)) / s.factor
	return max(0, s.pendingMS-passed) * s.factor
}

// advance brings pendingMS up to the time, so that work can be added.
func (s *state) advance(now time.Time) {
	if s.pendingMS > 0 {
		s.pendingMS = s.backlog(now) / s.factor
	}
	s.pendingAt = now
}

// began corrects the backlog: what waits is what has had no first event.
func (s *state) correctBacklog(now time.Time, perToken float64) {
	waiting := 0.0
	for _, p := range s.jobs {
		if p.waiting() {
			waiting += float64(p.uncached) * perToken
		}
	}
	s.advance(now)
	s.pendingMS = min(s.pendingMS, waiting)
}

// overdue returns by how many ms the first event of a waiting request, or the
// next event of a running local one, is later than it should be.
func (s *state) overdue(now time.Time) float64 {
	worst := 0.0
	streaming := false
	for _, p := range s.jobs {
		if p.waiting() {
			late := milliseconds(now.Sub(p.at)) - 2*p.expected - slackMS
			worst = max(worst, late)
		} else if p.local && p.job.Pause > 0 {
			streaming = true
		}
	}
	if streaming {
		if silent := now.Sub(s.heard); silent > silenceAfter {
			worst = max(worst, milliseconds(silent))
		}
	}
	return worst
}

// rate returns how many prompts a second take longer than the limit to read.
func (s *state) rate(now time.Time, limit float64) float64 {
	n := 0
	for _, a := range s.arrivals {
		if now.Sub(a.at) < arrivalWindow && a.read > limit {
			n++
		}
	}
	return float64(n) / arrivalWindow.Seconds()
}

func (s *state) arrive(now time.Time, read float64) {
	if len(s.arrivals) == mostArrivals {
		s.arrivals = append(s.arrivals[:0], s.arrivals[1:]...)
	}
	s.arrivals = append(s.arrivals, arrival{at: now, read: read})
}

// note takes in how a request ended.
func (s *state) note(now time.Time, o Outcome) {
	if o == Abandoned {
		return
	}
	outcome := 0.0
	if o.bad() {
		outcome = 1
	}
	s.errors += errorWeight * (outcome - s.errors)
	switch o {
	case Succeeded:
		s.backoff = 0
		s.avoidTo = time.Time{}
	case Unreachable:
		s.backoff = min(max(2*s.backoff, firstBackoff), mostBackoff)
		s.avoidTo = now.Add(s.backoff)
	}
}

// learn takes in how long a first event took against what was expected.
func (s *state) learn(expected, observed float64) {
	if expected <= 0 {
		return
	}
	seen := s.factor * observed / expected
	s.factor += factorWeight * (min(max(seen, leastFactor), mostFactor) - s.factor)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
