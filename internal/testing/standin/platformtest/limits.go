package platformtest

import "time"

const (
	// LimitWindow is the time in which the requests of a runner are counted that names a limit.
	LimitWindow  = 4 * time.Second
	limitOverrun = 1.5
	limitSlack   = 5
)

// Borne returns how many requests a runner bears in LimitWindow that names a limit, in requests a
// second: so many times what the limit allows, and some more.
func Borne(limit float64) float64 { return limitOverrun*limit*LimitWindow.Seconds() + limitSlack }

// MostWithin returns the most times, in order, within any window.
func MostWithin(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for n, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}
