// Decides at which version a stream may be resumed.
//
// Rule:
//   - at the version that began it, if that is known and the request still goes to its service;
//   - else, if it isn't known, at the only version that the service has run for longer than a
//     stream lasts, by a list of endpoints that was the newest at most maxListAge ago: that
//     version has begun it, whoever did;
//   - for a caller that does not name the stream, at the only version that is known, since nobody can
//     ever know the origin;
//   - else other entries are asked, once;
//   - else nowhere.
//
// Inputs: the origin, the versions of the service, the age of the list.
// Units: times.
// Never: a version is guessed while several are known; the newest version is preferred to another.

package resumption

import (
	"slices"
	"time"
)

// maxListAge is the greatest age of a list of endpoints from which the only version of a service is
// derived. It is below the time in which an endpoint of a new version starts, begins a stream and
// breaks it off.
const maxListAge = 2 * time.Second

// Input holds what the decision about one stream depends on.
type Input struct {
	Origin     Origin
	Known      bool          // the origin is known
	Services   []string      // to which the request may go
	Named      bool          // the caller names the stream
	Version    string        // the only one that its service has run, as far as is known
	Only       bool          // there is such a version
	Observed   bool          // the service has been observed for longer than a stream lasts
	ListAge    time.Duration // since the list of endpoints was known to be the newest
	PeersAsked bool
}

// Decision is whether and where a stream is resumed.
type Decision interface{ decision() }

type (
	// Resume resumes the stream at the version.
	Resume struct {
		Software
		Recorded bool // its origin is known; else the service has run no other version
	}
	// AskPeers asks other entries, which may know the origin.
	AskPeers struct{}
	// Refuse means that the stream can't be resumed.
	Refuse struct{ Reason Reason }
)

func (Resume) decision()   {}
func (AskPeers) decision() {}
func (Refuse) decision()   {}

// Reason is why a stream can't be resumed.
type Reason uint8

// The reasons.
const (
	OriginUnknown Reason = iota + 1 // nobody knows which version began it
	OtherService                    // the request goes to another service than the stream began at
)

// String returns a readable form of the reason.
func (r Reason) String() string {
	switch r {
	case OriginUnknown:
		return "it is not known which version began the stream"
	case OtherService:
		return "the stream began at another service"
	default:
		return "unknown"
	}
}

// Decide returns whether and where a stream is resumed.
func Decide(i Input) Decision {
	switch {
	case i.Known && !slices.Contains(i.Services, i.Origin.Service):
		return Refuse{OtherService}
	case i.Known:
		return Resume{Software: i.Origin.Software, Recorded: true}
	case i.Only && len(i.Services) == 1 && i.certain():
		return Resume{Software: Software{Service: i.Services[0], Version: i.Version}}
	case i.Named && !i.PeersAsked:
		return AskPeers{}
	default:
		return Refuse{OriginUnknown}
	}
}

// certain reports whether the only version that is known has begun the stream, as far as can be
// known about it.
func (i Input) certain() bool { return !i.Named || i.Observed && i.ListAge <= maxListAge }
