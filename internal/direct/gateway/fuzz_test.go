package gateway

import (
	"testing"
	"time"

	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/quarantine"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/direct/peers"

	"github.com/fxamacker/cbor/v2"
)

// fieldsOnlyDriver is a driver with no platform and no field names.
type fieldsOnlyDriver struct{ driver.Driver }

func (fieldsOnlyDriver) HeaderFields() driver.HeaderFields { return driver.HeaderFields{} }

// FuzzEvents applies arbitrary events of another entry, then chooses an endpoint, dumps the state
// and makes a snapshot. A panic in the receiver of an event would stop all entries, because each
// event is broadcast to all.
func FuzzEvents(f *testing.F) {
	prompt := memory.Prompt{Tokens: 100, Parts: []memory.Part{{ID: 1, Tokens: 60}, {ID: 2, Tokens: 40}}}
	request := placement.Request{Service: "pool", Prompt: prompt, TimeLeft: time.Second}
	part := quarantine.PartKey("pool", 1)
	for _, events := range [][]peers.Event{
		{{Kind: peers.AttemptSent, Number: 5, Endpoint: "i-1", Request: &request, Fetch: &memory.Fetch{Source: "i-2", Tokens: 60}}},
		{{Kind: peers.FirstEvent, Number: 5}, {Kind: peers.AttemptEnded, Number: 5, Outcome: placement.Unreachable}},
		{{Kind: peers.PartsCached, Endpoint: "i-1", Parts: []memory.Part{{ID: 1, Tokens: 100}}}},
		{{Kind: peers.EndpointCrashed, Endpoint: "i-1", Runs: []quarantine.RunReport{{Content: make([]byte, 16), RanMS: 90}}}},
		{{Kind: peers.EndpointCrashed, Endpoint: "i-1", PartRuns: []quarantine.PartReport{{Part: part[:], Source: 7, RanMS: 90}}},
			{Kind: peers.AttemptSent, Number: 6, Endpoint: "i-2", Request: &request}, {Kind: peers.FirstEvent, Number: 6}, {Kind: peers.AttemptEnded, Number: 6}},
		{{Kind: peers.ContentCleared, Runs: []quarantine.RunReport{{Content: make([]byte, 16)}}}},
		{{Kind: peers.ContentHeld, Holds: []quarantine.HoldReport{{Content: make([]byte, 16), Crashes: 3, Trials: 1 << 40, ForMS: -1 << 60}}}},
	} {
		data, err := cbor.Marshal(events)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var events []peers.Event
		if cbor.Unmarshal(data, &events) != nil {
			return
		}
		g := New(Options{Driver: fieldsOnlyDriver{}, Owner: 1})
		g.dispatcher.table.SetServices([]placement.Service{{Name: "pool", MemoryTokens: 1000, MaxRequests: 10, EventTokens: 4, InterEventTarget: time.Second}})
		g.dispatcher.setEndpoints([]placement.Endpoint{
			{ID: "i-1", Service: "pool", Slots: 4, Engine: true}, {ID: "i-2", Service: "pool", Slots: 4, Engine: true},
		})
		for range 2 { // an event may be received twice
			g.EventReceiver().HandleEvents(2, events)
		}
		g.dispatcher.table.Choose(time.Now(), request, func(string) bool { return false }, g.dispatcher.random)
		g.Dump()
		if _, err := g.Snapshot(); err != nil {
			t.Error(err)
		}
		g.dispatcher.removeExpired(time.Now().Add(time.Hour), time.Time{})
		g.suspects.removeExpired(time.Now().Add(time.Hour))
		g.EventReceiver().MemberGone(2)
	})
}
