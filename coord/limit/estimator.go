// Package limit implements limits on concurrent requests: those estimated from the measured
// latency of an endpoint, and those that an operator sets for a team.
package limit

import (
	"math"
	"time"
)

const (
	// FirstLimit is the limit of an endpoint with too few samples.
	FirstLimit = 4
	// MaxLimit is the maximum of a limit.
	MaxLimit = 1024
)

const (
	// decaySamples is the number of samples after which the weight of an old one has fallen to
	// about a third.
	decaySamples = 512.0
	// minSamples is the minimum number of samples for a regression.
	minSamples = 16
	// minVariance is the variance of the number of running requests below which the slope can't
	// be estimated.
	minVariance = 0.5
	// targetFraction is the fraction of the target that the limit uses.
	targetFraction = 0.95
	// zScore95 is the number of standard deviations above the mean below which 95 in 100 samples of
	// a normal distribution lie.
	zScore95 = 1.65
	// slopeRange is the ratio between the maximum and the minimum slope.
	slopeRange = 8.0
	// growth and headroom bound the limit by the recent maximum of running requests: a multiple
	// of it, plus a number of requests.
	growth   = 1.5
	headroom = 4
	// peakDecay is the factor by which the recent maximum decays with each sample.
	peakDecay = 0.999
)

// Estimator estimates how many concurrent requests an endpoint may run so that 95 in 100 samples
// stay within a target. A sample is the time between two tokens of a model, or of a complete
// response of a plain service. It uses a linear regression of the samples on the number of running
// requests, with exponentially decaying weights. The zero value allows FirstLimit.
type Estimator struct {
	count       float64 // number of samples, up to decaySamples
	meanRunning float64
	meanSample  float64 // in seconds
	varRunning  float64 // variance of the number of running requests
	varSample   float64 // variance of the samples
	covariance  float64 // of the samples and the number of running requests
	peak        float64 // recent maximum of running requests, decaying
}

// Observe records a sample: the time that one token or response took at the given number of running
// requests.
func (e *Estimator) Observe(running int, sample time.Duration) {
	e.count = min(e.count+1, decaySamples)
	weight := 1 / e.count
	deltaRunning := float64(running) - e.meanRunning
	deltaSample := sample.Seconds() - e.meanSample
	e.meanRunning += weight * deltaRunning
	e.meanSample += weight * deltaSample
	e.varRunning += weight * ((1-weight)*deltaRunning*deltaRunning - e.varRunning)
	e.varSample += weight * ((1-weight)*deltaSample*deltaSample - e.varSample)
	e.covariance += weight * ((1-weight)*deltaRunning*deltaSample - e.covariance)
	e.peak = max(float64(running), e.peak*peakDecay)
}

// Limit returns the limit for a target. A target of 0 does not bound the latency.
func (e *Estimator) Limit(target time.Duration) int {
	if e.count < minSamples {
		return FirstLimit
	}
	maximum := min(MaxLimit, e.peak*growth+headroom)
	if target <= 0 {
		return int(maximum)
	}
	slope := e.slope()
	margin := zScore95 * math.Sqrt(max(0, e.varSample-slope*e.covariance))
	fitted := e.meanRunning + (targetFraction*target.Seconds()-margin-e.meanSample)/slope
	return int(max(1, min(maximum, fitted)))
}

// slope returns the seconds that one more running request adds to a sample. It is bounded: a sample
// can't grow faster than in proportion to the number of requests, and the minimum slope is positive.
func (e *Estimator) slope() float64 {
	maxSlope := e.meanSample / max(1, e.meanRunning)
	if e.varRunning < minVariance {
		return maxSlope / 2
	}
	return max(maxSlope/slopeRange, min(maxSlope, e.covariance/e.varRunning))
}
