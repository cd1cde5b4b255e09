package peers

import "github.com/uber-go/tally/v4"

// trafficKind is the content of a datagram, as counted in the metrics.
type trafficKind int

// The kinds of traffic.
const (
	heartbeatTraffic trafficKind = iota // heartbeats and reports
	probeTraffic                        // liveness probes of relays and the replies
	eventTraffic                        // events, to a relay or a peer of an older version
	localTraffic                        // events, forwarded within the data centre
	remoteTraffic                       // events, to another data centre
	usageTraffic                        // request counts, to peers that may hold the duties
	trafficKinds
)

var trafficNames = [trafficKinds]string{"heartbeat", "question", "event", "event_local", "event_across", "usage"}

// trafficOf returns the traffic kind of events on a hop.
func trafficOf(h hop) trafficKind {
	switch h {
	case hopLocal:
		return localTraffic
	case hopRemote:
		return remoteTraffic
	default:
		return eventTraffic
	}
}

// traffic counts the datagrams sent to other peers and their bytes, without the UDP and IP
// headers, and the pauses of this process, in which it received nothing.
type traffic struct {
	datagrams, bytes [trafficKinds]tally.Counter
	pauses           tally.Counter
}

func newTraffic(scope tally.Scope) *traffic {
	if scope == nil {
		scope = tally.NoopScope
	}
	t := &traffic{pauses: scope.Counter("pauses")}
	for k := range trafficKinds {
		s := scope.Tagged(map[string]string{"kind": trafficNames[k]})
		t.datagrams[k] = s.Counter("peer_datagrams")
		t.bytes[k] = s.Counter("peer_bytes")
	}
	return t
}

// sent counts one packet that was sent to several addresses.
func (t *traffic) sent(k trafficKind, copies, bytes int) {
	t.datagrams[k].Inc(int64(copies))
	t.bytes[k].Inc(int64(copies * bytes))
}

// paused counts a pause of this process.
func (t *traffic) paused() { t.pauses.Inc(1) }
