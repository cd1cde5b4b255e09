package soak

import (
	"strconv"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

const (
	// limitKnownWithin is how long after an endpoint first named a limit entries are to keep to it.
	limitKnownWithin = 3 * time.Second

	leastLimit   = 0.3 // in requests a second
	moreLimit    = 8   // beside the least, at the most
	longestLimit = 4 * time.Second
	// limitChange is how many times as much an endpoint names later.
	limitChange = 0.5
)

// namedLimit is that an endpoint named a limit for a time.
type namedLimit struct {
	runner    *platformtest.Runner
	perSecond float64
	during    interval
}

// nameLimit lets an endpoint name a limit for a time, then a lower one, then none.
func nameLimit(d *deployment, amount float64) {
	e := d.pick(2)
	if e == nil || !e.naming.TryLock() {
		return
	}
	defer e.naming.Unlock()
	higher := leastLimit + amount*moreLimit
	for _, perSecond := range []float64{higher, limitChange * higher} {
		begun := time.Now()
		e.runner.NameLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
		time.Sleep(limitKnownWithin + platformtest.LimitWindow + lasting(amount, longestLimit))
		d.history.named(namedLimit{e.runner, perSecond, interval{from: begun, to: time.Now()}})
	}
	e.runner.NameLimit()
}

func (h *history) named(l namedLimit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits = append(h.limits, l)
}

// checkLimit holds what an endpoint got while it named a limit to what it bears.
func (h *history) checkLimit(l namedLimit, runs []platformtest.Run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var times []time.Time
	for _, r := range runs {
		if r.At.Sub(l.during.from) > limitKnownWithin && r.At.Before(l.during.to) {
			times = append(times, r.At)
		}
	}
	most := platformtest.Borne(l.perSecond)
	if got := platformtest.MostWithin(times, platformtest.LimitWindow); float64(got) > most {
		h.found(Heeds, "", "%s named a limit of %.2f a second and got %d requests in %v; it bears %.0f", l.runner.ID, l.perSecond, got, platformtest.LimitWindow, most)
	}
}
