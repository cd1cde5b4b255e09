// Package completeness decides whether a response whose body has ended is complete.
//
// Rule: a body with a length or in chunks is complete if its framing ended it. A body that lasts
// until its connection closes is broken if the connection failed, also under the request that was still
// being sent, if the endpoint is gone, or if it is a stream without a single event. It is complete if it
// is a stream whose last event is whole; otherwise its end proves nothing. In each framing, a stream that
// ends inside an event is broken. A body with a length or in chunks may end before its request does.
// Inputs: the framing, how the body ended, whether the endpoint received the request, what the last bytes
// of a stream are, and whether the endpoint still accepts connections.
// Never: a body that may be a part counts as complete because no error was seen.
package completeness

// Framing is how the end of a body is marked (RFC 9112, 6.3).
type Framing uint8

// The framings.
const (
	NoBody     Framing = iota // the method or the status excludes one
	Length                    // a Content-Length
	Chunked                   // the last chunk
	UntilClose                // the close of the connection
)

// FramingOf returns the framing of an HTTP response by its length, -1 for unknown, its transfer codings
// and whether it may have a body.
func FramingOf(length int64, codings []string, mayHaveBody bool) Framing {
	switch {
	case !mayHaveBody:
		return NoBody
	case len(codings) > 0:
		return Chunked
	case length < 0:
		return UntilClose
	default:
		return Length
	}
}

// String implements fmt.Stringer.
func (f Framing) String() string {
	return [...]string{"no body", "length", "chunked", "until close"}[f]
}

// End is how the reading of a body ended.
type End uint8

// The ends.
const (
	InOrder End = iota // by its framing; for UntilClose, the connection closed in order
	Failed             // the connection was reset, timed out or closed early, or the framing is invalid
)

// String implements fmt.Stringer.
func (e End) String() string { return [...]string{"in order", "failed"}[e] }

// Tail is what the last bytes of a body are.
type Tail uint8

// The tails. A body that is no stream of events is Opaque.
const (
	Opaque        Tail = iota
	NoEvent            // the stream held no event
	BetweenEvents      // the last event is whole
	InsideEvent        // the last event is not
)

// String implements fmt.Stringer.
func (t Tail) String() string {
	return [...]string{"opaque", "no event", "between events", "inside an event"}[t]
}

// Upload is the state of a request's transfer when its response ended.
type Upload uint8

// The states of an upload.
const (
	Accepted Upload = iota // all bytes are acknowledged
	Unread                 // some bytes are not acknowledged, on a connection that has not failed
	CutOff                 // the connection failed before all bytes were acknowledged
)

// String implements fmt.Stringer.
func (u Upload) String() string { return [...]string{"accepted", "unread", "cut off"}[u] }

// Evidence is what is known of a body that has ended.
type Evidence struct {
	Framing Framing
	End     End
	Upload  Upload
	Tail    Tail
}
