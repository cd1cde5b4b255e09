package soak

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
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

// logFolder returns a folder for the logs of entries. It is kept if the test fails.
func logFolder(t *testing.T) string {
	t.Helper()
	folder, err := os.MkdirTemp("", "soak-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("logs of the entries: %s", folder)
			logWarnings(t, folder)
			return
		}
		_ = os.RemoveAll(folder) // it is in the folder for temporary files
	})
	return folder
}

// logWarnings logs the first warnings of each entry.
func logWarnings(t *testing.T, folder string) {
	t.Helper()
	const maxWarnings = 20
	paths, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Errorf("%v", err)
		}
		warnings := 0
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, `"level":"warn"`) && warnings < maxWarnings {
				warnings++
				t.Logf("%s: %s", filepath.Base(path), strings.TrimSpace(line))
			}
		}
	}
}

// runOptions runs entries as separate processes and reports each promise that was not kept.
func runOptions(t *testing.T, o Options) Report {
	t.Helper()
	o.Dir, o.Command = logFolder(t), entryprogram.Command
	r, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range r.Violations {
		t.Errorf("seed %d: %s: request %s: %s", o.Seed, b.Promise, b.ID, b.Detail)
	}
	return r
}

// runSoak runs entries as separate processes under random faults. It checks the promises, and of
// the times only those that the platform bounds.
func runSoak(t *testing.T, seed uint64, only []string) Report {
	t.Helper()
	r := runOptions(t, Options{Seed: seed, Duration: 6 * time.Second, Entries: 3, Endpoints: 4, Callers: 6, Only: only})
	if r.Answers[http.StatusOK] == 0 {
		t.Errorf("seed %d: no request was answered", seed)
	}
	return r
}

func TestAllFaults(t *testing.T) { runSoak(t, 1, nil) }

// TestCrashingRequest runs a caller that repeats a request that crashes each endpoint that runs it,
// while all faults are injected.
func TestCrashingRequest(t *testing.T) {
	r := runOptions(t, Options{
		Seed: 3, Duration: 6 * time.Second, Entries: 3, Endpoints: 4, Callers: 6, Crashing: true,
	})
	if r.Crashed == 0 {
		t.Error("no endpoint has crashed")
	}
}

// TestDeadlyParts injects all faults while callers share parts of prompts that crash endpoints.
func TestDeadlyParts(t *testing.T) {
	r := runOptions(t, Options{
		Seed: 63101, Duration: 6 * time.Second, Entries: 3, Endpoints: 4, Callers: 6, DeadlyParts: 2,
	})
	if r.Crashed == 0 {
		t.Error("no endpoint has crashed")
	}
}

// TestSignalsOfEndpoints makes endpoints ask for backoffs and drain in their responses while entries
// are killed, stopped and frozen and the store does not respond.
func TestSignalsOfEndpoints(t *testing.T) {
	r := runSoak(t, 7, []string{
		"endpoint asks for a backoff", "endpoint drains in its responses", "kill an entry", "stop an entry", "freeze an entry", "store silent",
	})
	if r.Refusals == 0 || r.Faults["endpoint drains in its responses"] == 0 {
		t.Errorf("%d requests were refused with a backoff, %d endpoints drained", r.Refusals, r.Faults["endpoint drains in its responses"])
	}
}

// TestNamedLimits makes endpoints name limits while entries are killed and frozen.
func TestNamedLimits(t *testing.T) {
	const names = "endpoint names a limit"
	if r := runSoak(t, 6, []string{names, "kill an entry", "freeze an entry"}); r.Faults[names] == 0 {
		t.Error("no endpoint has named a limit")
	}
}

// TestContendingTeams makes one team send many times its usual to engines of two speeds that have slow
// spells and crash. Callers that are refused return.
func TestContendingTeams(t *testing.T) {
	const contends = "a team sends many times its usual"
	r := runSoak(t, 8, []string{contends, "an engine has a slow spell", "endpoint crashes"})
	if r.Faults[contends] == 0 || r.Returned == 0 {
		t.Errorf("%d times a team contended, %d callers returned", r.Faults[contends], r.Returned)
	}
}

// TestReleases guards against streams of two versions while engines are released both ways and entries are killed.
func TestReleases(t *testing.T) {
	r := runOptions(t, Options{
		Seed: 9, Duration: 6 * time.Second, Entries: 3, Endpoints: 8, Callers: 24, EventPause: 60 * time.Millisecond,
		Only: []string{"engines are released", "kill an entry"},
	})
	t.Logf("%d of %d streams were resumed", r.Resumed, r.Resumed+r.Refused)
	if r.Faults["engines are released"] == 0 || r.Resumed == 0 {
		t.Errorf("%d releases, %d streams were resumed", r.Faults["engines are released"], r.Resumed)
	}
}

// TestReleasesWhileAnEntryIsOutOfStep guards against streams that go on at another version after a standstill.
func TestReleasesWhileAnEntryIsOutOfStep(t *testing.T) {
	const outOfStep = "an entry is out of step during a release"
	r := runOptions(t, Options{
		Seed: 3, Duration: 5 * time.Second, Entries: 4, Endpoints: 8, Callers: 24, EventPause: 60 * time.Millisecond,
		Only: []string{outOfStep, "kill an entry"},
	})
	t.Logf("%d of %d streams were resumed", r.Resumed, r.Resumed+r.Refused)
	if r.Faults[outOfStep] == 0 || r.Resumed == 0 {
		t.Errorf("%d releases with an entry out of step, %d streams were resumed", r.Faults[outOfStep], r.Resumed)
	}
}

func TestPlannedWork(t *testing.T) { runSoak(t, 2, Planned()) }

// TestSlowCallers adds callers that do not read their responses or do not finish their bodies, during
// evacuations.
func TestSlowCallers(t *testing.T) {
	const maxBodyBytes = entryMemoryLimitMB << 20 / 4 // a quarter of an entry's memory may hold bodies
	r := runOptions(t, Options{
		Seed: 4, Duration: 6 * time.Second, Entries: 3, Endpoints: 4, Callers: 6, SlowCallers: 60,
		Only: []string{"data centre evacuated"},
	})
	if r.BodyBytes == 0 || r.BodyBytes > maxBodyBytes {
		t.Errorf("an entry held %d bytes of bodies", r.BodyBytes)
	}
	if r.MemoryMB > entryMemoryLimitMB && !entryprogram.Race {
		t.Errorf("an entry had %d MB", r.MemoryMB)
	}
}

func TestFaultsCoverAllPromises(t *testing.T) {
	covered := map[Promise]bool{}
	for _, f := range allFaults {
		for _, p := range f.promises {
			covered[p] = true
		}
	}
	for _, p := range []Promise{OwnCompleteAnswer, InOrder, AtMostOnce, NotRun, RequestUnmodified, NoRequestsAfterLeaving, ValidFetchSource, SettingsMonotonic, NoRequestLost, Recovers, UsageReportedOnce, EvacuationHonoured, InRegion, WarmupLimitHonoured, RateLimitHonoured, BackoffHonoured, DrainingHonoured, NoTeamStarves, ContinuedAfterCrash, OneVersion, StreamsGoOn} {
		if !covered[p] {
			t.Errorf("no fault can break %q", p)
		}
	}
}

func TestUnknownFault(t *testing.T) {
	if _, err := Run(context.Background(), Options{Only: []string{"rain"}}); err == nil {
		t.Error("an unknown fault was accepted")
	}
}

// stream returns the body of a stream with the event ids.
func stream(ids ...string) string {
	var b strings.Builder
	for _, id := range ids {
		b.WriteString("id: " + id + "\ndata: x\n\n")
	}
	return b.String()
}

// TestViolationsAreReported checks histories that each break one promise.
func TestViolationsAreReported(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	page, book, chat, home := requestKinds[0], requestKinds[1], requestKinds[2], requestKinds[4]
	of := func(k requestKind, s observation) observation {
		s.id, s.kind, s.target, s.team = "a", k, k.path+"a", teams[0]
		return s
	}
	ran := func(k requestKind) run {
		h := http.Header{}
		h.Set(platformtest.TeamField, "team-1")
		return run{Run: platformtest.Run{ID: "a", Method: k.method, Target: k.path + "a", Header: h, At: now}, endpoint: "i-1"}
	}
	withKey, late := ran(page), ran(page)
	withKey.Header = http.Header{}
	withKey.Header.Set(platformtest.TeamField, "team-1")
	withKey.Header.Set(platformtest.KeyField, teamKey)
	late.leavingSince = now.Add(-time.Minute)
	continued := ran(book)
	continued.Header = continued.Header.Clone()
	continued.Header.Set(platformtest.ContinueField, "address/a")
	crashed := ran(book)
	crashed.endedAt = now.Add(-time.Second)
	elsewhere, evacuated := ran(home), ran(page)
	elsewhere.dataCentre, evacuated.dataCentre = "zone-2", "zone-2"
	fetching := func(address string) run {
		r := ran(page)
		r.Header.Set(platformtest.FetchField, address)
		return r
	}
	endpointAt := func(id string, left time.Time) *endpoint {
		return &endpoint{runner: &platformtest.Runner{ID: id}, leavingSince: left}
	}
	addresses := map[string]*endpoint{
		"own":     endpointAt("i-1", time.Time{}),
		"serving": endpointAt("i-2", time.Time{}),
		"left":    endpointAt("i-3", now.Add(-time.Minute)),
	}
	for name, c := range map[string]struct {
		want Promise
		seen observation
		runs []run
	}{
		"another's answer":                 {OwnCompleteAnswer, of(page, observation{status: 200, seal: "seal-b", body: responseBody, complete: true}), nil},
		"a truncated answer":               {OwnCompleteAnswer, of(page, observation{status: 200, seal: "seal-a", body: "the", complete: true}), nil},
		"a truncated stream":               {OwnCompleteAnswer, of(chat, observation{status: 200, seal: "seal-a", body: stream("1", "2"), complete: true}), nil},
		"an event twice":                   {InOrder, of(chat, observation{status: 200, seal: "seal-a", body: stream("1", "2", "2")}), nil},
		"an event is missing":              {InOrder, of(chat, observation{status: 200, seal: "seal-a", body: stream("1", "3")}), nil},
		"a booking runs twice":             {AtMostOnce, of(book, observation{}), []run{ran(book), ran(book)}},
		"continued at two copies":          {ContinuedAfterCrash, of(book, observation{}), []run{crashed, continued, continued}},
		"continued without a crash":        {ContinuedAfterCrash, of(book, observation{}), []run{ran(book), continued}},
		"refused as not run":               {NotRun, of(book, observation{status: 503}), []run{ran(book)}},
		"another path":                     {RequestUnmodified, of(book, observation{}), []run{ran(page)}},
		"a key is forwarded":               {RequestUnmodified, of(page, observation{}), []run{withKey}},
		"run after draining began":         {NoRequestsAfterLeaving, of(page, observation{}), []run{late}},
		"a fetch from itself":              {ValidFetchSource, of(page, observation{}), []run{fetching("own")}},
		"a fetch from an unknown endpoint": {ValidFetchSource, of(page, observation{}), []run{fetching("nowhere")}},
		"in another region":                {InRegion, of(home, observation{}), []run{elsewhere}},
		"in an evacuated data centre":      {EvacuationHonoured, of(page, observation{}), []run{evacuated}},
		"a fetch from a drained endpoint":  {ValidFetchSource, of(page, observation{}), []run{fetching("left")}},
	} {
		h := history{observations: []observation{c.seen}, runs: map[string][]run{"a": c.runs}, addresses: addresses}
		if c.want == EvacuationHonoured {
			h.beginEvacuation(now.Add(-time.Minute))
		}
		r := h.check(false, nil)
		if len(r.Violations) != 1 || r.Violations[0].Promise != c.want {
			t.Errorf("%s: found %v", name, r.Violations)
		}
	}
	sound := history{observations: []observation{of(page, observation{})}, runs: map[string][]run{"a": {fetching("serving")}}, addresses: addresses}
	if r := sound.check(false, nil); len(r.Violations) != 0 || r.Fetches != 1 {
		t.Errorf("a valid fetch: found %v, counted %d", r.Violations, r.Fetches)
	}
	disturbed := history{observations: []observation{of(page, observation{})}, runs: map[string][]run{"a": {late}}}
	disturbed.recordDisturbance(now.Add(-time.Second))
	if r := disturbed.check(false, nil); len(r.Violations) != 0 {
		t.Errorf("found %v where a disturbance excuses the entries", r.Violations)
	}
	stoodStill := history{observations: []observation{of(page, observation{})}, runs: map[string][]run{"a": {evacuated}}}
	stoodStill.beginEvacuation(now.Add(-4 * time.Second))
	stoodStill.recordClock(now.Add(-3 * time.Second))
	stoodStill.recordClock(now.Add(-2 * time.Second))
	if r := stoodStill.check(false, nil); len(r.Violations) != 1 {
		t.Errorf("found %v where the standstill of the endpoints is too short to excuse the entries", r.Violations)
	}
	stoodStill.violations = nil
	stoodStill.recordClock(now.Add(time.Second))
	if r := stoodStill.check(false, nil); len(r.Violations) != 0 {
		t.Errorf("found %v where the endpoints stood still when the request came", r.Violations)
	}
	var overrun history
	started := &endpoint{runner: &platformtest.Runner{ID: "i-1"}, startedAt: now}
	overrun.checkWarmup(started, slices.Repeat([]platformtest.Run{{At: now.Add(100 * time.Millisecond)}}, 18))
	if r := overrun.check(false, nil); len(r.Violations) != 1 || r.Violations[0].Promise != WarmupLimitHonoured {
		t.Errorf("an endpoint overloaded during its warm-up: found %v", r.Violations)
	}
	var overLimit history
	limit := namedLimit{runner: started.runner, perSecond: 2, active: interval{from: now, to: now.Add(time.Minute)}}
	overLimit.checkLimit(limit, slices.Repeat([]platformtest.Run{{At: now.Add(limitGracePeriod + time.Millisecond)}}, 18))
	overLimit.checkLimit(limit, slices.Repeat([]platformtest.Run{{At: now.Add(limitGracePeriod - time.Millisecond)}}, 100))
	if r := overLimit.check(false, nil); len(r.Violations) != 1 || r.Violations[0].Promise != RateLimitHonoured {
		t.Errorf("an endpoint over its limit: found %v", r.Violations)
	}
	lost := history{observations: []observation{of(page, observation{})}, runs: map[string][]run{"a": {ran(page)}}}
	if r := lost.check(true, nil); len(r.Violations) != 1 || r.Violations[0].Promise != NoRequestLost {
		t.Errorf("a lost answer: found %v", r.Violations)
	}
	var h history
	h.recordVersion("entry-1", 1, 5)
	h.recordVersion("entry-1", 2, 4)
	h.recordVersion("entry-1", 1, 4)
	if r := h.check(false, nil); len(r.Violations) != 1 || r.Violations[0].Promise != SettingsMonotonic {
		t.Errorf("found %v", r.Violations)
	}
}

// TestFalseUsageReportsAreReported checks reports of usage that each break one rule.
func TestFalseUsageReportsAreReported(t *testing.T) {
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
		"valid":                     {[]platformtest.Report{report("entry-1", 1, 7, 1), report("entry-1", 1, 7, 1), report("entry-2", 2, 8, 1)}, 0},
		"refused":                   {[]platformtest.Report{report("entry-2", 2, 7, 1), refused}, 0},
		"two counts for one window": {[]platformtest.Report{report("entry-1", 1, 7, 1), report("entry-1", 1, 7, 2)}, 1},
		"two holders of one fence":  {[]platformtest.Report{report("entry-1", 1, 7, 1), report("entry-2", 1, 8, 1)}, 1},
		"a decreasing fence":        {[]platformtest.Report{report("entry-2", 2, 7, 1), report("entry-1", 1, 8, 1)}, 1},
		"more requests than ran":    {[]platformtest.Report{report("entry-1", 1, 7, 3)}, 1},
	} {
		h := history{runs: map[string][]run{"a": nil, "b": nil}}
		if r := h.check(false, c.reports); len(r.Violations) != c.found {
			t.Errorf("%s: found %v", name, r.Violations)
		}
	}
}

// TestCopiesUnderCrashes crashes endpoints while many runs have copies and entries are killed.
func TestCopiesUnderCrashes(t *testing.T) {
	r := runSoak(t, 9, []string{"an engine crashes in a copied stream", "endpoint crashes", "a team sends many times its usual", "kill an entry"})
	if r.Continued == 0 {
		t.Error("no run was continued")
	}
}

// TestReturnedRunsTwice checks that a booking that ran before and after its caller returned is reported.
func TestReturnedRunsTwice(t *testing.T) {
	first := newObservation(requestKinds[1], teams[1])
	second := first.returning()
	h := history{observations: []observation{first, second}, runs: map[string][]run{first.id: {{}}, second.id: {{}}}}
	h.checkReturned()
	if len(h.violations) != 1 || h.violations[0].Promise != AtMostOnce {
		t.Errorf("found %v", h.violations)
	}
}

// TestStarvedTeam checks that a team is reported that is served far less than all.
func TestStarvedTeam(t *testing.T) {
	for served, broken := range map[int]bool{0: true, 4: true, 20: false} {
		var h history
		for n := range 40 {
			for _, x := range teams {
				s := observation{team: x, status: http.StatusServiceUnavailable}
				if x != teams[2] && n < 30 || n < served {
					s.status = http.StatusOK
				}
				h.observations = append(h.observations, s)
			}
		}
		h.checkStarved()
		if (len(h.violations) == 1) != broken {
			t.Errorf("%d of 40 served: found %v", served, h.violations)
		}
	}
}
