package placement

import "time"

// admitAims is how many aims a long prompt may wait before it is refused: what
// comes later earns little and keeps all others waiting.
const admitAims = 1.0

// Admit tells whether a request is to be sent where Choose would send it. If
// not, it returns when the prompts that wait there now will have been read.
func (c Choice) Admit(j Job, left time.Duration) (retryAfter time.Duration, ok bool) {
	if !c.Long || j.Aim <= 0 {
		return 0, true
	}
	wait := time.Duration(c.WaitMS * float64(time.Millisecond))
	if wait <= time.Duration(admitAims*float64(j.Aim)) {
		return 0, true
	}
	return min(wait-j.Aim/2, left/4), false
}
