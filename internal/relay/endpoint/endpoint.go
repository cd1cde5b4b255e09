// Package endpoint runs work on the endpoints beside an agent: model engines
// and plain services. Drivers register themselves.
package endpoint

import (
	"context"

	"foxcross.dev/coord/message"
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/kernel"
)

// Call is one attempt to run.
type Call struct {
	Target string
	Terms  message.Terms
	Start  message.Start
}

// Sink takes the pieces of an answer. An error means that nobody wants more.
type Sink interface {
	Head(status int, header []message.Field) error
	// Text takes answer text of a model.
	Text(text string, tokens int) error
	// Data takes a service's bytes, or choices of a model that are not plain text.
	Data(data []byte, tokens int) error
}

// Driver runs calls on one endpoint.
type Driver interface {
	// Run blocks until the call is over or ctx is done. The end says NotRun
	// only if nothing was written to the endpoint.
	Run(ctx context.Context, c Call, s Sink) message.End
}

// Examiner is a driver that can tell a crash of its endpoint from a connection that broke.
type Examiner interface {
	// Crashed tells, right after a call broke, whether the endpoint is gone.
	Crashed(ctx context.Context) bool
}

// Settings describe an endpoint to its driver.
type Settings struct {
	Name    string
	Address string // base URL
}

// Factory makes a driver.
type Factory func(Settings) (Driver, error)

// Drivers are the registered endpoint drivers.
var Drivers kernel.Registry[Factory]

func failed(run result.Run, reason string) message.End {
	return message.End{Code: result.EndpointFailed, Run: run, Reason: reason}
}
