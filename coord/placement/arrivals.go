package placement

import (
	"math"
	"time"
)

// arrivalRateDecay is the time constant of the arrival rate.
const arrivalRateDecay = time.Second

// arrivalRate measures the requests that arrive for a service at all entries. The zero value is
// a rate of 0.
type arrivalRate struct {
	decayedCount float64
	updatedAt    time.Time
}

// add counts a request. Times announced by other entries may lie slightly in the past.
func (a *arrivalRate) add(now time.Time) {
	if now.After(a.updatedAt) {
		a.decayedCount = a.perSecond(now) * arrivalRateDecay.Seconds()
		a.updatedAt = now
	}
	a.decayedCount++
}

// perSecond returns the rate in requests per second.
func (a *arrivalRate) perSecond(now time.Time) float64 {
	passed := max(now.Sub(a.updatedAt), 0)
	return a.decayedCount * math.Exp(-float64(passed)/float64(arrivalRateDecay)) / arrivalRateDecay.Seconds()
}
