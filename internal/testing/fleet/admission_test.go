package fleet_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/direct/gateway"
	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// newBusyFleet starts entries and one engine, which computes a prompt for two seconds.
func newBusyFleet(t *testing.T, entries int) *fleet {
	t.Helper()
	f := newFleet(t, entries, 1)
	engine := f.endpoints()[0]
	engine.Engine = true
	f.store.PutEndpoint(engine, "ready")
	f.configureService(2, map[string]any{"name": service, "maxConns": 200, "engine": map[string]any{"slots": 8, "kvCapacity": 500_000}})
	for _, e := range f.entries {
		f.eventually("the engine is known", func() bool {
			version, _ := e.gateway.Directory().Versions()
			list := e.gateway.Directory().Endpoints().List
			return version == 2 && len(list) == 1 && list[0].Engine
		})
	}
	engine.Enqueue(platformtest.Hang{})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.do(f.prompt(ctx, f.entries[0], "a very long prompt", 100_000))
	f.eventually("the engine runs it", func() bool { return len(engine.Arrivals()) == 1 })
	for _, e := range f.entries {
		f.eventually("the prompt waits there, as all entries know", func() bool { return f.queueOf(e).WaitingMS > 1000 })
	}
	return f
}

func (f *fleet) queueOf(e *entry) gateway.QueueState { return e.gateway.Dump().Queues[service] }

// prompt returns a request with a prompt of some tokens.
func (f *fleet) prompt(ctx context.Context, e *entry, body string, tokens int) *http.Request {
	q := f.newRequest(ctx, e, "/chat/1", body)
	q.Header.Set(platformtest.TokensField, strconv.Itoa(tokens)+",100")
	return q
}

// ask sends a prompt that is too long to be sent to a busy engine.
func (f *fleet) ask(e *entry) response {
	return f.do(f.prompt(context.Background(), e, "a long prompt", 10_000))
}

// askRefused is ask, refused with a time.
func (f *fleet) askRefused(e *entry) time.Duration {
	f.t.Helper()
	r := f.ask(e)
	seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if r.status != http.StatusServiceUnavailable && r.status != http.StatusTooManyRequests || err != nil {
		f.t.Fatalf("status %d, Retry-After %q, want a refusal with a time", r.status, r.header.Get("Retry-After"))
	}
	return time.Duration(seconds * float64(time.Second))
}

// awaitPlaces waits until an entry knows a number of places in line.
func (f *fleet) awaitPlaces(e *entry, want int) {
	f.t.Helper()
	f.eventually(strconv.Itoa(want)+" places are known", func() bool { return f.queueOf(e).Places == want })
}

// TestCallerIsRecognizedAfterItsEntryIsGone guards against the loss of a place with the entry
// that gave it.
func TestCallerIsRecognizedAfterItsEntryIsGone(t *testing.T) {
	f := newBusyFleet(t, 3)
	after := f.askRefused(f.entries[0])
	for _, e := range f.entries {
		f.awaitPlaces(e, 1)
	}
	f.entries[0].stop()
	time.Sleep(after)
	if r := f.ask(f.entries[1]); r.status != http.StatusOK {
		t.Errorf("status %d at another entry after %v", r.status, after)
	}
	f.awaitPlaces(f.entries[2], 0)
}

// TestCallerThatIgnoresRetryAfterGetsNoBetterPlace guards against callers that get ahead by asking
// often, at whatever entry.
func TestCallerThatIgnoresRetryAfterGetsNoBetterPlace(t *testing.T) {
	f := newBusyFleet(t, 2)
	refusedAt := time.Now()
	after := f.askRefused(f.entries[0])
	f.awaitPlaces(f.entries[1], 1)
	for _, e := range f.entries {
		passed := time.Since(refusedAt)
		if again := f.askRefused(e); again > after || again < after-passed-time.Second {
			t.Errorf("returns in %v, %v after a refusal for %v", again, passed, after)
		}
		if places := f.queueOf(e).Places; places != 1 {
			t.Errorf("%d places", places)
		}
	}
}

// TestCallerCountsAsNewWhereItsRefusalIsUnknown guards against entries that depend on the
// announcements of others: one that is cut off keeps its own line.
func TestCallerCountsAsNewWhereItsRefusalIsUnknown(t *testing.T) {
	f := newBusyFleet(t, 2)
	f.askRefused(f.entries[0])
	f.awaitPlaces(f.entries[1], 1)
	alone := f.addEntry(false)
	if r := f.ask(alone); r.status != http.StatusOK {
		t.Errorf("status %d at an entry that knows of no other prompt", r.status)
	}
	if places := f.queueOf(alone).Places; places != 0 {
		t.Errorf("%d places at an entry that received no announcement", places)
	}
	f.awaitPlaces(f.entries[1], 1)
}
