package fleet_test

// What users saw: a few requests came again and again, at any entry. Each brought down the
// engine that began to run it, 43 and 44 engines in half a minute, and in the worst seconds
// over half of the other questions failed, those that only ran beside such a request among
// them.
//
// The order of events: a caller sends the request; an entry sends it to an engine, which
// crashes within a tenth of a second; all connections to it break; the entry sends the request
// to another engine, which crashes as well, and answers with 502. The caller comes back, on a
// new connection, at another entry, under a new id, and all begins anew.
//
// The cause: nothing is remembered of a request's content once it has been answered, so
// that what follows an attempt is decided from one request's own attempts. Each return of
// the caller may bring down as many endpoints as its route allows attempts.
//
// The evidence: at 31 engines that crashed in ten seconds all connections broke within 3 ms,
// exactly one request at each had not begun its answer, its id was another one each time,
// and none had more attempts than its route allows.

import (
	"fmt"
	"net/http"
	"testing"
)

// TestCrashingRequestIsNotSentOn lets a caller come back with a request that crashes each
// endpoint that runs it, in turn at all entries, without a pause.
func TestCrashingRequestIsNotSentOn(t *testing.T) {
	const (
		entries, endpoints = 5, 8
		returns            = 40
		// maxCrashes is what is borne at the most: no entry sends the request on after three
		// crashes that it has seen itself, also if it has heard of none of the others.
		maxCrashes = 3 * entries
	)
	f := newFleet(t, entries, endpoints)
	for n := range returns {
		f.ask(f.entries[n%entries], crashing+"/1", "crashes what runs it")
		beside := fmt.Sprintf("/chat/%d", n)
		f.eventually("another request is served", func() bool {
			return f.ask(f.entries[(n+1)%entries], beside, "another one").status == http.StatusOK
		})
	}
	if n := f.crashes.Load(); n > maxCrashes {
		t.Errorf("%d endpoints have crashed under one content, of %d that are borne", n, maxCrashes)
	}
}
