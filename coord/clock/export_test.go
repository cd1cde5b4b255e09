package clock

import "time"

// Compared returns the number of processes with a recent sample at a reading of the monotonic clock.
func (e *Estimator) Compared(monotonic time.Time) int { return len(e.offsets(monotonic)) }
