package clock_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"foxcross.dev/coord/clock"
)

func Example() {
	steady := time.Now()
	noon := time.Date(2030, 1, 1, 12, 0, 0, 0, time.UTC)
	var e clock.Estimator
	e.Observe(steady, 0, noon.Add(5*time.Second)) // the process's own clock has jumped
	e.Observe(steady, 1, noon)
	e.Observe(steady, 2, noon.Add(10*time.Millisecond))
	now, _ := e.Now(steady.Add(time.Second))
	fmt.Println(now.UTC().Format(time.TimeOnly), e.Compared(steady.Add(time.Second)))
	// Output: 12:00:01 3
}

func TestNoEstimateWithoutSamples(t *testing.T) {
	var e clock.Estimator
	if _, ok := e.Now(time.Now()); ok {
		t.Error("Now returns a time without samples")
	}
}

// TestMinorityHasNoEffect checks that the estimate stays near the true time while the clocks of a
// minority jump by seconds and messages are delayed.
func TestMinorityHasNoEffect(t *testing.T) {
	const (
		clocks   = 9
		skew     = 20 * time.Millisecond
		transit  = 3 * time.Millisecond
		interval = 250 * time.Millisecond
		period   = 20 // steps; half of it is longer than sampleLifetime
	)
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		randomOffset := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(2*d))) - d }
		var skews, jumps [clocks]time.Duration
		for n := range clocks {
			skews[n] = randomOffset(skew)
		}
		start := time.Now()
		trueTime := time.Date(2030, 5, 5, 5, 5, 5, 0, time.UTC)
		var e clock.Estimator
		for step := range 80 {
			switch step % period {
			case 0: // four random clocks jump
				for _, n := range random.Perm(clocks)[:(clocks-1)/2] {
					jumps[n] = randomOffset(10 * time.Second)
				}
			case period / 2: // they jump back before others jump
				jumps = [clocks]time.Duration{}
			}
			at := time.Duration(step) * interval
			for n := range clocks {
				delay := time.Duration(random.Int64N(int64(transit)))
				if n > 0 && random.IntN(5) == 0 {
					delay += time.Duration(random.Int64N(int64(time.Second)))
				}
				e.Observe(start.Add(at+delay), clock.Source(n), trueTime.Add(at+skews[n]+jumps[n]))
			}
			now, ok := e.Now(start.Add(at + transit))
			compared := e.Compared(start.Add(at + transit))
			if !ok || compared != clocks {
				t.Fatalf("seed %d, step %d: %d clocks compared", seed, step, compared)
			}
			if step < period/2 {
				continue // the first message of each clock may have been late
			}
			if off := now.Sub(trueTime.Add(at + transit)); off.Abs() > skew+transit {
				t.Fatalf("seed %d, step %d: off by %v", seed, step, off)
			}
		}
	}
}

// TestSilentClocksAreIgnored checks that only clocks with a recent sample are compared.
func TestSilentClocksAreIgnored(t *testing.T) {
	start := time.Now()
	var e clock.Estimator
	for n := range clock.Source(5) {
		e.Observe(start, n, start.Add(time.Minute))
	}
	later := start.Add(time.Minute)
	e.Observe(later, 0, later)
	now, ok := e.Now(later)
	compared := e.Compared(later)
	if !ok || compared != 1 || now.Sub(later).Abs() > time.Millisecond {
		t.Errorf("%v of %d clocks, want %v", now, compared, later)
	}
}
