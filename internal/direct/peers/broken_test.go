package peers

import (
	"context"
	"testing"

	"foxcross.dev/coord/placement"
	"foxcross.dev/foxcross/internal/direct/directory"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/testing/standin"

	"github.com/fxamacker/cbor/v2"
)

// TestBrokenResponsesOfPeers guards against state of a peer that broke off.
func TestBrokenResponsesOfPeers(t *testing.T) {
	server := standin.NewRawServer()
	defer server.Close()
	encode := func(v any) string {
		data, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return string(data)
	}
	whole := driver.Endpoints{Revision: 3}
	for name, c := range map[string]struct {
		body string
		call func(context.Context) error
	}{
		"state": {encode(state{Endpoints: &whole}), func(ctx context.Context) error {
			return FetchState(ctx, directory.New(func(directory.ActiveSettings) {}, func([]placement.Endpoint) {}, func([]string) {}), server.Address(), EndpointsPart)
		}},
		"origin": {encode(Origin{}), func(ctx context.Context) error {
			_, err := fetchOrigin(ctx, server.Address(), 1)
			return err
		}},
		"signals": {encode(signalsResponse{}), func(ctx context.Context) error {
			_, err := postSignals(ctx, server.Address(), signalsRequest{})
			return err
		}},
		"snapshot": {encode(map[int]string{1: "a snapshot"}), func(ctx context.Context) error {
			data, err := fetchSnapshot(ctx, server.Address())
			if err != nil {
				return err
			}
			var m map[int]string
			return cbor.Unmarshal(data, &m)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			broken := append(standin.CutHeads("200 OK", "", len(c.body)), standin.InvalidStatuses("", c.body)...)
			broken = append(broken, standin.CutBodies("", c.body)...)
			for n := range len(c.body) {
				broken = append(broken, standin.Broken{Name: "cut without a length", Text: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + c.body[:n]})
			}
			for _, b := range broken {
				server.Respond(b)
				if err := c.call(t.Context()); err == nil {
					t.Errorf("%s: it counts as an answer", b.Name)
				}
			}
			server.Respond(standin.Broken{Text: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + c.body})
			if err := c.call(t.Context()); err != nil {
				t.Errorf("a whole answer: %v", err)
			}
		})
	}
}
