package placement

import (
	"math"
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
	event    time.Time // of the last event
	reading  float64   // ms of prompts that waited at the last event
	local    bool      // placed by this entry
}

// waiting tells whether the request's prompt is still to be read.
func (p *placed) waiting() bool { return p.began.IsZero() }

const (
	maxArrivals   = 64
	arrivalWindow = 4 * time.Second
	errorWeight   = 0.2 // of the newest outcome in the share of errors
	firstBackoff  = 300 * time.Millisecond
	maxBackoff    = 5 * time.Second
	minFactor     = 0.5
	maxFactor     = 20.0
	factorWeight  = 0.2  // of the newest observation in an endpoint's factor
	maxRatio      = 2.0  // of an observation to what was expected that counts
	tellingMS     = 60.0 // expected time from which an observation counts in full
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
	pending   backlog
	pendingAt time.Time // up to which the backlog is counted
	arrived   time.Time // when the last prompt was placed
}

// priorities is how many priorities engines know; 0 is read first.
const priorities = 10

// backlog is the ms, at factor 1, to read the prompts that wait at an engine,
// by priority. An engine reads the most urgent first.
type backlog [priorities]float64

func level(priority int) int { return min(max(priority, 0), priorities-1) }

// upTo returns the ms of the prompts that are read before one of the priority.
func (b *backlog) upTo(priority int) float64 {
	sum := 0.0
	for n := range level(priority) + 1 {
		sum += b[n]
	}
	return sum
}

// pass takes off what has been read in the ms.
func (b *backlog) pass(ms float64) {
	for n := range b {
		read := min(b[n], ms)
		b[n] -= read
		ms -= read
	}
}

// advance brings the backlog up to the time. What other entries tell may lie a
// little in the past, where there is nothing to do.
func (s *state) advance(now time.Time) {
	if now.Before(s.pendingAt) {
		return
	}
	s.pending.pass(milliseconds(now.Sub(s.pendingAt)) / s.factor)
	s.pendingAt = now
}

// wait returns the ms until a prompt of the priority would be read.
func (s *state) wait(now time.Time, priority int) float64 {
	s.advance(now)
	return s.pending.upTo(priority) * s.factor
}

// reading returns the ms until no prompt waits.
func (s *state) reading(now time.Time) float64 { return s.wait(now, priorities-1) }

// correctBacklog bounds the backlog by what has had no first event.
func (s *state) correctBacklog(now time.Time, perToken float64) {
	var waiting backlog
	for _, p := range s.jobs {
		if p.waiting() {
			waiting[level(p.job.Priority)] += float64(p.uncached) * perToken
		}
	}
	s.advance(now)
	for n := range s.pending {
		s.pending[n] = min(s.pending[n], waiting[n])
	}
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
	if len(s.arrivals) == maxArrivals {
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
		s.backoff = min(max(2*s.backoff, firstBackoff), maxBackoff)
		s.avoidTo = now.Add(s.backoff)
	}
}

// learn takes in how long a first event took against what was expected. Short
// times tell less: they are mostly the way to the endpoint and back. A single
// one moves the factor by little, whatever it was.
func (s *state) learn(expected, observed float64) {
	if expected <= 0 {
		return
	}
	ratio := min(max(observed/expected, 1/maxRatio), maxRatio)
	weight := factorWeight * min(expected/tellingMS, 1)
	s.factor = min(max(s.factor*math.Pow(ratio, weight), minFactor), maxFactor)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
