package standin_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"foxcross.dev/coord/message"
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/relay/endpoint"
	"foxcross.dev/foxcross/internal/relay/kv"
	"foxcross.dev/foxcross/internal/relay/kv/httpkv"
	"foxcross.dev/foxcross/internal/storeerr"
	"foxcross.dev/foxcross/internal/testing/standin"
)

// firstTextSink discards a response and records when its first text arrived.
type firstTextSink struct{ first time.Time }

func (s *firstTextSink) Head(int, []message.Field) error { return nil }
func (s *firstTextSink) Data([]byte, int) error          { return nil }
func (s *firstTextSink) Text(string, int) error {
	if s.first.IsZero() {
		s.first = time.Now()
	}
	return nil
}

func chatCall(content string, tokens, tier int) endpoint.Call {
	body, _ := json.Marshal(map[string]any{ // a plain map can always be marshalled
		"max_tokens": tokens,
		"messages":   []map[string]string{{"role": "user", "content": content}},
	})
	return endpoint.Call{Terms: message.Terms{Tier: tier}, Start: message.Start{Body: body}}
}

// TestEnginePriorityAndLag checks that a full batch admits the lower tier number first, and that the
// load is reported with a delay.
func TestEnginePriorityAndLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &standin.Engine{Card: standin.Card{Step: 10 * time.Millisecond, MaxBatch: 1, LoadLag: time.Second}}
		var all sync.WaitGroup
		sinks := make([]firstTextSink, 3)
		for n, tier := range []int{0, 2, 0} {
			all.Go(func() {
				time.Sleep(time.Duration(n) * time.Millisecond)
				if end := e.Run(context.Background(), chatCall("x", 200, tier), &sinks[n]); end.Code != result.OK {
					t.Errorf("request %d: %v", n, end)
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		if n := e.Load(); n != 0 {
			t.Errorf("the load of a second ago was %d", n)
		}
		time.Sleep(time.Second)
		if n := e.Load(); n != 1 {
			t.Errorf("the load of a second ago was %d", n)
		}
		all.Wait()
		if !sinks[2].first.Before(sinks[1].first) {
			t.Error("the higher tier came after the lower one")
		}
	})
}

// TestEngineSlowsWithBatchSize checks that a token takes longer if more requests run.
func TestEngineSlowsWithBatchSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took := func(requests int) time.Duration {
			e := &standin.Engine{Card: standin.Card{Step: 10 * time.Millisecond, Batch: 4}}
			began := time.Now()
			var all sync.WaitGroup
			for range requests {
				all.Go(func() { e.Run(context.Background(), chatCall("x", 50, 0), &firstTextSink{}) })
			}
			all.Wait()
			return time.Since(began)
		}
		if one, five := took(1), took(5); five < one*18/10 {
			t.Errorf("one request took %v, five at once %v", one, five)
		}
	})
}

// TestStoreOverHTTP checks the results of the platform's driver for each outcome at the stand-in.
func TestStoreOverHTTP(t *testing.T) {
	var store standin.Store
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	p, err := httpkv.New(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	ctx := context.Background()
	if _, err := p.Get(ctx, "a/b"); err != storeerr.ErrNotFound {
		t.Errorf("no value: %v", err)
	}
	revision, err := p.Swap(ctx, "a/b", []byte("1"), 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.Swap(ctx, "a/b", []byte("2"), 0); err != kv.ErrConflict {
		t.Errorf("old revision: %v", err)
	}
	store.SetFaults(standin.Faults{LoseSwaps: 1})
	if _, err := p.Swap(ctx, "a/b", []byte("2"), revision); err == nil || err == kv.ErrConflict || err == storeerr.ErrUnavailable {
		t.Errorf("a lost response must leave the outcome unknown: %v", err)
	}
	v, err := p.Get(ctx, "a/b")
	if err != nil || string(v.Data) != "2" {
		t.Errorf("after a lost response: %q, %v", v.Data, err)
	}
	store.SetFaults(standin.Faults{Down: true})
	if _, err := p.Swap(ctx, "a/b", []byte("3"), v.Revision); err != storeerr.ErrUnavailable {
		t.Errorf("down: %v", err)
	}
	store.SetFaults(standin.Faults{})
	watched := make(chan kv.Value, 1)
	go func() {
		w, err := p.Watch(ctx, "a/b", v.Revision)
		if err != nil {
			t.Error(err)
		}
		watched <- w
	}()
	if _, err := p.Swap(ctx, "a/b", []byte("4"), v.Revision); err != nil {
		t.Error(err)
	}
	if w := <-watched; string(w.Data) != "4" {
		t.Errorf("watch: %q", w.Data)
	}
	server.Close()
	if p, err = httpkv.New(server.URL); err != nil { // a new client has no open connection
		t.Fatal(err)
	}
	if _, err := p.Swap(ctx, "a/b", []byte("5"), 0); !errors.Is(err, storeerr.ErrUnavailable) {
		t.Errorf("no server: %v", err)
	}
}

// TestEngineCachesPromptPrefixes checks that a cached prefix takes a tenth of its prefill time.
func TestEngineCachesPromptPrefixes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &standin.Engine{Card: standin.Card{Prefill: 100e3}}
		first := func(end string) time.Duration {
			began := time.Now()
			var s firstTextSink
			e.Run(context.Background(), chatCall(standin.Prompt("records", 24<<10)+end, 5, 0), &s)
			return s.first.Sub(began)
		}
		if cold, warm := first("a"), first("b"); cold < 200*time.Millisecond || warm > cold/5 {
			t.Errorf("cold %v, warm %v", cold, warm)
		}
	})
}

// TestMemberListLag checks that the member list shows a change with a delay.
func TestMemberListLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.Store{ListLag: time.Second}
		store.SetMembers([]kv.Member{{Name: "a"}})
		for _, want := range []int{0, 1} {
			members, err := store.Members(context.Background())
			if err != nil || len(members) != want {
				t.Errorf("%d members, want %d: %v", len(members), want, err)
			}
			time.Sleep(1100 * time.Millisecond)
		}
	})
}
