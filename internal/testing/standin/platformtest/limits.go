package platformtest

import "time"

const (
	// LimitWindow is the time over which requests to a runner that advertises a limit are counted.
	LimitWindow  = 4 * time.Second
	limitOverrun = 1.5
	limitSlack   = 5
)

// MaxRequestsInWindow returns the number of requests that a runner may get in LimitWindow if it
// advertises a rate limit, in requests a second: limitOverrun times the limit plus limitSlack.
func MaxRequestsInWindow(limit float64) float64 {
	return limitOverrun*limit*LimitWindow.Seconds() + limitSlack
}

// MostWithin returns the largest number of times within any window. The times are sorted.
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
