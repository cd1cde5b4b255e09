package platformtest

import (
	"strings"
	"time"
)

// Act is what a runner does with a request.
type Act interface{ act() }

// The acts of a runner.
type (
	// Answer is a whole answer with a length.
	Answer struct {
		Status int
		Body   string
	}
	// Refuse says that the request is not run, and when to come back: each value in a Retry-After
	// field of its own.
	Refuse struct {
		Status     int
		RetryAfter []string
	}
	// Fail is a failure without the word that the request has not run.
	Fail struct {
		Status     int
		RetryAfter []string
	}
	// Delayed does something after a time.
	Delayed struct {
		By   time.Duration
		Then Act
	}
	// Break runs the request and resets the connection without an answer.
	Break struct{}
	// Crash runs the request and ends the runner with all its connections, once After is
	// closed, nil for at once. Begun is what it gives before of an answer without a length, empty
	// for no answer: its connections are closed as if it had ended.
	Crash struct {
		After chan struct{}
		Begun string
	}
	// Cut breaks the answer off within its body.
	Cut struct{}
	// Unframed gives an answer that ends with its connection, reset if Broken.
	Unframed struct {
		Body   string
		Broken bool
	}
	// Surplus sends an answer to another request before the right one.
	Surplus struct{}
	// Twice sends the right answer and another one behind it.
	Twice struct{}
	// Garbage sends bytes that are no answer.
	Garbage struct{}
	// Unsealed answers without the runner's mark.
	Unsealed struct{}
	// Hang runs the request and never answers.
	Hang struct{}
	// Early answers before it reads the body, and reads on.
	Early struct{ Status int }
	// Events is a stream of events with ids from After+1 to To. With Broken it
	// stops within the event after To.
	Events struct {
		To     int
		Broken bool
		Hold   chan struct{} // closed to let the events after the first go, nil for at once
		Pause  time.Duration // before each event
		Token  time.Duration // that a token of a prompt takes to compute, before the first event
	}
	// ByPath does one thing with requests below a prefix and another with the rest.
	ByPath struct {
		Prefix []string
		Then   Act
		Else   Act
	}
)

func (Answer) act()   {}
func (Refuse) act()   {}
func (Fail) act()     {}
func (Delayed) act()  {}
func (Break) act()    {}
func (Crash) act()    {}
func (Cut) act()      {}
func (Unframed) act() {}
func (Surplus) act()  {}
func (Twice) act()    {}
func (Garbage) act()  {}
func (Unsealed) act() {}
func (Hang) act()     {}
func (Early) act()    {}
func (Events) act()   {}
func (ByPath) act()   {}

// choose returns the act for a path.
func (b ByPath) choose(path string) Act {
	chosen := b.Else
	for _, prefix := range b.Prefix {
		if strings.HasPrefix(path, prefix) {
			chosen = b.Then
			break
		}
	}
	if further, ok := chosen.(ByPath); ok {
		return further.choose(path)
	}
	return chosen
}
