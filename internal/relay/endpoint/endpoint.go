// Package endpoint runs calls on the endpoints beside an agent: model engines
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

// Sink receives a response. If a method returns an error, the driver stops: no more of the
// answer is wanted.
type Sink interface {
	// Head receives the status and the header of a service's response.
	Head(status int, header []message.Field) error
	// Text receives answer text of a model.
	Text(text string, tokens int) error
	// Data receives bytes from a service, or choices of a model that are not plain text.
	Data(data []byte, tokens int) error
}

// Driver runs calls on one endpoint.
type Driver interface {
	// Run blocks until the call has ended or ctx is done. The returned end has Run set to
	// NotRun only if nothing was written to the endpoint.
	Run(ctx context.Context, c Call, s Sink) message.End
}

// CrashDetector is a driver that can distinguish a crash of its endpoint from a failed connection.
type CrashDetector interface {
	// HasCrashed reports whether the endpoint is no longer running. It is called right after a
	// call has failed.
	HasCrashed(ctx context.Context) bool
}

// Settings configures the driver of an endpoint.
type Settings struct {
	Name    string
	Address string // base URL
}

// Factory creates a driver.
type Factory func(Settings) (Driver, error)

// Drivers holds the registered endpoint drivers.
var Drivers kernel.Registry[Factory]

// failed returns the end of a call that failed.
func failed(run result.Execution, reason string) message.End {
	return message.End{Code: result.EndpointFailed, Run: run, Reason: reason}
}
