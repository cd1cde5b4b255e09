package httpkv_test

import (
	"context"
	"fmt"
	"testing"

	"foxcross.dev/foxcross/internal/relay/kv/httpkv"
	"foxcross.dev/foxcross/internal/testing/standin"
)

// TestBrokenResponsesOfTheKeyValueService guards against a value, or a write, that no response has confirmed.
func TestBrokenResponsesOfTheKeyValueService(t *testing.T) {
	const memberList = `[{"name":"a","role":"entry","data_centre":"north"}]`
	const revision = httpkv.RevisionField + ": 7"
	server := standin.NewRawServer()
	defer server.Close()
	service, err := httpkv.New("http://" + server.Address())
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		body     string
		call     func(context.Context) error
		unmarked int // number of first bytes that are no answer without a length
	}{
		"get":     {"value", func(ctx context.Context) error { _, err := service.Get(ctx, "a"); return err }, 1 + len("value")},
		"watch":   {"value", func(ctx context.Context) error { _, err := service.Watch(ctx, "a", 6); return err }, 1 + len("value")},
		"swap":    {"stored", func(ctx context.Context) error { _, err := service.Swap(ctx, "a", []byte("x"), 6); return err }, 0},
		"members": {memberList, func(ctx context.Context) error { _, err := service.Members(ctx); return err }, len(memberList)},
	} {
		t.Run(name, func(t *testing.T) {
			broken := append(standin.CutHeads("200 OK", revision, len(c.body)), standin.InvalidStatuses(revision, c.body)...)
			broken = append(broken, standin.CutBodies(revision, c.body)...)
			for n := range c.unmarked {
				broken = append(broken, standin.Broken{Name: "cut without a length", Text: "HTTP/1.1 200 OK\r\n" + revision + "\r\nConnection: close\r\n\r\n" + c.body[:n]})
			}
			broken = append(broken, standin.Broken{Name: "a blank behind the name of the revision", Text: "HTTP/1.1 200 OK\r\nX-Revision : 7\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"})
			for _, b := range broken {
				server.Respond(b)
				if err := c.call(t.Context()); err == nil {
					t.Errorf("%s: it counts as an answer", b.Name)
				}
			}
			server.Respond(standin.Broken{Text: "HTTP/1.1 200 OK\r\n" + revision + "\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(c.body)})
			if err := c.call(t.Context()); err != nil {
				t.Errorf("a whole answer: %v", err)
			}
		})
	}
}

// chunked returns a body in one chunk.
func chunked(body string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body) }
