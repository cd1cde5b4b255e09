package gateway

import (
	"slices"
	"strconv"
	"time"

	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/direct/record"
	"foxcross.dev/foxcross/internal/logs"
	"foxcross.dev/foxcross/internal/steady"

	"github.com/uber-go/tally/v4"
)

// logRequest writes the log line of a request and updates its metrics.
func (g *Gateway) logRequest(q *request, f *result.Error) {
	code := result.OK
	fields := logs.Fields{
		"request":  q.id,
		"class":    q.class.Name,
		"team":     q.team,
		"service":  q.spec.Service,
		"priority": q.spec.Priority,
		"total_ms": steady.Since(q.received).Milliseconds(),
	}
	if f != nil {
		code = f.Code
		fields["reason"] = f.Reason
		fields["run"] = f.Run.String()
	}
	fields["code"] = int(code)
	fields["result"] = code.Entry().Name
	if target := q.spec.FirstEventTarget; target > 0 {
		fields["first_target_ms"] = target.Milliseconds()
	}
	if target := q.spec.InterEventTarget; target > 0 {
		fields["between_target_ms"] = target.Milliseconds()
	}
	if !q.firstEventAt.IsZero() {
		fields["first_ms"] = q.firstEventAt.Sub(q.received).Milliseconds()
	}
	if q.maxPause > 0 {
		fields["pause_ms"] = q.maxPause.Milliseconds()
	}
	if q.standing > 0 {
		fields["standing"] = record.StandingOf(q.standing)
	}
	if q.resumed != nil {
		fields["resumes"] = q.resumed.record()
		g.countResumedStream(q)
	}
	if len(q.attempts) > 0 {
		fields["sends"] = q.attemptRecords()
	}
	if q.crashedEndpoint() {
		fields["prompt_parts"] = partIDs(q.spec.Prompt)
	}
	if a := q.admissionRecord(); a != nil {
		fields["admission"] = a
	}
	if q.cachedKey != nil {
		fields["content"] = q.cachedKey.String()
	}
	log.Event("A request ended.", fields)
	g.recordMetrics(q, code)
}

// attemptRecords returns the request's attempts for the log.
func (q *request) attemptRecords() []record.Attempt {
	records := make([]record.Attempt, 0, len(q.attempts))
	for _, a := range q.attempts {
		r := record.AttemptOf(a.choice, a.outcome)
		r.Limit = a.limit
		r.RetryAfter = a.retryAfter
		r.Draining = a.draining
		r.NotResumed = a.notResumed
		r.Framing, r.Ended = a.framing, a.ended
		r.Silent = a.crashed && !a.gotFirstEvent
		a.recordReplica(&r)
		records = append(records, r)
	}
	return records
}

// crashedEndpoint reports whether the endpoint of an attempt crashed.
func (q *request) crashedEndpoint() bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.crashed })
}

// partIDs returns the IDs of the parts that other prompts may share, in the form in which callers send
// them.
func partIDs(p memory.Prompt) []string {
	ids := []string{}
	for _, x := range p.Shared() {
		ids = append(ids, strconv.FormatUint(x.ID, 16))
	}
	return ids
}

// durationBuckets are 5 ms to 10 s, each twice the one before.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)

// recordMetrics updates the metrics of an ended request.
func (g *Gateway) recordMetrics(q *request, code result.Code) {
	scope := g.options.Metrics.Tagged(map[string]string{"class": q.class.Name, "result": code.Entry().Name})
	scope.Counter("requests").Inc(1)
	scope.Counter("sends").Inc(int64(len(q.attempts)))
	g.countAdmission(q, code)
	for _, a := range q.attempts {
		scope.Counter("reread_tokens").Inc(int64(a.choice.RecomputedTokens))
		g.countBytes(q, a)
		g.countReplica(scope, q, a)
		g.countPause(a)
		if a.choice.Fetch.Any() {
			scope.Counter("fetches").Inc(1)
			scope.Counter("fetched_tokens").Inc(int64(a.choice.Fetch.Tokens))
		}
	}
	scope.Histogram("total_seconds", durationBuckets).RecordDuration(steady.Since(q.received))
	if !q.firstEventAt.IsZero() {
		scope.Histogram("first_seconds", durationBuckets).RecordDuration(q.firstEventAt.Sub(q.received))
	}
}

// countBytes counts the bytes of bodies sent to an endpoint and received from it, without headers,
// by whether the endpoint is in another data centre.
func (g *Gateway) countBytes(q *request, a *attempt) {
	if a.outcome == outcomeRefused || a.outcome == outcomeWithdrawn {
		return // nothing was sent
	}
	location := "own"
	if a.endpoint().DataCentre != g.options.Process.DataCentre {
		location = "other"
	}
	scope := g.options.Metrics.Tagged(map[string]string{"data_centre": location})
	scope.Counter("request_bytes").Inc(int64(len(q.body)))
	scope.Counter("answer_bytes").Inc(int64(a.bytes))
}
