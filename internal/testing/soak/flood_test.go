package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/testing/entryprogram"
	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

const (
	floodedService = "flooded"
	// floodDuration is how long requests are sent to the endpoint that floods its callers.
	floodDuration = 700 * time.Millisecond
	// raceMemoryFactor is how much more memory a program takes at most with the race detector.
	raceMemoryFactor = 10
	// floodAttempts bounds the requests of one caller of the flooding endpoint.
	floodAttempts = 1000
	// readinessTimeout bounds the start of an entry.
	readinessTimeout = 20 * time.Second
)

// floods are what a faulty endpoint sends without end.
var floods = map[string]platformtest.Flood{
	"status line":       {Piece: "x"},
	"field line":        {Start: "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-More: ", Piece: "x"},
	"fields":            {Start: "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n", Piece: "A:\r\n"},
	"interim responses": {Piece: "HTTP/1.1 103 Early Hints\r\n\r\n"},
}

// eventStart begins a stream with an event that does not end.
const eventStart = "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: "

// floodTest is an entry in a process of its own, with an endpoint that floods its callers and a sound one.
type floodTest struct {
	*testing.T
	entry   *entry
	flooded *platformtest.Runner
	client  *http.Client
}

func newFloodTest(t *testing.T) *floodTest {
	t.Helper()
	store, reports := platformtest.NewStore(), platformtest.NewReports(false)
	t.Cleanup(store.Close)
	t.Cleanup(reports.Close)
	sound := platformtest.NewRunner("i-sound", service, platformtest.Answer{Status: http.StatusOK, Body: "whole"})
	t.Cleanup(sound.Close)
	flooded := platformtest.NewRunner("i-flooded", floodedService, platformtest.Answer{Status: http.StatusOK})
	t.Cleanup(flooded.Close)
	store.PutEndpoint(sound, "ready")
	store.PutEndpoint(flooded, "ready")
	toFlooded := func(path, kind string) map[string]any {
		r := route(path, kind, false)
		r["backend"], r["maxAttempts"], r["timeoutMs"] = floodedService, 1, floodDuration.Milliseconds()
		return r
	}
	store.Configure(map[string]any{
		"version": 1, "routes": []map[string]any{route("/page/", "idempotent", false), toFlooded("/book/", "non_idempotent"), toFlooded("/chat/", "streaming")},
		"backends": []map[string]any{{"name": service, "maxConns": 1000}, {"name": floodedService, "maxConns": 1000}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "team", "apiKeys": []string{teamKey}, "priority": 1}},
	})
	o := Options{Entries: 1, Dir: logFolder(t), Command: entryprogram.Command}
	e := startLoneEntry(t, o, store, reports)
	f := &floodTest{T: t, entry: e, flooded: flooded, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}}
	deadline := time.Now().Add(readinessTimeout)
	for f.status("/page/ready") != http.StatusOK {
		if time.Now().After(deadline) {
			t.Fatal("the entry does not serve")
		}
		time.Sleep(20 * time.Millisecond)
	}
	return f
}

// status sends a request and returns the status of the answer, 0 if it is not whole.
func (f *floodTest) status(path string) int {
	q, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+f.entry.callerAddress()+path, http.NoBody)
	if err != nil {
		f.Fatal(err)
	}
	q.Host = host
	q.Header.Set(platformtest.RequestIDField, fmt.Sprint(time.Now().UnixNano()))
	q.Header.Set(platformtest.KeyField, teamKey)
	q.Header.Set(platformtest.DeadlineField, "10000")
	a, err := f.client.Do(q)
	if err != nil {
		return 0
	}
	defer func() { _ = a.Body.Close() }()
	for buffer := make([]byte, 4096); ; {
		if _, err := a.Body.Read(buffer); err != nil {
			break
		}
	}
	return a.StatusCode
}

// run lets that many callers use the flooding endpoint while others use the sound one. It returns the
// largest memory of the entry.
func (f *floodTest) run(path string, callers int) int {
	end := time.Now().Add(floodDuration)
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			for range floodAttempts {
				if time.Now().After(end) {
					return
				}
				f.status(path)
			}
		})
	}
	most := 0
	for time.Now().Before(end) {
		if status := f.status("/page/sound"); status != http.StatusOK {
			f.Errorf("a request to a sound endpoint got status %d", status)
		}
		most = max(most, f.entry.memoryMB())
		time.Sleep(10 * time.Millisecond)
	}
	f.client.CloseIdleConnections()
	all.Wait()
	return most
}

// TestFloodOfEventsDoesNotEndEntry guards against events without end, each of which is allowed by itself.
func TestFloodOfEventsDoesNotEndEntry(t *testing.T) {
	f := newFloodTest(t)
	limit := entryMemoryLimitMB
	if entryprogram.Race {
		limit *= raceMemoryFactor
	}
	const bytesAtOnce = 900 << 10 // below what an event may have
	f.flooded.SetDefault(platformtest.Stall{Start: eventStart, Bytes: bytesAtOnce})
	for _, callers := range []int{1, 10, 400} {
		if most := f.run("/chat/flooded", callers); most > limit {
			t.Errorf("%d streams: the entry takes %d MB, more than %d", callers, most, limit)
		} else {
			t.Logf("%d streams: the entry takes %d MB", callers, most)
		}
	}
	if ended := f.entry.exitDescription(); ended != "" {
		t.Errorf("the entry has %s", ended)
	}
}

// TestFloodOfBytesDoesNotEndEntry guards against an endpoint whose bytes fill the memory of an entry.
func TestFloodOfBytesDoesNotEndEntry(t *testing.T) {
	f := newFloodTest(t)
	limit := entryMemoryLimitMB
	if entryprogram.Race {
		limit *= raceMemoryFactor
	}
	for name, flood := range floods {
		f.flooded.SetDefault(flood)
		for _, callers := range []int{1, 10, 100} {
			if most := f.run("/book/flooded", callers); most > limit {
				t.Errorf("%s, %d callers: the entry takes %d MB, more than %d", name, callers, most, limit)
			} else {
				t.Logf("%s, %d callers: the entry takes %d MB", name, callers, most)
			}
		}
	}
	if ended := f.entry.exitDescription(); ended != "" {
		t.Errorf("the entry has %s", ended)
	}
}
