package soak

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/process"
	"foxcross.dev/foxcross/internal/testing/entryprogram"
	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
	_ "foxcross.dev/foxcross/platform" // registers its driver
)

func TestMain(m *testing.M) {
	entryprogram.Main(m, func() error { return process.RunGateway("fleet") })
}

// play runs entries as processes of their own under random faults. Only promises
// are checked, no times but those that the platform bounds.
func play(t *testing.T, seed uint64, only []string) Report {
	t.Helper()
	r, err := Run(context.Background(), Options{
		Seed: seed, Duration: 6 * time.Second, Entries: 3, Endpoints: 4, Callers: 6, Folder: t.TempDir(), Only: only,
		Command: entryprogram.Command,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range r.Breaches {
		t.Errorf("seed %d: %s: request %s: %s", seed, b.Promise, b.ID, b.Detail)
	}
	if r.Answers[http.StatusOK] == 0 {
		t.Errorf("seed %d: no request was answered", seed)
	}
	return r
}

func TestAllFaults(t *testing.T) { play(t, 1, nil) }

// TestCrashingRequest lets a caller come back with a request that crashes each endpoint that
// runs it, while all faults strike.
func TestCrashingRequest(t *testing.T) {
	r, err := Run(context.Background(), Options{
		Seed: 3, Duration: 6 * time.Second, Entries: 3, Endpoints: 4, Callers: 6, Folder: t.TempDir(), Crashing: true,
		Command: entryprogram.Command,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range r.Breaches {
		t.Errorf("%s: request %s: %s", b.Promise, b.ID, b.Detail)
	}
	if r.Crashed == 0 {
		t.Error("no endpoint has crashed")
	}
}

// TestSignalsOfEndpoints lets endpoints ask for backoffs and drain in their responses while entries
// are killed, stopped and frozen and the store fails.
func TestSignalsOfEndpoints(t *testing.T) {
	r := play(t, 7, []string{
		"endpoint asks for a backoff", "endpoint drains in its responses", "kill an entry", "stop an entry", "freeze an entry", "store silent",
	})
	if r.Refusals == 0 || r.Faults["endpoint drains in its responses"] == 0 {
		t.Errorf("%d requests were refused with a backoff, %d endpoints drained", r.Refusals, r.Faults["endpoint drains in its responses"])
	}
}

// TestNamedLimits lets endpoints name limits while entries are killed and frozen.
func TestNamedLimits(t *testing.T) {
	const names = "endpoint names a limit"
	if r := play(t, 6, []string{names, "kill an entry", "freeze an entry"}); r.Faults[names] == 0 {
		t.Error("no endpoint has named a limit")
	}
}

func TestPlannedWork(t *testing.T) { play(t, 2, Planned()) }

// TestSlowCallers plays callers that do not read their answers or do not end their bodies
// beside the others, under evacuations.
func TestSlowCallers(t *testing.T) {
	const mostBodies = entryMemoryMB << 20 / 4 // the share of its memory that an entry gives to bodies
	r, err := Run(context.Background(), Options{
		Seed: 4, Duration: 6 * time.Second, Entries: 3, Endpoints: 4, Callers: 6, Folder: t.TempDir(), Slow: 60,
		Only: []string{"data centre evacuated"}, Command: entryprogram.Command,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range r.Breaches {
		t.Errorf("%s: request %s: %s", b.Promise, b.ID, b.Detail)
	}
	if r.BodyBytes == 0 || r.BodyBytes > mostBodies {
		t.Errorf("an entry held %d bytes of bodies", r.BodyBytes)
	}
	if r.MemoryMB > entryMemoryMB && !entryprogram.Race {
		t.Errorf("an entry had %d MB", r.MemoryMB)
	}
}

func TestEachPromiseIsAttacked(t *testing.T) {
	attacked := map[Promise]bool{}
	for _, f := range faults {
		for _, p := range f.attacks {
			attacked[p] = true
		}
	}
	for _, p := range []Promise{OwnAnswer, InOrder, AtMostOnce, NotRun, Untouched, NothingNew, GoodSource, NeverBack, NothingLost, Recovers, OneReport, Emptied, InRegion, WarmsUp, Heeds, BacksOff, Drains} {
		if !attacked[p] {
			t.Errorf("no fault attacks %q", p)
		}
	}
}

func TestNoSuchFault(t *testing.T) {
	if _, err := Run(context.Background(), Options{Only: []string{"rain"}}); err == nil {
		t.Error("a fault that there isn't was taken")
	}
}

// stream returns a body with the events.
func stream(ids ...string) string {
	var b strings.Builder
	for _, id := range ids {
		b.WriteString("id: " + id + "\ndata: x\n\n")
	}
	return b.String()
}

// TestBreachesAreFound plants one breach of each promise.
func TestBreachesAreFound(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	page, book, chat, home := kinds[0], kinds[1], kinds[2], kinds[4]
	of := func(k kind, s seen) seen {
		s.id, s.kind, s.target = "a", k, k.path+"a"
		return s
	}
	ran := func(k kind) run {
		h := http.Header{}
		h.Set(platformtest.TeamField, "team-1")
		return run{Run: platformtest.Run{ID: "a", Method: k.method, Target: k.path + "a", Header: h, At: now}, endpoint: "i-1"}
	}
	withKey, late := ran(page), ran(page)
	withKey.Header = http.Header{}
	withKey.Header.Set(platformtest.TeamField, "team-1")
	withKey.Header.Set(platformtest.KeyField, teamKey)
	late.left = now.Add(-time.Minute)
	elsewhere, emptied := ran(home), ran(page)
	elsewhere.dataCentre, emptied.dataCentre = "zone-2", "zone-2"
	fetching := func(address string) run {
		r := ran(page)
		r.Header.Set(platformtest.FetchField, address)
		return r
	}
	endpointAt := func(id string, left time.Time) *endpoint {
		return &endpoint{runner: &platformtest.Runner{ID: id}, left: left}
	}
	addresses := map[string]*endpoint{
		"own":     endpointAt("i-1", time.Time{}),
		"serving": endpointAt("i-2", time.Time{}),
		"left":    endpointAt("i-3", now.Add(-time.Minute)),
	}
	for name, c := range map[string]struct {
		want Promise
		seen seen
		runs []run
	}{
		"another's answer":        {OwnAnswer, of(page, seen{status: 200, seal: "seal-b", body: wholeBody, whole: true}), nil},
		"half an answer":          {OwnAnswer, of(page, seen{status: 200, seal: "seal-a", body: "the", whole: true}), nil},
		"a short stream":          {OwnAnswer, of(chat, seen{status: 200, seal: "seal-a", body: stream("1", "2"), whole: true}), nil},
		"an event twice":          {InOrder, of(chat, seen{status: 200, seal: "seal-a", body: stream("1", "2", "2")}), nil},
		"an event is missing":     {InOrder, of(chat, seen{status: 200, seal: "seal-a", body: stream("1", "3")}), nil},
		"a booking runs twice":    {AtMostOnce, of(book, seen{}), []run{ran(book), ran(book)}},
		"a false promise":         {NotRun, of(book, seen{status: 503}), []run{ran(book)}},
		"another path":            {Untouched, of(book, seen{}), []run{ran(page)}},
		"a key is passed on":      {Untouched, of(page, seen{}), []run{withKey}},
		"after it began to leave": {NothingNew, of(page, seen{}), []run{late}},
		"a fetch from itself":     {GoodSource, of(page, seen{}), []run{fetching("own")}},
		"a fetch from nowhere":    {GoodSource, of(page, seen{}), []run{fetching("nowhere")}},
		"in another region":       {InRegion, of(home, seen{}), []run{elsewhere}},
		"where all is emptied":    {Emptied, of(page, seen{}), []run{emptied}},
		"a fetch from one gone":   {GoodSource, of(page, seen{}), []run{fetching("left")}},
	} {
		h := history{seen: []seen{c.seen}, runs: map[string][]run{"a": c.runs}, addresses: addresses}
		if c.want == Emptied {
			h.evacuated(now.Add(-time.Minute))
		}
		r := h.check(false, nil)
		if len(r.Breaches) != 1 || r.Breaches[0].Promise != c.want {
			t.Errorf("%s: found %v", name, r.Breaches)
		}
	}
	sound := history{seen: []seen{of(page, seen{})}, runs: map[string][]run{"a": {fetching("serving")}}, addresses: addresses}
	if r := sound.check(false, nil); len(r.Breaches) != 0 || r.Fetches != 1 {
		t.Errorf("a sound fetch: found %v, counted %d", r.Breaches, r.Fetches)
	}
	disturbed := history{seen: []seen{of(page, seen{})}, runs: map[string][]run{"a": {late}}}
	disturbed.disturb(now.Add(-time.Second))
	if r := disturbed.check(false, nil); len(r.Breaches) != 0 {
		t.Errorf("found %v where entries could not learn", r.Breaches)
	}
	var overrun history
	started := &endpoint{runner: &platformtest.Runner{ID: "i-1"}, began: now}
	overrun.checkWarmup(started, slices.Repeat([]platformtest.Run{{At: now.Add(100 * time.Millisecond)}}, 18))
	if r := overrun.check(false, nil); len(r.Breaches) != 1 || r.Breaches[0].Promise != WarmsUp {
		t.Errorf("an endpoint that is overrun: found %v", r.Breaches)
	}
	var overLimit history
	limit := namedLimit{runner: started.runner, perSecond: 2, during: interval{from: now, to: now.Add(time.Minute)}}
	overLimit.checkLimit(limit, slices.Repeat([]platformtest.Run{{At: now.Add(limitKnownWithin + time.Millisecond)}}, 18))
	overLimit.checkLimit(limit, slices.Repeat([]platformtest.Run{{At: now.Add(limitKnownWithin - time.Millisecond)}}, 100))
	if r := overLimit.check(false, nil); len(r.Breaches) != 1 || r.Breaches[0].Promise != Heeds {
		t.Errorf("an endpoint over its limit: found %v", r.Breaches)
	}
	lost := history{seen: []seen{of(page, seen{})}, runs: map[string][]run{"a": {ran(page)}}}
	if r := lost.check(true, nil); len(r.Breaches) != 1 || r.Breaches[0].Promise != NothingLost {
		t.Errorf("a lost answer: found %v", r.Breaches)
	}
	var h history
	h.inForce("entry-1", 1, 5)
	h.inForce("entry-1", 2, 4)
	h.inForce("entry-1", 1, 4)
	if r := h.check(false, nil); len(r.Breaches) != 1 || r.Breaches[0].Promise != NeverBack {
		t.Errorf("found %v", r.Breaches)
	}
}

// TestFalseReportsAreFound plants one breach of each thing that is checked of usage.
func TestFalseReportsAreFound(t *testing.T) {
	now := time.Now()
	report := func(holder string, fence uint64, window, requests int64) platformtest.Report {
		return platformtest.Report{Holder: holder, Fence: fence, Window: window, Counts: map[string]int64{"team-1": requests}, At: now}
	}
	refused := report("entry-1", 1, 7, 9)
	refused.Refused = true
	for name, c := range map[string]struct {
		reports []platformtest.Report
		found   int
	}{
		"sound":              {[]platformtest.Report{report("entry-1", 1, 7, 1), report("entry-1", 1, 7, 1), report("entry-2", 2, 8, 1)}, 0},
		"refused":            {[]platformtest.Report{report("entry-2", 2, 7, 1), refused}, 0},
		"two counts":         {[]platformtest.Report{report("entry-1", 1, 7, 1), report("entry-1", 1, 7, 2)}, 1},
		"a fence of two":     {[]platformtest.Report{report("entry-1", 1, 7, 1), report("entry-2", 1, 8, 1)}, 1},
		"a fence that falls": {[]platformtest.Report{report("entry-2", 2, 7, 1), report("entry-1", 1, 8, 1)}, 1},
		"more than ran":      {[]platformtest.Report{report("entry-1", 1, 7, 3)}, 1},
	} {
		h := history{runs: map[string][]run{"a": nil, "b": nil}}
		if r := h.check(false, c.reports); len(r.Breaches) != c.found {
			t.Errorf("%s: found %v", name, r.Breaches)
		}
	}
}
