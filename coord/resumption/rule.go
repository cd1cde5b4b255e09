// Decides at which version a stream may be resumed.
//
// Rule:
//   - at the version that began it, if that is known and the request still goes to its service;
//   - for a caller that does not name the stream, at the only version that is known, since nobody can
//     ever know the origin;
//   - else other entries are asked, again and again while none of them answers, for a while;
//   - at the version of the endpoint that is recorded as its origin once that is on the list of
//     endpoints, which the rule waits for: a list without it is not the newest, and its only version
//     proves nothing;
//   - else at the only version that the service has run for longer than an attempt lasts, once the list
//     of endpoints was the newest at a time after the request arrived, which the rule waits for;
//   - else nowhere. A process that is out of touch says so, since another may know the origin.
//
// Inputs: the origin, the versions of the service, when the list was the newest, whether others answer.
// Units: times.
// Never: a version is guessed while several are known; the newest version is preferred to another.

package resumption

import "slices"

// Input holds what the decision about one stream depends on.
type Input struct {
	Origin     Origin
	Known      bool     // the origin is known
	Unlisted   bool     // the endpoint that began the stream is known, but has never been on the list
	Services   []string // to which the request may go
	Named      bool     // the caller names the stream
	Version    string   // the only one that its service has run, as far as is known; may be empty
	Only       bool     // there is such a version
	Observed   bool     // the service has been observed for longer than an attempt lasts
	ListNewest bool     // the list was the newest at a time after the request arrived
	PeersAsked bool
	// PeersSilent means that there are other entries, and none that was asked has answered.
	PeersSilent bool
	// ListAwaited means that the request has waited for long enough for a list that was the newest at a
	// time after it arrived, and PeersAwaited that it has for an entry that answers.
	ListAwaited, PeersAwaited bool
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
	// AwaitList waits until the list is known to be the newest.
	AwaitList struct{}
	// AwaitPeers waits before other entries, none of which has answered, are asked again.
	AwaitPeers struct{}
	// Refuse means that the stream can't be resumed.
	Refuse struct{ Reason Reason }
)

func (Resume) decision()     {}
func (AskPeers) decision()   {}
func (AwaitList) decision()  {}
func (AwaitPeers) decision() {}
func (Refuse) decision()     {}

// Reason is why a stream can't be resumed.
type Reason uint8

// The reasons.
const (
	OriginUnknown Reason = iota + 1 // nobody knows which version began it
	OtherService                    // the request goes to another service than the stream began at
	OutOfTouch                      // this entry doesn't know which version began it, but is out of touch with those that may
)

// String returns a readable form of the reason.
func (r Reason) String() string {
	switch r {
	case OriginUnknown:
		return "it is not known which version began the stream"
	case OtherService:
		return "the stream began at another service"
	case OutOfTouch:
		return "this entry is out of touch with others that may know which version began the stream"
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
	case !i.Named && i.onlyVersion():
		return Resume{Software: Software{Service: i.Services[0], Version: i.Version}}
	case i.Named && !i.PeersAsked:
		return AskPeers{}
	case i.provenByList() && i.ListNewest:
		return Resume{Software: Software{Service: i.Services[0], Version: i.Version}}
	case (i.provenByList() || i.Unlisted) && !i.ListNewest && !i.ListAwaited:
		return AwaitList{}
	case i.PeersSilent && !i.PeersAwaited:
		return AwaitPeers{}
	case i.PeersSilent, i.Unlisted:
		return Refuse{OutOfTouch}
	default:
		return Refuse{OriginUnknown}
	}
}

// provenByList reports whether a list that is the newest proves which version began the stream.
func (i Input) provenByList() bool {
	return !i.Unlisted && i.Observed && i.onlyVersion() && i.Version != ""
}

// onlyVersion reports whether one version is known of the only service to which the request may go.
func (i Input) onlyVersion() bool { return i.Only && len(i.Services) == 1 }
