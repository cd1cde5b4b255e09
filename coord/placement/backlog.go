package placement

import "time"

// priorities is how many priorities engines tell apart; 0 is served first.
const priorities = 10

// backlog is the prefill time, in ms at a slowdown of 1, of the prompts that wait
// at an engine, by priority. An engine serves the most urgent first. The zero
// value is empty.
type backlog struct {
	ms [priorities]float64
	at time.Time // up to which the work done is counted
}

// level returns the priority within bounds.
func level(priority int) int { return min(max(priority, 0), priorities-1) }

// upTo returns the ms of the prompts that are served before one of the priority.
func (b *backlog) upTo(priority int) float64 {
	sum := 0.0
	for n := range level(priority) + 1 {
		sum += b.ms[n]
	}
	return sum
}

// advance takes off what an engine of the slowdown has done up to the time. Events
// that other entries tell may lie a little in the past, where nothing is done.
func (b *backlog) advance(now time.Time, slowdown float64) {
	if now.Before(b.at) {
		return
	}
	ms := milliseconds(now.Sub(b.at)) / slowdown
	for n := range b.ms {
		done := min(b.ms[n], ms)
		b.ms[n] -= done
		ms -= done
	}
	b.at = now
}

// bound lowers the backlog to what is known to wait.
func (b *backlog) bound(waiting [priorities]float64) {
	for n := range b.ms {
		b.ms[n] = min(b.ms[n], waiting[n])
	}
}

// waitMS returns the ms until the prefill of a prompt of the priority would start.
func (e *endpoint) waitMS(now time.Time, priority int) float64 {
	e.backlog.advance(now, e.slowdown)
	return e.backlog.upTo(priority) * e.slowdown
}

// backlogMS returns the ms until no prompt waits.
func (e *endpoint) backlogMS(now time.Time) float64 { return e.waitMS(now, priorities-1) }

// boundBacklog lowers the backlog to the prompts of the attempts that have had no
// first event.
func (e *endpoint) boundBacklog(now time.Time, perTokenMS float64) {
	var waiting [priorities]float64
	for _, a := range e.attempts {
		if a.waiting() {
			waiting[level(a.request.Priority)] += float64(a.prefillTokens) * perTokenMS
		}
	}
	e.backlog.advance(now, e.slowdown)
	e.backlog.bound(waiting)
}
