// Package limit holds the limits on concurrent work: those learned from what
// an endpoint is seen to do, and those an operator sets for a team.
package limit

import (
	"time"
)

// Bounds of a learned limit.
const (
	FirstLimit = 4    // limit of an endpoint nothing is known of
	MostLimit  = 1024 // no limit is raised above this
	mostTarget = 16   // targets told apart per endpoint
)

const (
	windowSamples = 24
	windowTime    = time.Second
	slowShare     = 0.05 // share of samples that may be over the target
	shrink        = 0.85
	grow          = 1.08
	inUse         = 0.85 // share of the limit that must have run for it to rise
)

// Learned finds how much work an endpoint may run at once, for each target of
// the time between tokens (or of a service's answer). Every sample teaches all
// targets. The zero value starts at FirstLimit.
type Learned struct {
	targets map[time.Duration]*learner
}

// learner is what is known for one target.
type learner struct {
	limit   float64
	missed  bool // the target was missed at least once: rise slowly
	samples int
	slow    int
	running int // most work seen in the window
	since   time.Time
}

// For returns the limit for a target; a target of zero has the highest limit.
func (l *Learned) For(target time.Duration) int {
	if t, ok := l.targets[target]; ok {
		return int(t.limit)
	}
	return int(l.guess(target))
}

// guess takes the limit of the nearest stricter target as a first value.
func (l *Learned) guess(target time.Duration) float64 {
	best := float64(FirstLimit)
	var nearest time.Duration
	for d, t := range l.targets {
		if d <= target && d >= nearest {
			nearest = d
			best = t.limit
		}
	}
	return best
}

// Watch makes the limit for a target be learned from now on.
func (l *Learned) Watch(target time.Duration) {
	if l.targets == nil {
		l.targets = map[time.Duration]*learner{}
	}
	if _, ok := l.targets[target]; ok || len(l.targets) >= mostTarget {
		return
	}
	l.targets[target] = &learner{limit: l.guess(target)}
}

// Observe takes a sample: the time one unit of work needed while so many ran.
func (l *Learned) Observe(now time.Time, running int, took time.Duration) {
	for d, t := range l.targets {
		t.observe(now, running, took > d && d > 0)
	}
}

func (t *learner) observe(now time.Time, running int, slow bool) {
	if t.samples == 0 {
		t.since = now
		t.running = 0
	}
	t.samples++
	t.running = max(t.running, running)
	if slow {
		t.slow++
	}
	full := t.samples >= max(windowSamples, 2*running)
	if !full && (now.Sub(t.since) < windowTime || t.samples < windowSamples/3) {
		return
	}
	t.adjust()
	t.samples = 0
	t.slow = 0
}

// adjust lowers the limit after a slow window and raises it after a good one
// in which the limit was used.
func (t *learner) adjust() {
	if float64(t.slow) > slowShare*float64(t.samples) {
		t.missed = true
		t.limit = max(1, min(t.limit, float64(t.running))*shrink)
		return
	}
	if float64(t.running) < inUse*t.limit {
		return
	}
	if t.missed {
		t.limit = min(MostLimit, max(t.limit+0.5, t.limit*grow))
		return
	}
	t.limit = min(MostLimit, t.limit*1.5)
}

// Limits returns the learned limits by target, for a state dump.
func (l *Learned) Limits() map[string]int {
	all := make(map[string]int, len(l.targets))
	for d, t := range l.targets {
		all[d.String()] = int(t.limit)
	}
	return all
}
