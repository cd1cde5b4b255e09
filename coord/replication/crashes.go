package replication

import "time"

const (
	// crashMemory is how long a crash counts. Crashes of one cause follow each other within
	// seconds, and the engines that take over have more to do.
	crashMemory = 15 * time.Second
	// maxCrashes bounds the crashes that are kept. One is enough for the decision.
	maxCrashes = 64
)

// Crashes holds the engines of a service that have crashed lately. A crash that several entries
// report counts once. The zero value is empty.
type Crashes struct {
	at map[string]time.Time // by incarnation
}

// Record records the crash of an engine.
func (c *Crashes) Record(now time.Time, endpoint string) {
	c.expire(now)
	if _, known := c.at[endpoint]; known || len(c.at) >= maxCrashes {
		return
	}
	if c.at == nil {
		c.at = map[string]time.Time{}
	}
	c.at[endpoint] = now
}

// Includes reports whether an engine has crashed lately.
func (c *Crashes) Includes(now time.Time, endpoint string) bool {
	c.expire(now)
	_, known := c.at[endpoint]
	return known
}

// Recent returns the number of engines that have crashed within crashMemory.
func (c *Crashes) Recent(now time.Time) int {
	c.expire(now)
	return len(c.at)
}

func (c *Crashes) expire(now time.Time) {
	for endpoint, at := range c.at {
		if now.Sub(at) >= crashMemory {
			delete(c.at, endpoint)
		}
	}
}
