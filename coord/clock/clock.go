// Package clock estimates the true time from several clocks, some of which may be wrong.
//
// Rule: a process has the offset of its own wall clock from its steady clock, and that of other
// processes' wall clocks, taken from their messages at receipt. The estimate is the median of these
// offsets, so that clocks that jump have no effect while they are a minority. For each process
// the largest offset within sampleLifetime counts: a delay of a message in transit, or in a socket
// buffer while this process is paused, makes an offset smaller, never larger.
// Inputs: readings of the steady clock and of wall clocks.
// Never: the process's own wall clock has more weight than that of any other process.
//
// This package does no I/O, starts no goroutine and reads no clock.
package clock

import (
	"slices"
	"time"
)

const (
	// sampleLifetime is how long a sample counts. Each process sends several messages within it.
	sampleLifetime = 2 * time.Second
	// maxSources bounds the stored processes. It exceeds the planned number of entries of a
	// deployment.
	maxSources = 1024
)

// Source identifies a process whose wall clock is compared. 0 is the process itself.
type Source uint64

// Estimator is the estimate that one process has of the true time. The zero value has no samples.
// It is not safe for concurrent use.
type Estimator struct {
	firstReading time.Time // reading of the steady clock at the first sample
	sources      map[Source]source
}

// source holds the samples of one process's wall clock.
type source struct {
	best    sample // largest offset since it was taken; replaced after sampleLifetime
	newest  sample
	pending sample // largest offset since best was taken
}

// sample is one offset of a wall clock from the steady clock.
type sample struct {
	offset time.Duration
	at     time.Time // reading of the steady clock
}

// Observe records the wall clock time of a process at a reading of the steady clock. The reading
// needs Go's monotonic clock; the wall clock time does not.
func (e *Estimator) Observe(steady time.Time, from Source, wall time.Time) {
	if e.sources == nil {
		e.sources = map[Source]source{}
		e.firstReading = steady
	}
	s, known := e.sources[from]
	if !known && len(e.sources) >= maxSources {
		e.removeExpired(steady)
		if len(e.sources) >= maxSources {
			return
		}
	}
	e.sources[from] = s.with(sample{offset: wall.Sub(time.Unix(0, 0)) - steady.Sub(e.firstReading), at: steady})
}

// with returns the source with one more sample.
func (s source) with(x sample) source {
	s.newest = x
	switch {
	case s.best.at.IsZero() || x.offset >= s.best.offset:
		s.best, s.pending = x, sample{}
	case x.at.Sub(s.best.at) > sampleLifetime:
		s.best, s.pending = s.pending, sample{}
		if s.best.at.IsZero() || x.offset >= s.best.offset {
			s.best = x
		}
	case s.pending.at.IsZero() || x.offset >= s.pending.offset:
		s.pending = x
	}
	return s
}

// removeExpired removes the sources without a recent sample.
func (e *Estimator) removeExpired(steady time.Time) {
	for name, s := range e.sources {
		if steady.Sub(s.newest.at) > sampleLifetime {
			delete(e.sources, name)
		}
	}
}

// Now returns the estimated true time at a reading of the steady clock. It returns false if
// there is no recent sample.
func (e *Estimator) Now(steady time.Time) (now time.Time, ok bool) {
	offsets := e.offsets(steady)
	if len(offsets) == 0 {
		return time.Time{}, false
	}
	slices.Sort(offsets)
	median := offsets[(len(offsets)-1)/2]
	if len(offsets)%2 == 0 {
		median += (offsets[len(offsets)/2] - median) / 2
	}
	return time.Unix(0, 0).Add(median + steady.Sub(e.firstReading)), true
}

// offsets returns the offsets of the processes with a recent sample at a reading of the steady
// clock.
func (e *Estimator) offsets(steady time.Time) []time.Duration {
	var all []time.Duration
	for _, s := range e.sources {
		if steady.Sub(s.newest.at) <= sampleLifetime {
			all = append(all, s.best.offset)
		}
	}
	return all
}
