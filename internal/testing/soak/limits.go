package soak

import (
	"strconv"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

const (
	// limitGracePeriod is the time after an endpoint first advertises a limit until entries have to
	// comply with it.
	limitGracePeriod = 3 * time.Second

	minLimitPerSecond   = 0.3 // in requests a second
	extraLimitPerSecond = 8   // in addition to the lowest, at most
	extraLimitDuration  = 4 * time.Second
	// limitReduction is the factor between the first and the second limit.
	limitReduction = 0.5
)

// namedLimit is a limit that an endpoint named for a time.
type namedLimit struct {
	runner    *platformtest.Runner
	perSecond float64
	active    interval
}

// advertiseLimits makes an endpoint advertise a limit for a time, then a lower one, then none.
func advertiseLimits(d *deployment, amount float64) {
	e := d.pickEndpoint(2)
	if e == nil || !e.limitMu.TryLock() {
		return
	}
	defer e.limitMu.Unlock()
	higher := minLimitPerSecond + amount*extraLimitPerSecond
	for _, perSecond := range []float64{higher, limitReduction * higher} {
		begun := time.Now()
		e.runner.AdvertiseLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
		time.Sleep(limitGracePeriod + platformtest.LimitWindow + faultDuration(amount, extraLimitDuration))
		d.history.addNamedLimit(namedLimit{e.runner, perSecond, interval{from: begun, to: time.Now()}})
	}
	e.runner.AdvertiseLimit()
}

func (h *history) addNamedLimit(l namedLimit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.namedLimits = append(h.namedLimits, l)
}

// checkLimit reports a violation if an endpoint received more requests than its advertised limit allows.
func (h *history) checkLimit(l namedLimit, runs []platformtest.Run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var times []time.Time
	for _, r := range runs {
		if r.At.Sub(l.active.from) > limitGracePeriod && r.At.Before(l.active.to) {
			times = append(times, r.At)
		}
	}
	allowed := platformtest.MaxRequestsInWindow(l.perSecond)
	if got := platformtest.MostWithin(times, platformtest.LimitWindow); float64(got) > allowed {
		h.addViolation(RateLimitHonoured, "", "%s named a limit of %.2f a second and got %d requests in %v; allowed are %.0f", l.runner.ID, l.perSecond, got, platformtest.LimitWindow, allowed)
	}
}
