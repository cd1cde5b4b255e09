package peers

import (
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"foxcross.dev/coord/freshness"
	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/quarantine"
	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/direct/directory"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/testing/golden"

	"github.com/fxamacker/cbor/v2"
)

// sampleRequest has all fields set.
var sampleRequest = placement.Request{
	Service: "pool",
	Prompt: memory.Prompt{
		Tokens: 120, MaxOutputTokens: 40, LikelyOutputTokens: 30,
		Parts: []memory.Part{{ID: 0xab, Tokens: 100}, {ID: 0xcd, Tokens: 20}},
	},
	FirstEventTarget: 250 * time.Millisecond,
	InterEventTarget: 150 * time.Millisecond,
	Priority:         2,
	TimeLeft:         12 * time.Second,
}

// TestPacketsOnTheWire compares the encoding of datagrams with that of older versions, so that
// peers of both can run side by side.
func TestPacketsOnTheWire(t *testing.T) {
	var got strings.Builder
	for _, s := range []struct {
		name   string
		packet packet
	}{
		{"placed", packet{Owner: 7, Version: 3, Revision: 9, Events: []Event{{Kind: AttemptSent, Number: 5, Endpoint: "i-1", Request: &sampleRequest, AgeMS: 2}}}},
		{"placed, least", packet{Owner: 7, Events: []Event{{Kind: AttemptSent, Number: 5, Endpoint: "i-1", Request: &placement.Request{Service: "app"}}}}},
		{"begun and ended", packet{Owner: 7, Events: []Event{{Kind: FirstEvent, Number: 5}, {Kind: AttemptEnded, Number: 5, Outcome: placement.Unreachable}}}},
		{"heartbeat", packet{Owner: 7, Version: 3, Revision: 9, Heartbeat: &heartbeat{
			Name: "entry-1", Members: []string{"10.0.0.1:7340"}, Leaving: true, ConfirmedAgeMS: 12, StoreResponseAgeMS: -1, Reading: true, StoreCallFailed: true,
		}}},
		{"question", packet{Owner: 7, Version: 3, Revision: 9, Probe: probeRequest}},
		{"answer", packet{Owner: 7, Probe: probeReply}},
		{"passed on", packet{Owner: 7, Hop: hopRemote, Sections: []section{{Owner: 8, Number: 2, RelayedMS: 4, Events: []cbor.RawMessage{{0xa0}}}}}},
		{"kept", packet{Owner: 7, Events: []Event{{Kind: PartsCached, Endpoint: "i-1", Parts: []memory.Part{{ID: 0xab, Tokens: 100}}}}}},
		{"endpoint ended", packet{Owner: 7, Events: []Event{{Kind: EndpointCrashed, Endpoint: "i-1@5", AgeMS: 2, Runs: []quarantine.RunReport{{Content: []byte{0xab, 0xcd}, RanMS: 90}}}}}},
		{"endpoint ended under parts", packet{Owner: 7, Events: []Event{{Kind: EndpointCrashed, Endpoint: "i-1@5", AgeMS: 2, PartRuns: []quarantine.PartReport{{Part: []byte{0xab, 0xcd}, Source: 9, RanMS: 90, Known: 1}}}}}},
		{"process named", packet{Owner: 7, Events: []Event{{Kind: ProcessNamed, Endpoint: "i-1@5", Process: "17", AgeMS: 2}}}},
		{"content ended well", packet{Owner: 7, Events: []Event{{Kind: ContentCleared, Runs: []quarantine.RunReport{{Content: []byte{0xab, 0xcd}}}}}}},
		{"content held", packet{Owner: 7, Events: []Event{{Kind: ContentHeld, Holds: []quarantine.HoldReport{{Content: []byte{0xab, 0xcd}, Crashes: 3, Trials: 1, ForMS: 60_000}}}}}},
		{"limit", packet{Owner: 7, Events: []Event{{Kind: LimitAnnounced, Endpoint: "i-1@5", Limit: 2.5, ResponseMS: 40, AgeMS: 2}}}},
		{"limit over", packet{Owner: 7, Events: []Event{{Kind: LimitAnnounced, Endpoint: "i-1@5", ResponseMS: 40}}}},
		{"report", packet{Owner: 7, Hop: hopLocal, Reports: []report{{Address: "10.0.0.1:7340", Owner: 8, Version: 3, Revision: 9, AgeMS: 5,
			Heartbeat: heartbeat{Name: "entry-2", ConfirmedAgeMS: 1, StoreResponseAgeMS: 2, Relayed: true, DataCentre: "z", Reply: true, Informed: true}}}}},
		{"holder", packet{Owner: 7, Heartbeat: &heartbeat{Name: "entry-1", ConfirmedAgeMS: -1, StoreResponseAgeMS: -1, ClockMS: 1_700_000_000_000, Fence: 12}}},
		{"usage", packet{Owner: 7, Usage: &usage{ThroughMS: 1_700_000_000_000, Windows: []usageCount{{Window: 340_000_000, Total: 5, Counts: map[string]int64{"a": 5}}}}}},
		{"evacuations", packet{Owner: 7, Heartbeat: &heartbeat{Name: "entry-1", ConfirmedAgeMS: -1, StoreResponseAgeMS: -1, Evacuated: []string{"z"}, EvacuationsRevision: 12, Presence: true}}},
		{"presence", packet{Owner: 7, Hop: hopRemote, Presence: &presence{DataCentre: "z", Members: []byte{0, 0, 0, 8, 30}}}},
		{"placed with a copy", packet{Owner: 7, Events: []Event{{Kind: AttemptSent, Number: 5, Endpoint: "i-1", Request: &placement.Request{Service: "app"}, Replica: "i-2@5"}}}},
		{"begins a stream", packet{Owner: 7, Events: []Event{{Kind: AttemptSent, Number: 5, Endpoint: "i-1", Request: &placement.Request{Service: "app"}, Stream: 0xab}}}},
		{"resumes a stream", packet{Owner: 7, Events: []Event{{Kind: AttemptSent, Number: 5, Endpoint: "i-1", Request: &placement.Request{Service: "app"}, Stream: 0xab, Resumes: true}}}},
		{"heartbeat with the age of the list", packet{Owner: 7, Revision: 9, Heartbeat: &heartbeat{Name: "entry-1", ConfirmedAgeMS: -1, StoreResponseAgeMS: -1, EndpointsAgeMS: 13}}},
		{"heartbeat with echoes", packet{Owner: 7, Revision: 9, Heartbeat: &heartbeat{Name: "entry-1", ConfirmedAgeMS: -1, StoreResponseAgeMS: -1, Stamp: 13, Echoes: freshness.Echoes(nil).With(8, 12)}}},
		{"keepalive", packet{Owner: 7, Version: 3, Revision: 9, Keepalive: true}},
		{"first heartbeat", packet{Owner: 7, Heartbeat: &heartbeat{Name: "entry-1", ConfirmedAgeMS: -1, StoreResponseAgeMS: -1}}},
	} {
		data, err := cbor.Marshal(s.packet)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&got, "%s: %s\n", s.name, hex.EncodeToString(data))
	}
	golden.Compare(t, "packets.golden", got.String())
}

// TestStateOnTheWire compares the encoding of the state that peers fetch, and of the requests
// for it.
func TestStateOnTheWire(t *testing.T) {
	tier := 1
	// A single node, since the order of several is undefined.
	tree := settings.NewTree(map[string]settings.Node{"": {Set: settings.Fields{Tier: &tier}}})
	d := directory.New(func(directory.ActiveSettings) {}, func([]placement.Endpoint) {}, func([]string) {})
	d.SetBounds(driver.Bounds{LeaveWithin: time.Second})
	first := placement.Endpoint{ID: "i-1", Service: "pool", Address: "10.0.0.1:80", DataCentre: "z", Slots: 4, Leaving: true, Engine: true}
	d.ReplaceEndpoints(driver.Endpoints{Revision: 5, List: []placement.Endpoint{first}}, "test")
	d.ApplySettings(3, tree, "test")
	d.Apply(driver.Change{Revision: 6, Changed: []placement.Endpoint{{ID: "i-2", Service: "app", Address: "10.0.0.2:80"}}})
	d.Apply(driver.Change{Revision: 7, Gone: []string{"i-1"}})
	if version, revision := d.Versions(); version != 3 || revision != 7 {
		t.Fatalf("got version %d, revision %d", version, revision)
	}
	server := httptest.NewServer(StateHandler(d))
	defer server.Close()
	var got strings.Builder
	d.ConfirmRevision(3, 7)
	for _, query := range []string{
		"", "?version=3&revision=5", "?version=2&revision=4", "?version=x&revision=y",
		"?part=endpoints&version=2&revision=5", "?part=settings&version=2&revision=5", "?part=settings&version=3&revision=5",
	} {
		response, err := http.Get(server.URL + statePath + query)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		var shown any
		if err := cbor.Unmarshal(body, &shown); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&got, "%s%s\n%s\n%v\n", statePath, query, hex.EncodeToString(body), shown)
	}
	asked := make(chan string, 2)
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.Method + " " + r.URL.String()
		w.WriteHeader(http.StatusTeapot)
	}))
	defer other.Close()
	for part := range partCount {
		_ = FetchState(t.Context(), d, strings.TrimPrefix(other.URL, "http://"), part) // only the request matters
		fmt.Fprintf(&got, "%s\n", <-asked)
	}
	golden.Compare(t, "state.golden", got.String())
}
