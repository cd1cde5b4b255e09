package peers

import "github.com/uber-go/tally/v4"

// trafficKind is what a datagram carries, for the figures.
type trafficKind int

// The kinds of traffic.
const (
	heartbeatTraffic trafficKind = iota // and reports
	questionTraffic                     // whether a relay answers
	eventTraffic                        // to a relay or an entry of a former version
	localTraffic                        // events, passed on within the data centre
	acrossTraffic                       // events, to another data centre
	usageTraffic                        // requests counted, to those that may hold the duties
	trafficKinds
)

var trafficNames = [trafficKinds]string{"heartbeat", "question", "event", "event_local", "event_across", "usage"}

// trafficOf returns the kind of events on a hop.
func trafficOf(h hop) trafficKind {
	switch h {
	case hopLocal:
		return localTraffic
	case hopAcross:
		return acrossTraffic
	default:
		return eventTraffic
	}
}

// traffic counts the datagrams that are sent to other entries and their bytes, without
// the headers of UDP and IP.
type traffic struct {
	datagrams, bytes [trafficKinds]tally.Counter
}

func newTraffic(scope tally.Scope) *traffic {
	if scope == nil {
		scope = tally.NoopScope
	}
	t := &traffic{}
	for k := range trafficKinds {
		s := scope.Tagged(map[string]string{"kind": trafficNames[k]})
		t.datagrams[k] = s.Counter("peer_datagrams")
		t.bytes[k] = s.Counter("peer_bytes")
	}
	return t
}

// sent counts one packet that went to so many.
func (t *traffic) sent(k trafficKind, copies, bytes int) {
	t.datagrams[k].Inc(int64(copies))
	t.bytes[k].Inc(int64(copies * bytes))
}
