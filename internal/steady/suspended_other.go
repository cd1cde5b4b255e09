//go:build !linux

package steady

import "time"

// kernel notices nothing: suspension is noticed on Linux only.
var kernel awake

// awake is a machine that is never suspended.
type awake struct{}

func (awake) recent() time.Duration { return 0 }
func (awake) exact() time.Duration  { return 0 }
