package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// team is a customer of the deployment.
type team struct{ name, key string }

// teams are the customers. The first is the one that sends many times its usual.
var teams = []team{{"team-1", teamKey}, {"team-2", "key-of-team-2"}, {"team-3", "key-of-team-3"}}

const (
	// contendingCallers call at once for the team that sends many times its usual.
	contendingCallers = 24
	contendingPause   = 5 * time.Millisecond // between the requests of each
	extraContention   = 2 * time.Second      // in addition to the shortest fault
	// minStarved is the fewest requests of a team by which it can be said to starve.
	minStarved = 30
	// starvedShare is the share of a team's requests that are served, as a part of that of all, below
	// which it starves.
	starvedShare = 0.25
	// impatientShare of the callers return at once, whatever Retry-After says.
	impatientShare = 0.25
)

// contend makes the first team send prompts from many callers for a time.
func contend(d *deployment, amount float64) {
	ctx, cancel := context.WithTimeout(context.Background(), faultDuration(amount, extraContention))
	defer cancel()
	var all sync.WaitGroup
	for n := range contendingCallers {
		all.Go(func() { d.runContendingCaller(ctx, uint64(n)) })
	}
	all.Wait()
}

// runContendingCaller sends streams for the first team, one after the other, until ctx is done. A
// request under way is not given up then.
func (d *deployment) runContendingCaller(ctx context.Context, number uint64) {
	random := rand.New(rand.NewPCG(requestCount.Load(), number))
	for ctx.Err() == nil {
		c := &connection{entry: d.entries[random.IntN(len(d.entries))]}
		k := requestKinds[2+random.IntN(2)] // streams
		d.callAndReturn(context.WithoutCancel(ctx), c, newObservation(k, teams[0]), random)
		c.close()
		time.Sleep(contendingPause)
	}
}

// callAndReturn sends a request. If it is refused with a Retry-After, it is sent once more, as callers
// do, under another id and with the same content. It returns the last observation.
func (d *deployment) callAndReturn(ctx context.Context, c *connection, s observation, random *rand.Rand) observation {
	s = d.requestOver(ctx, c, s)
	if s.retryAfter <= 0 {
		return s
	}
	if random.Float64() >= impatientShare {
		select {
		case <-ctx.Done():
			return s
		case <-time.After(min(s.retryAfter, requestTimeout/3)):
		}
	}
	return d.requestOver(ctx, c, s.returning())
}

// returning returns the next request for the same content.
func (s observation) returning() observation {
	next := newObservation(s.kind, s.team)
	next.target, next.returned = s.target, true
	return next
}

// retryAfterOf returns the Retry-After of a refusal, 0 for none.
func retryAfterOf(a *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	if err != nil || a.StatusCode != http.StatusServiceUnavailable && a.StatusCode != http.StatusTooManyRequests {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// checkReturned checks that what may not be repeated ran at most once also if its caller returned.
// history.mu must be held.
func (h *history) checkReturned() {
	runs := map[string]int{}
	for _, s := range h.observations {
		if s.kind.nonIdempotent {
			runs[s.target] += countRuns(h.runs[s.id])
		}
	}
	for _, s := range h.observations {
		if s.returned && runs[s.target] > 1 {
			h.addViolation(AtMostOnce, s.id, "%s ran %d times, before and after its caller returned", s.target, runs[s.target])
		}
	}
}

// checkStarved checks that no team is served far less than all. history.mu must be held.
func (h *history) checkStarved() {
	sent, served := map[string]int{}, map[string]int{}
	all := 0
	for _, s := range h.observations {
		if s.gaveUp || s.status == 0 {
			continue // the entry may have been killed
		}
		sent[s.team.name]++
		if s.status == http.StatusOK {
			served[s.team.name]++
			all++
		}
	}
	total := 0
	for _, n := range sent {
		total += n
	}
	for name, n := range sent {
		if n >= minStarved && float64(served[name])/float64(n) < starvedShare*float64(all)/float64(total) {
			h.addViolation(NoTeamStarves, "", "%d of %d requests of %s were served, and %d of %d of all", served[name], n, name, all, total)
		}
	}
}
