package soak

import (
	"context"
	"fmt"
	"time"

	"foxcross.dev/foxcross/internal/workers"
)

const (
	// clockInterval is the time between two readings of the clock.
	clockInterval = 20 * time.Millisecond
	// minDelay is the shortest delay of a reading that counts as a standstill.
	minDelay = clockInterval
)

// standstills holds the times in which this process, with the endpoints and the store that it serves, did
// not get to run. What entries send then is read afterwards. The zero value holds none.
type standstills struct {
	last  time.Time // reading of the clock
	times []interval
}

// observe records a reading of the clock. If it is late, this process stood still since it was due.
func (s *standstills) observe(now time.Time) {
	due := s.last.Add(clockInterval)
	if !s.last.IsZero() && now.Sub(due) >= minDelay {
		s.times = append(s.times, interval{from: due, to: now})
	}
	s.last = now
}

// within returns how long this process stood still between two times.
func (s *standstills) within(from, to time.Time) time.Duration {
	var total time.Duration
	for _, i := range s.times {
		begin, end := i.from, i.to
		if begin.Before(from) {
			begin = from
		}
		if end.After(to) {
			end = to
		}
		total += max(end.Sub(begin), 0)
	}
	return total
}

// recordStandstills records the standstills of this process until ctx is done.
func (d *deployment) recordStandstills(ctx context.Context) {
	d.history.recordClock(time.Now())
	for workers.Sleep(ctx, clockInterval) {
		d.history.recordClock(time.Now())
	}
}

// timing describes the course of a request up to a time, for the report of a violation. history.mu must be
// held.
func (h *history) timing(s observation, at time.Time) string {
	return fmt.Sprintf("its caller had sent it to %s %v before, in which the endpoints stood still for %v",
		s.servedBy.entry, at.Sub(s.sentAt), h.standstills.within(s.sentAt, at))
}

func (h *history) recordClock(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.standstills.observe(now)
}
