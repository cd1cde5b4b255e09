package history

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"foxcross.dev/coord/result"
)

// Check returns the violations of promises in a history, in a deterministic order.
func Check(events []Event, r Rules) []Violation {
	c := checker{
		rules:     r,
		requests:  map[string]*request{},
		leaving:   map[string][]span{},
		processes: map[string][]Activated{},
	}
	for _, e := range events {
		c.addEvent(e)
	}
	c.checkRequests()
	c.checkSettings()
	return c.violations
}

// request holds the events of one request.
type request struct {
	submitted  Submitted
	executions []Executed
	answers    []Answered
}

// span is a time in which an endpoint accepts no new work. A zero end means that it is open.
type span struct {
	from, to time.Time
}

func (s span) contains(at time.Time) bool {
	return at.After(s.from) && (s.to.IsZero() || at.Before(s.to))
}

type checker struct {
	rules      Rules
	requests   map[string]*request
	leaving    map[string][]span
	processes  map[string][]Activated
	accepted   []Accepted
	violations []Violation
}

func (c *checker) addViolation(p Promise, format string, args ...any) {
	c.violations = append(c.violations, Violation{p, fmt.Sprintf(format, args...)})
}

func (c *checker) requestOf(id string) *request {
	if c.requests[id] == nil {
		c.requests[id] = &request{}
	}
	return c.requests[id]
}

func (c *checker) addEvent(e Event) {
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
			c.addViolation(TierOrder, "tier %d was displaced by tier %d", e.Tier, e.ByTier)
		}
	case Left:
		c.leaving[e.Endpoint] = append(c.leaving[e.Endpoint], span{from: e.At})
	case Joined:
		c.endLeaving(e)
	case Accepted:
		c.accepted = append(c.accepted, e)
	case Activated:
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
		c.addViolation(OneAnswer, "request %s has %d", id, len(q.answers))
	}
	for _, a := range q.answers {
		if len(q.executions) > 0 && q.allReportedNotRun() {
			c.addViolation(NotRunReportedTruthfully, "request %s ran at %s, its answer was %s", id, q.executions[0].Endpoint, a.Code)
		}
		if a.Code == result.OK && a.Body != q.submitted.WantBody {
			c.addViolation(WholeAnswer, "request %s got %q, want %q", id, a.Body, q.submitted.WantBody)
		}
	}
}

// allReportedNotRun reports whether the responses to all copies say that the request was not run.
func (q *request) allReportedNotRun() bool {
	for _, a := range q.answers {
		if a.Run != result.NotRun {
			return false
		}
	}
	return true
}

func (c *checker) checkExecutions(id string, q *request) {
	if !q.submitted.Repeatable && len(q.executions) > 1 {
		c.addViolation(AtMostOnce, "request %s ran %d times", id, len(q.executions))
	}
	for _, x := range q.executions {
		for _, s := range c.leaving[x.Endpoint] {
			if s.contains(x.At.Add(-c.rules.LeaveGracePeriod)) && s.contains(x.At) {
				c.addViolation(NoWorkAfterLeaving, "request %s was sent to %s %v after it announced that it leaves", id, x.Endpoint, x.At.Sub(s.from))
			}
		}
	}
}

// endLeaving closes the open span of an endpoint.
func (c *checker) endLeaving(e Joined) {
	spans := c.leaving[e.Endpoint]
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
		c.addViolation(NoStarvation, "request %s of class %s waited %v, its bound is %v", id, q.submitted.Class, wait, bound)
	}
}

func (c *checker) checkSettings() {
	for _, p := range slices.Sorted(maps.Keys(c.processes)) {
		c.checkOrder(p, c.processes[p])
	}
	for _, p := range c.rules.Processes {
		for _, a := range c.accepted {
			c.checkActivation(p, a)
		}
	}
}

func (c *checker) checkOrder(process string, seen []Activated) {
	for n := 1; n < len(seen); n++ {
		if seen[n].Version < seen[n-1].Version {
			c.addViolation(NeverReverts, "%s went from version %d to %d", process, seen[n-1].Version, seen[n].Version)
		}
	}
}

func (c *checker) checkActivation(process string, a Accepted) {
	due := a.At.Add(c.rules.ActivationTimeout)
	if c.rules.End.Before(due) {
		return
	}
	for _, s := range c.processes[process] {
		if s.Version >= a.Version && !s.At.After(due) {
			return
		}
	}
	c.addViolation(ActiveInTime, "%s did not use version %d in time", process, a.Version)
}
