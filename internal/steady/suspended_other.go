//go:build !linux

package steady

import "time"

// systemClocks detects no suspension: it is detected on Linux only.
var systemClocks noSuspension

// noSuspension reports no suspension.
type noSuspension struct{}

func (noSuspension) recent() time.Duration { return 0 }
func (noSuspension) exact() time.Duration  { return 0 }
