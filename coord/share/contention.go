// Decides when the engines of a service are contended.
//
// Rule: contention begins when contentionStart of the engine time that all entries ask for is
// refused or expected after its target, and ends at half of that. Placement sends each prompt where
// it is expected soonest, so that one which is late there would be late at nearly all engines.
// Inputs: the engine time of each request, and whether it was refused or expected late.
// Unit: a share of the engine time asked for, decayed over contentionDecay.
// Never: a service that few requests ask for is contended because of a single one.

package share

import (
	"math"
	"time"
)

const (
	// contentionDecay is the time constant of the late share. It is short, since teams below their
	// share are refused like all others until contention is recognized.
	contentionDecay = time.Second
	// contentionStart is the late share at which contention begins.
	contentionStart = 0.05
	// contentionEnd is the late share at which contention ends.
	contentionEnd = contentionStart / 2
	// minContendedMS is the least engine time asked for at which a service can become contended: a
	// tenth of one engine's.
	minContendedMS = 100.0
)

// contention measures the late share. The zero value is not contended.
type contention struct {
	askedMS   float64
	lateMS    float64
	updatedAt time.Time
	active    bool
}

// observe adds a request.
func (c *contention) observe(now time.Time, w Work) {
	c.decay(now)
	c.askedMS += w.MS
	if w.Late {
		c.lateMS += w.MS
	}
	c.update()
}

// decay applies the time that has passed. Events of other entries may lie slightly in the past; for
// these, nothing decays.
func (c *contention) decay(now time.Time) {
	if !now.After(c.updatedAt) {
		return
	}
	factor := math.Exp(-float64(now.Sub(c.updatedAt)) / float64(contentionDecay))
	c.askedMS *= factor
	c.lateMS *= factor
	c.updatedAt = now
}

func (c *contention) update() {
	switch {
	case c.active:
		c.active = c.lateMS >= contentionEnd*c.askedMS && c.askedMS >= minContendedMS/2
	default:
		c.active = c.lateMS >= contentionStart*c.askedMS && c.askedMS >= minContendedMS
	}
}

// contended reports whether the service is contended.
func (c *contention) contended(now time.Time) bool {
	c.decay(now)
	c.update()
	return c.active
}

// lateShare returns the share of the engine time asked for that was refused or expected late.
func (c *contention) lateShare(now time.Time) float64 {
	c.decay(now)
	if c.askedMS <= 0 {
		return 0
	}
	return c.lateMS / c.askedMS
}
