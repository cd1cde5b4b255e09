package clock

import "time"

// Compared returns the number of processes with a recent sample at a reading of the steady clock.
func (e *Estimator) Compared(steady time.Time) int { return len(e.offsets(steady)) }
