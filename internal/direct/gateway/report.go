package gateway

import (
	"time"

	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/direct/record"
	"foxcross.dev/foxcross/internal/logs"
	"foxcross.dev/foxcross/internal/steady"

	"github.com/uber-go/tally/v4"
)

// report writes the line that explains what became of a request, and counts it.
func (g *Gateway) report(q *request, f *result.Error) {
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
	if target := q.spec.FirstToken; target > 0 {
		fields["first_target_ms"] = target.Milliseconds()
	}
	if target := q.spec.BetweenTokens; target > 0 {
		fields["between_target_ms"] = target.Milliseconds()
	}
	if !q.first.IsZero() {
		fields["first_ms"] = q.first.Sub(q.received).Milliseconds()
	}
	if q.pause > 0 {
		fields["pause_ms"] = q.pause.Milliseconds()
	}
	if len(q.attempts) > 0 {
		fields["sends"] = q.records()
	}
	if q.key != nil {
		fields["content"] = q.key.String()
	}
	log.Event("A request ended.", fields)
	g.measure(q, code)
}

// records returns the attempts of a request for the log.
func (q *request) records() []record.Attempt {
	all := make([]record.Attempt, 0, len(q.attempts))
	for _, a := range q.attempts {
		r := record.AttemptOf(a.choice, a.outcome)
		r.Limit = a.limit
		r.RetryAfter = a.retryAfter
		r.Draining = a.draining
		all = append(all, r)
	}
	return all
}

// buckets of the measured times: 5 ms to 10 s, each twice the one before.
var buckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)

// measure counts an ended request.
func (g *Gateway) measure(q *request, code result.Code) {
	scope := g.options.Metrics.Tagged(map[string]string{"class": q.class.Name, "result": code.Entry().Name})
	scope.Counter("requests").Inc(1)
	scope.Counter("sends").Inc(int64(len(q.attempts)))
	for _, a := range q.attempts {
		scope.Counter("reread_tokens").Inc(int64(a.choice.RereadTokens))
		g.measureBytes(q, a)
		if a.choice.Fetch.Any() {
			scope.Counter("fetches").Inc(1)
			scope.Counter("fetched_tokens").Inc(int64(a.choice.Fetch.Tokens))
		}
	}
	scope.Histogram("total_seconds", buckets).RecordDuration(steady.Since(q.received))
	if !q.first.IsZero() {
		scope.Histogram("first_seconds", buckets).RecordDuration(q.first.Sub(q.received))
	}
}

// measureBytes counts the bodies that went to an endpoint and came back, without headers,
// by whether they crossed between data centres.
func (g *Gateway) measureBytes(q *request, a *attempt) {
	if a.outcome == outcomeRefused || a.outcome == outcomeWithdrawn {
		return // nothing was sent
	}
	place := "own"
	if a.endpoint().DataCentre != g.options.Process.DataCentre {
		place = "other"
	}
	scope := g.options.Metrics.Tagged(map[string]string{"data_centre": place})
	scope.Counter("request_bytes").Inc(int64(len(q.body)))
	scope.Counter("answer_bytes").Inc(int64(a.bytes))
}
