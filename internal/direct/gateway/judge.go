package gateway

import (
	"errors"
	"fmt"

	"foxcross.dev/coord/completeness"
	"foxcross.dev/foxcross/internal/direct/upstream"
)

// judge returns the verdict on a response whose body ended with err. If it is broken, the error wraps
// upstream.ErrBroken.
func (g *Gateway) judge(a *attempt, response *upstream.Response, err error, tail completeness.Tail) (completeness.Verdict, error) {
	e := response.Evidence(err, tail)
	v := response.Judge(e)
	a.recordEnd(e, v)
	g.options.Metrics.Tagged(map[string]string{"framing": e.Framing.String(), "verdict": v.String()}).Counter("bodies_ended").Inc(1)
	switch {
	case v != completeness.Broken:
		return v, nil
	case e.End == completeness.Failed:
		return v, errors.Join(upstream.ErrBroken, err)
	default:
		return v, fmt.Errorf("%w: the body ended %s", upstream.ErrBroken, a.ended)
	}
}

// recordEnd sets how the body of the attempt's response was framed and how it ended, for the log.
func (a *attempt) recordEnd(e completeness.Evidence, v completeness.Verdict) {
	a.framing = e.Framing.String()
	a.ended = e.End.String()
	if e.Upload != completeness.Accepted {
		a.ended += ", request " + e.Upload.String()
	}
	if e.Tail != completeness.Opaque {
		a.ended += ", " + e.Tail.String()
	}
	a.ended += ": " + v.String()
}
