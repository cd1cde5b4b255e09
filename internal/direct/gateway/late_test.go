package gateway

import (
	"testing"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/resumption"
	"foxcross.dev/foxcross/internal/direct/peers"
)

// TestOriginsAreKnownFromLateEvents guards against streams of unknown origin after a standstill.
func TestOriginsAreKnownFromLateEvents(t *testing.T) {
	g := &Gateway{}
	d := &g.dispatcher
	late := []peers.Event{
		{Kind: peers.AttemptSent, Number: 5, Endpoint: "i-1", Request: &placement.Request{Service: "pool"}, Stream: 7},
		{Kind: peers.FirstEvent, Number: 5},
		{Kind: peers.AttemptSent, Number: 6, Endpoint: "i-2", Request: &placement.Request{Service: "pool"}, Stream: 8},
		{Kind: peers.AttemptEnded, Number: 6},
		{Kind: peers.FirstEvent, Number: 6},
	}
	g.EventReceiver().HandleLateEvents(2, late)
	if at, _, known := d.origins.Endpoint(resumption.Key(7)); !known || at != "i-1" {
		t.Errorf("begun at %q, known: %v", at, known)
	}
	if at, _, known := d.origins.Endpoint(resumption.Key(8)); known {
		t.Errorf("a stream without an event began at %q", at)
	}
	if open := d.table.Open(); open != 0 {
		t.Errorf("%d attempts count as open", open)
	}
}
