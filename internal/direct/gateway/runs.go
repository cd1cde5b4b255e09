// Which requests count as run, for the usage of teams.
//
// Rule: a request counts once, when the first sign comes that an endpoint began to run it:
// the first event of a stream, or an answer that does not say that it was not run.
// Inputs: events of attempts.
// Never: a request counts twice because it was sent to a second endpoint.

package gateway

// began counts the request as run, the first time that it is told.
func (g *Gateway) began(q *request) {
	if q.counted || g.options.Began == nil {
		return
	}
	q.counted = true
	g.options.Began(q.team)
}

// provesRun tells whether an event shows that the endpoint began to run the request.
func provesRun(e event) bool {
	switch e.(type) {
	case answered, endpointError:
		return true
	default:
		return false
	}
}
