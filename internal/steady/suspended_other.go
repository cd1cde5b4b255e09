//go:build !linux

package steady

import "time"

// suspended returns 0: suspension is noticed on Linux only.
func suspended() time.Duration { return 0 }
