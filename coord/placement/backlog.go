package placement

import "time"

// numPriorities is the number of priorities that engines distinguish; 0 is served first.
const numPriorities = 10

// backlog is the prefill time, in ms at a slowdown of 1, of the prompts that wait at an engine,
// by priority. An engine serves the most urgent first. The zero value is empty.
type backlog struct {
	prefillMS  [numPriorities]float64
	advancedTo time.Time // time up to which completed work is deducted
}

// clampPriority returns the priority limited to the valid range.
func clampPriority(priority int) int { return min(max(priority, 0), numPriorities-1) }

// totalUpTo returns the ms of the prompts that are served before one of the given priority.
func (b *backlog) totalUpTo(priority int) float64 {
	sum := 0.0
	for n := range clampPriority(priority) + 1 {
		sum += b.prefillMS[n]
	}
	return sum
}

// advance deducts the work that an engine of the given slowdown has completed by now. Times
// announced by other entries may lie slightly in the past; for these, nothing is deducted.
func (b *backlog) advance(now time.Time, slowdown float64) {
	if now.Before(b.advancedTo) {
		return
	}
	ms := milliseconds(now.Sub(b.advancedTo)) / slowdown
	for n := range b.prefillMS {
		done := min(b.prefillMS[n], ms)
		b.prefillMS[n] -= done
		ms -= done
	}
	b.advancedTo = now
}

// limitTo reduces the backlog to the prompts known to wait.
func (b *backlog) limitTo(waiting [numPriorities]float64) {
	for n := range b.prefillMS {
		b.prefillMS[n] = min(b.prefillMS[n], waiting[n])
	}
}

// waitMS returns the ms until the prefill of a prompt of the given priority would start.
func (e *endpoint) waitMS(now time.Time, priority int) float64 {
	e.backlog.advance(now, e.slowdown)
	return e.backlog.totalUpTo(priority) * e.slowdown
}

// backlogMS returns the ms until no prompt waits.
func (e *endpoint) backlogMS(now time.Time) float64 { return e.waitMS(now, numPriorities-1) }

// trimBacklog reduces the backlog to the prompts of the attempts without a first event.
func (e *endpoint) trimBacklog(now time.Time, perTokenMS float64) {
	var waiting [numPriorities]float64
	for _, a := range e.attempts {
		if a.waiting() {
			waiting[clampPriority(a.request.Priority)] += float64(a.prefillTokens) * perTokenMS
		}
	}
	e.backlog.advance(now, e.slowdown)
	e.backlog.limitTo(waiting)
}
