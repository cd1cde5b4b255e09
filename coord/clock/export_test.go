package clock

import "time"

// Compared returns of how many processes the times are compared at a reading of the steady clock.
func (e *Estimate) Compared(steady time.Time) int { return len(e.offsets(steady)) }
