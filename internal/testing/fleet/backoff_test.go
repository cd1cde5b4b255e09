package fleet_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// busyDuration is the delay of responses in tests that need requests in flight.
const busyDuration = 240 * time.Millisecond

// targetEntry returns the entry that a target of requestKindAtRate names.
func targetEntry(target string) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(target, "/"), "/")
	entry, _, _ := strings.Cut(rest, "/")
	return entry
}

// TestNoRequestsDuringRetryAfter guards against entries that send requests to an endpoint that has
// asked them to back off.
func TestNoRequestsDuringRetryAfter(t *testing.T) {
	for _, kind := range []string{"page", "chat", "book"} {
		t.Run(kind, func(t *testing.T) {
			const perSecond = 100
			f := newFleet(t, 5, 4)
			f.delayResponses(busyDuration)
			f.requestKindAtRate(kind, perSecond, time.Second)
			refusing := f.endpoints()[0]
			refusing.RefuseOnce(3*time.Second, func(q *http.Request) string { return targetEntry(q.URL.Path) })
			f.requestKindAtRate(kind, perSecond, 4*time.Second)
			checkBackoffs(t, refusing)
		})
	}
}

// checkBackoffs checks that no entry sent an endpoint more requests during a Retry-After than allowed.
func checkBackoffs(t *testing.T, r *platformtest.Runner) {
	t.Helper()
	refusals := r.Refusals()
	if len(refusals) == 0 {
		t.Fatal("no request was refused")
	}
	for _, refusal := range refusals {
		entry := targetEntry(refusal.Target)
		got := 0
		for _, a := range r.Arrivals() {
			if targetEntry(a.Target) == entry && refusal.InBackoff(a.At) {
				got++
			}
		}
		t.Logf("entry %s: %d requests", entry, got)
		if got > platformtest.MaxInBackoff {
			t.Errorf("entry %s sent %d requests within a Retry-After of %v, allowed %d", entry, got, refusal.Delay, platformtest.MaxInBackoff)
		}
	}
}

// delayResponses makes all endpoints delay their responses.
func (f *fleet) delayResponses(delay time.Duration) {
	for _, r := range f.endpoints() {
		r.SetDefault(platformtest.ByPath{
			Prefix: []string{"/chat/"},
			Then:   platformtest.Delayed{By: delay, Then: platformtest.Events{To: 3}},
			Else:   platformtest.Delayed{By: delay, Then: platformtest.Answer{Status: http.StatusOK, Body: "the whole answer"}},
		})
	}
}

// requestKindAtRate sends requests of a kind to the entries in turn, and returns when all are answered.
// The target of each request names the entry.
func (f *fleet) requestKindAtRate(kind string, perSecond int, duration time.Duration) {
	f.t.Helper()
	f.sendInTurn(perSecond, duration, func(e *entry, n int) {
		target := fmt.Sprintf("/%s/%d/%d", kind, n%len(f.entries), n)
		if a := f.request(e, target, ""); a.status != http.StatusOK {
			f.t.Errorf("%s: status %d, code %s", target, a.status, a.header.Get("X-Foxcross-Code"))
		}
	})
}

// TestBackoffAppliesToOneEntry guards against entries that stop using an endpoint because it has
// refused a request of another entry.
func TestBackoffAppliesToOneEntry(t *testing.T) {
	const perSecond = 100
	f := newFleet(t, 5, 4)
	refusing := f.endpoints()[0]
	refusing.RefuseOnce(time.Second, func(*http.Request) string { return "any" })
	f.requestKindAtRate("page", perSecond, time.Second)
	if n := len(refusing.Refusals()); n != 1 {
		t.Fatalf("%d requests were refused", n)
	}
	refused := targetEntry(refusing.Refusals()[0].Target)
	before := len(refusing.Runs())
	f.requestKindAtRate("page", perSecond, time.Second)
	byOthers := 0
	for _, r := range refusing.Runs()[before:] {
		if targetEntry(r.Target) != refused {
			byOthers++
		}
	}
	t.Logf("%d requests of other entries", byOthers)
	if byOthers < perSecond/20 {
		t.Errorf("the other entries sent %d requests in a second", byOthers)
	}
}
