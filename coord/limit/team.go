package limit

import (
	"math"
	"time"
)

// maxTeams bounds the stored teams with a limit in use. It exceeds the 40,000 teams of
// docs/CAPACITY.md.
const maxTeams = 1 << 16

// Allowance is the limit of a team at this entry.
type Allowance struct {
	Rate        float64 // requests per second, 0 for no limit
	Concurrency int     // concurrent requests, 0 for no limit
}

// Share returns the share of a team's allowance for one of the given number of entries. A
// concurrency limit is at least one request at each entry.
func (a Allowance) Share(entries int) Allowance {
	entries = max(1, entries)
	shared := Allowance{Rate: a.Rate / float64(entries)}
	if a.Concurrency > 0 {
		shared.Concurrency = max(1, int(math.Ceil(float64(a.Concurrency)/float64(entries))))
	}
	return shared
}

// fullRetryAfter is the time after which a team at its concurrency limit may retry.
const fullRetryAfter = time.Second

// Teams tracks the usage of each team. The zero value is empty.
type Teams struct {
	teams map[string]*usage
}

// usage is a token bucket and a count of concurrent requests.
type usage struct {
	tokens   float64
	filledAt time.Time // time of the last update of tokens
	current  int       // concurrent requests
}

// Acquire counts one request of the team if its allowance permits it. Otherwise it returns the
// time after which to retry.
func (t *Teams) Acquire(now time.Time, team string, a Allowance) (ok bool, retry time.Duration) {
	if a.Rate <= 0 && a.Concurrency <= 0 {
		return true, 0
	}
	u := t.usageOf(now, team, a)
	u.fill(now, a.Rate)
	if a.Concurrency > 0 && u.current >= a.Concurrency {
		return false, fullRetryAfter
	}
	if a.Rate > 0 && u.tokens < 1 {
		return false, time.Duration((1 - u.tokens) / a.Rate * float64(time.Second))
	}
	if a.Rate > 0 {
		u.tokens--
	}
	u.current++
	return true, 0
}

func (t *Teams) usageOf(now time.Time, team string, a Allowance) *usage {
	if u, ok := t.teams[team]; ok {
		return u
	}
	if t.teams == nil {
		t.teams = map[string]*usage{}
	}
	t.removeIdle(now)
	u := &usage{tokens: burst(a.Rate), filledAt: now}
	t.teams[team] = u
	return u
}

// burst returns the size of a token bucket: the tokens of one second, at least one.
func burst(rate float64) float64 { return max(1, rate) }

func (u *usage) fill(now time.Time, rate float64) {
	u.tokens = min(burst(rate), u.tokens+rate*now.Sub(u.filledAt).Seconds())
	u.filledAt = now
}

// idleAfter is the time after which a team without requests may be removed. Its bucket is full by
// then.
const idleAfter = time.Minute

func (t *Teams) removeIdle(now time.Time) {
	if len(t.teams) < maxTeams {
		return
	}
	for n, u := range t.teams {
		if u.current == 0 && now.Sub(u.filledAt) > idleAfter {
			delete(t.teams, n)
		}
	}
}

// Release ends a request counted by Acquire.
func (t *Teams) Release(team string) {
	if u, ok := t.teams[team]; ok && u.current > 0 {
		u.current--
	}
}
