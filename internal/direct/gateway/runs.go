// Counts the requests that were run, for the usage of teams.
//
// Rule: a request counts once, at the first evidence that an endpoint began to run it: the first
// event of a stream, or a response that does not report that the request was not run.
// Inputs: results of attempts.
// Never: a request counts twice because it was sent to a second endpoint.

package gateway

// countRun counts the request as run. Later calls for the same request have no effect.
func (g *Gateway) countRun(q *request) {
	if q.runCounted || g.options.OnRunStart == nil {
		return
	}
	q.runCounted = true
	g.options.OnRunStart(q.team)
}

// provesRunStarted reports whether a result shows that the endpoint began to run the request.
func provesRunStarted(res attemptResult) bool {
	switch res.(type) {
	case responded, endpointError:
		return true
	default:
		return false
	}
}
