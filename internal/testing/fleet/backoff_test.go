package fleet_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// busyTime is how long endpoints work on a request where they are kept busy.
const busyTime = 240 * time.Millisecond

// entryOf returns which entry a request of askEachAtRate was sent to.
func entryOf(target string) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(target, "/"), "/")
	entry, _, _ := strings.Cut(rest, "/")
	return entry
}

// Guards against entries that send to an endpoint that has asked them to back off.
func TestEndpointIsNotSentRequestsDuringItsRetryAfter(t *testing.T) {
	for _, kind := range []string{"page", "chat", "book"} {
		t.Run(kind, func(t *testing.T) {
			const perSecond = 100
			f := newFleet(t, 5, 4)
			f.respondWithin(busyTime)
			f.askEachAtRate(kind, perSecond, time.Second)
			pushing := f.endpoints()[0]
			pushing.RefuseOnce(3*time.Second, func(q *http.Request) string { return entryOf(q.URL.Path) })
			f.askEachAtRate(kind, perSecond, 4*time.Second)
			checkBackoffs(t, pushing)
		})
	}
}

// checkBackoffs holds what each entry sent an endpoint during its Retry-After to what is allowed.
func checkBackoffs(t *testing.T, r *platformtest.Runner) {
	t.Helper()
	refusals := r.Refusals()
	if len(refusals) == 0 {
		t.Fatal("no request was refused")
	}
	for _, refusal := range refusals {
		entry := entryOf(refusal.Target)
		got := 0
		for _, a := range r.Arrivals() {
			if entryOf(a.Target) == entry && refusal.Counts(a.At) {
				got++
			}
		}
		t.Logf("entry %s: %d requests", entry, got)
		if got > platformtest.MaxInBackoff {
			t.Errorf("entry %s sent %d requests within a Retry-After of %v, allowed %d", entry, got, refusal.Delay, platformtest.MaxInBackoff)
		}
	}
}

// respondWithin lets all endpoints work so long on each request.
func (f *fleet) respondWithin(lasts time.Duration) {
	for _, r := range f.endpoints() {
		r.SetRest(platformtest.ByPath{
			Prefix: []string{"/chat/"},
			Then:   platformtest.Delayed{By: lasts, Then: platformtest.Events{To: 3}},
			Else:   platformtest.Delayed{By: lasts, Then: platformtest.Answer{Status: http.StatusOK, Body: "the whole answer"}},
		})
	}
}

// askEachAtRate sends requests to the entries in turn, whose target names the entry, and returns
// when all are answered.
func (f *fleet) askEachAtRate(kind string, perSecond int, lasts time.Duration) {
	f.t.Helper()
	f.inTurn(perSecond, lasts, func(e *entry, n int) {
		target := fmt.Sprintf("/%s/%d/%d", kind, n%len(f.entries), n)
		if a := f.ask(e, target, ""); a.status != http.StatusOK {
			f.t.Errorf("%s: status %d, code %s", target, a.status, a.header.Get("X-Foxcross-Code"))
		}
	})
}

// Guards against an endpoint that no entry uses since it has refused one of them.
func TestRefusalOfOneEntryLeavesTheEndpointToTheOthers(t *testing.T) {
	const perSecond = 100
	f := newFleet(t, 5, 4)
	pushing := f.endpoints()[0]
	pushing.RefuseOnce(time.Second, func(*http.Request) string { return "any" })
	f.askEachAtRate("page", perSecond, time.Second)
	if n := len(pushing.Refusals()); n != 1 {
		t.Fatalf("%d requests were refused", n)
	}
	refused := entryOf(pushing.Refusals()[0].Target)
	before := len(pushing.Runs())
	f.askEachAtRate("page", perSecond, time.Second)
	byOthers := 0
	for _, r := range pushing.Runs()[before:] {
		if entryOf(r.Target) != refused {
			byOthers++
		}
	}
	t.Logf("%d requests of other entries", byOthers)
	if byOthers < perSecond/20 {
		t.Errorf("the other entries sent %d requests in a second", byOthers)
	}
}
