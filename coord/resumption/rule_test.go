package resumption_test

import (
	"fmt"
	"strings"
	"testing"

	"foxcross.dev/coord/resumption"
)

// describe returns a readable form of a decision.
func describe(d resumption.Decision) string {
	switch d := d.(type) {
	case resumption.Resume:
		certainty := "the only version"
		if d.Recorded {
			certainty = "recorded"
		}
		return fmt.Sprintf("resume at %s of %s (%s)", d.Version, d.Service, certainty)
	case resumption.AskPeers:
		return "ask peers"
	case resumption.AwaitList:
		return "await a newer list"
	case resumption.AwaitPeers:
		return "await an answer of peers"
	case resumption.Refuse:
		return "refuse: " + d.Reason.String()
	default:
		return "none"
	}
}

// TestDecisions compares the decisions in each case with the table.
func TestDecisions(t *testing.T) {
	begun := resumption.Origin{Endpoint: "i-1", Software: resumption.Software{Service: "pool", Version: "v1"}}
	cases := []struct {
		name  string
		input resumption.Input
		want  string
	}{
		{"recorded", resumption.Input{Origin: begun, Known: true, Services: []string{"pool"}}, "resume at v1 of pool (recorded)"},
		{"recorded, list stale", resumption.Input{Origin: begun, Known: true, Services: []string{"pool"}}, "resume at v1 of pool (recorded)"},
		{"recorded, another version serves alone", resumption.Input{Origin: begun, Known: true, Services: []string{"pool"}, Only: true, Version: "v2"}, "resume at v1 of pool (recorded)"},
		{"recorded, one of two services", resumption.Input{Origin: begun, Known: true, Services: []string{"other", "pool"}}, "resume at v1 of pool (recorded)"},
		{"recorded, route moved", resumption.Input{Origin: begun, Known: true, Services: []string{"other"}, Only: true, Version: "v1"}, "refuse: the stream began at another service"},
		{"unknown, one version", resumption.Input{Services: []string{"pool"}, Named: true, Only: true, Observed: true, Version: "v1", ListNewest: true}, "ask peers"},
		{"unknown, two versions", resumption.Input{Services: []string{"pool"}, Named: true, Observed: true, ListNewest: true}, "ask peers"},
		{"unknown to peers, two versions", resumption.Input{Services: []string{"pool"}, Named: true, Observed: true, ListNewest: true, PeersAsked: true}, "refuse: it is not known which version began the stream"},
		{"unknown to peers, one version", resumption.Input{Services: []string{"pool"}, Named: true, Only: true, Observed: true, Version: "v1", ListNewest: true, PeersAsked: true}, "resume at v1 of pool (the only version)"},
		{"unknown to peers, one version, list older than the request", resumption.Input{Services: []string{"pool"}, Named: true, Only: true, Observed: true, Version: "v1", PeersAsked: true}, "await a newer list"},
		{"unknown to peers, one version, no newer list in time", resumption.Input{Services: []string{"pool"}, Named: true, Only: true, Observed: true, Version: "v1", PeersAsked: true, ListAwaited: true}, "refuse: it is not known which version began the stream"},
		{"peers silent, one version, list older than the request", resumption.Input{Services: []string{"pool"}, Named: true, Only: true, Observed: true, Version: "v1", PeersAsked: true, PeersSilent: true, PeersAwaited: true}, "await a newer list"},
		{"peers silent, one version by the newest list", resumption.Input{Services: []string{"pool"}, Named: true, Only: true, Observed: true, Version: "v1", ListNewest: true, PeersAsked: true, PeersSilent: true}, "resume at v1 of pool (the only version)"},
		{"peers silent, two versions", resumption.Input{Services: []string{"pool"}, Named: true, Observed: true, ListNewest: true, PeersAsked: true, PeersSilent: true}, "await an answer of peers"},
		{"peers silent for long, two versions", resumption.Input{Services: []string{"pool"}, Named: true, Observed: true, ListNewest: true, PeersAsked: true, PeersSilent: true, PeersAwaited: true}, "refuse: this entry is out of touch with others that may know which version began the stream"},
		{"unknown to peers, one version, observed for too short", resumption.Input{Services: []string{"pool"}, Named: true, Only: true, Version: "v1", ListNewest: true, PeersAsked: true}, "refuse: it is not known which version began the stream"},
		{"unknown to peers, one version, two services", resumption.Input{Services: []string{"pool", "other"}, Named: true, Only: true, Observed: true, Version: "v1", ListNewest: true, PeersAsked: true}, "refuse: it is not known which version began the stream"},
		{"unknown to peers, no service", resumption.Input{Named: true, PeersAsked: true}, "refuse: it is not known which version began the stream"},
		{"begun at an unlisted endpoint", resumption.Input{Services: []string{"pool"}, Named: true, Unlisted: true, Only: true, Observed: true, Version: "v1"}, "ask peers"},
		{"begun at an unlisted endpoint, unknown to peers, one version", resumption.Input{Services: []string{"pool"}, Named: true, Unlisted: true, Only: true, Observed: true, Version: "v1", PeersAsked: true}, "await a newer list"},
		{"begun at an unlisted endpoint, unknown to peers, two versions", resumption.Input{Services: []string{"pool"}, Named: true, Unlisted: true, PeersAsked: true}, "await a newer list"},
		{"begun at an endpoint that the newest list lacks", resumption.Input{Services: []string{"pool"}, Named: true, Unlisted: true, Only: true, Observed: true, Version: "v1", ListNewest: true, PeersAsked: true}, "refuse: this entry is out of touch with others that may know which version began the stream"},
		{"begun at an unlisted endpoint, no newer list in time", resumption.Input{Services: []string{"pool"}, Named: true, Unlisted: true, Only: true, Observed: true, Version: "v1", PeersAsked: true, ListAwaited: true}, "refuse: this entry is out of touch with others that may know which version began the stream"},
		{"not named, one version", resumption.Input{Services: []string{"pool"}, Only: true, Version: "v1"}, "resume at v1 of pool (the only version)"},
		{"not named, two versions", resumption.Input{Services: []string{"pool"}, Observed: true}, "refuse: it is not known which version began the stream"},
		{"not named, one version, two services", resumption.Input{Services: []string{"pool", "other"}, Only: true, Version: "v1"}, "refuse: it is not known which version began the stream"},
	}
	for _, c := range cases {
		if got := describe(resumption.Decide(c.input)); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// TestKeysTellStreamsOfTeamsApart guards against streams of one team that another one names.
func TestKeysTellStreamsOfTeamsApart(t *testing.T) {
	keys := map[resumption.Key]string{}
	for _, names := range [][2]string{{"", "ab"}, {"a", "b"}, {"ab", ""}, {"b", "a"}, {"1:a", "b"}, {"1", ":ab"}} {
		name := strings.Join(names[:], "/")
		k := resumption.KeyOf(names[0], names[1])
		if other, taken := keys[k]; taken {
			t.Errorf("%s and %s have the same key", name, other)
		}
		keys[k] = name
	}
}
