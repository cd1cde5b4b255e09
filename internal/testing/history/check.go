package history

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"foxcross.dev/coord/result"
)

// Check returns the broken promises of a history, in a fixed order.
func Check(events []Event, r Rules) []Breach {
	c := checker{
		rules:     r,
		requests:  map[string]*request{},
		left:      map[string][]span{},
		processes: map[string][]InForce{},
	}
	for _, e := range events {
		c.take(e)
	}
	c.checkRequests()
	c.checkSettings()
	return c.breaches
}

// request is all that happened to one request.
type request struct {
	submitted  Submitted
	executions []Executed
	answers    []Answered
}

// span is a time in which an endpoint takes no new work; it may be open.
type span struct {
	from, to time.Time
}

func (s span) holds(at time.Time) bool {
	return at.After(s.from) && (s.to.IsZero() || at.Before(s.to))
}

type checker struct {
	rules     Rules
	requests  map[string]*request
	left      map[string][]span
	processes map[string][]InForce
	accepted  []Accepted
	breaches  []Breach
}

func (c *checker) broken(p Promise, format string, args ...any) {
	c.breaches = append(c.breaches, Breach{p, fmt.Sprintf(format, args...)})
}

func (c *checker) requestOf(id string) *request {
	if c.requests[id] == nil {
		c.requests[id] = &request{}
	}
	return c.requests[id]
}

func (c *checker) take(e Event) {
	switch e := e.(type) {
	case Submitted:
		c.requestOf(e.ID).submitted = e
	case Executed:
		q := c.requestOf(e.ID)
		q.executions = append(q.executions, e)
	case Answered:
		q := c.requestOf(e.ID)
		q.answers = append(q.answers, e)
	case Displaced:
		if e.Tier <= e.ByTier {
			c.broken(TierOrder, "tier %d made room for tier %d", e.Tier, e.ByTier)
		}
	case Left:
		c.left[e.Endpoint] = append(c.left[e.Endpoint], span{from: e.At})
	case Joined:
		c.join(e)
	case Accepted:
		c.accepted = append(c.accepted, e)
	case InForce:
		c.processes[e.Process] = append(c.processes[e.Process], e)
	}
}

func (c *checker) checkRequests() {
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		q := c.requests[id]
		c.checkAnswers(id, q)
		c.checkExecutions(id, q)
		c.checkStart(id, q)
	}
}

func (c *checker) checkAnswers(id string, q *request) {
	if len(q.answers) != max(1, q.submitted.Copies) {
		c.broken(OneAnswer, "request %s has %d", id, len(q.answers))
	}
	for _, a := range q.answers {
		if len(q.executions) > 0 && q.allNotRun() {
			c.broken(NotRunIsTrue, "request %s ran at %s, its answer was %s", id, q.executions[0].Endpoint, a.Code)
		}
		if a.Code == result.OK && a.Body != q.submitted.Want {
			c.broken(WholeAnswer, "request %s got %q, its answer is %q", id, a.Body, q.submitted.Want)
		}
	}
}

// allNotRun tells whether every copy was said to be not run.
func (q *request) allNotRun() bool {
	for _, a := range q.answers {
		if a.Run != result.NotRun {
			return false
		}
	}
	return true
}

func (c *checker) checkExecutions(id string, q *request) {
	if !q.submitted.Repeatable && len(q.executions) > 1 {
		c.broken(AtMostOnce, "request %s ran %d times", id, len(q.executions))
	}
	for _, x := range q.executions {
		for _, s := range c.left[x.Endpoint] {
			if s.holds(x.At.Add(-c.rules.LeaveWithin)) && s.holds(x.At) {
				c.broken(LeavingIsLeft, "request %s was sent to %s %v after it left", id, x.Endpoint, x.At.Sub(s.from))
			}
		}
	}
}

// join closes the open span of an endpoint.
func (c *checker) join(e Joined) {
	spans := c.left[e.Endpoint]
	if last := len(spans) - 1; last >= 0 && spans[last].to.IsZero() {
		spans[last].to = e.At
	}
}

func (c *checker) checkStart(id string, q *request) {
	bound := c.rules.StartWithin[q.submitted.Class]
	if bound <= 0 {
		return
	}
	started := c.rules.End
	if len(q.executions) > 0 {
		started = q.executions[0].At
	} else if len(q.answers) > 0 {
		started = q.answers[0].At
	}
	if wait := started.Sub(q.submitted.At); wait > bound {
		c.broken(NoStarvation, "request %s of class %s waited %v, its bound is %v", id, q.submitted.Class, wait, bound)
	}
}

func (c *checker) checkSettings() {
	for _, p := range slices.Sorted(maps.Keys(c.processes)) {
		c.checkOrder(p, c.processes[p])
	}
	for _, p := range c.rules.Processes {
		for _, a := range c.accepted {
			c.checkInForce(p, a)
		}
	}
}

func (c *checker) checkOrder(process string, seen []InForce) {
	for n := 1; n < len(seen); n++ {
		if seen[n].Version < seen[n-1].Version {
			c.broken(NeverReverts, "%s went from version %d to %d", process, seen[n-1].Version, seen[n].Version)
		}
	}
}

func (c *checker) checkInForce(process string, a Accepted) {
	due := a.At.Add(c.rules.ForceWithin)
	if c.rules.End.Before(due) {
		return
	}
	for _, s := range c.processes[process] {
		if s.Version >= a.Version && !s.At.After(due) {
			return
		}
	}
	c.broken(InForceSoon, "%s did not work by version %d in time", process, a.Version)
}
