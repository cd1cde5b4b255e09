package soak

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// Promise is a promise that is checked.
type Promise string

// The promises.
const (
	OwnCompleteAnswer      Promise = "a caller gets the whole answer to its own request"
	InOrder                Promise = "the events of a stream come once and in order"
	AtMostOnce             Promise = "what may not be repeated runs at most once"
	NotRun                 Promise = "what is said not to have run has not run"
	RequestUnmodified      Promise = "endpoints get the caller's request, its team and no key"
	NoRequestsAfterLeaving Promise = "an endpoint that leaves gets nothing new"
	ValidFetchSource       Promise = "memory is fetched from another endpoint, and none that has long left"
	SettingsMonotonic      Promise = "settings never go back"
	NoRequestLost          Promise = "planned work cuts off no request"
	Recovers               Promise = "all works again after the faults"
	CrashingRequestHeld    Promise = "a request that crashes its endpoints is kept from them"
	UsageReportedOnce      Promise = "usage is reported once for a window, by one holder, and no more than ran"
	EvacuationHonoured     Promise = "an evacuated data centre gets nothing new"
	InRegion               Promise = "a request runs in its regions only"
	WarmupLimitHonoured    Promise = "an endpoint that warms up gets no more than it bears"
	RateLimitHonoured      Promise = "an endpoint that names a limit gets no more than it bears"
	BackoffHonoured        Promise = "an endpoint that asks an entry to back off gets at most two requests from it in that time"
	DrainingHonoured       Promise = "an endpoint that says in a response that it drains gets nothing new from the entry that passed it on"
	ContinuedAfterCrash    Promise = "a copy continues a run once, after its endpoint has ended"
	OneVersion             Promise = "a stream has events of one software version, in one answer and over its caller's requests"
	StreamsGoOn            Promise = "streams that callers resume go on while their version serves"
	NoTeamStarves          Promise = "no team starves while another sends many times its usual"
	inFlightSlack                  = 1500 * time.Millisecond // for a request in flight
)

// Violation is a broken promise.
type Violation struct {
	Promise Promise
	ID      string // of the request, empty for none
	Detail  string
}

// run is one run of a request at an endpoint.
type run struct {
	platformtest.Run
	endpoint     string
	leavingSince time.Time // when the endpoint announced that it leaves, zero if it did not
	endedAt      time.Time // of the endpoint, zero if it has not ended

	dataCentre string // of the endpoint
}

// history collects what callers and endpoints observed. The zero value is empty.
type history struct {
	mu           sync.Mutex
	observations []observation
	runs         map[string][]run // by request id
	addresses    map[string]*endpoint
	fetches      int
	continued    int            // runs that a copy continued
	disturbances []time.Time    // begin and end of faults that delay updates to entries
	versions     map[string]int // active version, by incarnation of an entry

	evacuations []interval
	standstills standstills
	namedLimits []namedLimit
	resumptions []resumption
	versionOf   map[string]string // of the software, by endpoint
	refusals    int               // with a Retry-After
	violations  []Violation
}

func (h *history) add(s observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observations = append(h.observations, s)
}

func (h *history) recordDisturbance(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbances = append(h.disturbances, at)
}

func (h *history) recordViolation(p Promise, id, detail string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, Violation{p, id, detail})
}

// recordVersion records the active version of an entry, and a violation if it is older than the
// previous one.
func (h *history) recordVersion(name string, starts, version int) {
	key := name + "/" + strconv.Itoa(starts)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.versions == nil {
		h.versions = map[string]int{}
	}
	if previous := h.versions[key]; version < previous {
		h.violations = append(h.violations, Violation{SettingsMonotonic, "", fmt.Sprintf("%s had version %d, then %d", key, previous, version)})
	}
	h.versions[key] = version
}

// addRuns adds the runs of an endpoint.
func (h *history) addRuns(e *endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.runs == nil {
		h.runs = map[string][]run{}
	}
	if h.addresses == nil {
		h.addresses = map[string]*endpoint{}
	}
	h.addresses[e.runner.Address()] = e
	if h.versionOf == nil {
		h.versionOf = map[string]string{}
	}
	h.versionOf[e.runner.ID] = e.runner.Version
	for _, r := range e.runner.Runs() {
		h.runs[r.ID] = append(h.runs[r.ID], run{Run: r, endpoint: e.runner.ID, leavingSince: e.leavingSince, endedAt: e.endedAt, dataCentre: e.runner.DataCentre})
	}
}

// check checks all records against the promises. If only planned work was injected, no request
// may be lost either.
func (h *history) check(planned bool, reports []platformtest.Report) Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := Report{Requests: len(h.observations), Answers: map[int]int{}}
	for _, s := range h.observations {
		r.Answers[s.status]++
		if s.returned {
			r.Returned++
		}
		h.checkAnswer(s)
		h.checkRuns(s, h.runs[s.id])
		if planned {
			h.checkLost(s, h.runs[s.id])
		}
	}
	h.checkReturned()
	h.checkVersions(&r)
	h.checkStarved()
	h.checkUsage(reports)
	r.Violations = h.violations
	r.Reports = len(reports)
	r.Fetches = h.fetches
	r.Continued = h.continued
	r.Refusals = h.refusals
	return r
}

// addViolation records a violation. history.mu must be held.
func (h *history) addViolation(p Promise, id, format string, values ...any) {
	h.violations = append(h.violations, Violation{p, id, fmt.Sprintf(format, values...)})
}

// checkAnswer checks the response that a caller received.
func (h *history) checkAnswer(s observation) {
	if s.status != http.StatusOK {
		return
	}
	if s.seal != "seal-"+s.id {
		h.addViolation(OwnCompleteAnswer, s.id, "the answer carries %q", s.seal)
	}
	if !s.kind.stream {
		if s.complete && s.body != responseBody {
			h.addViolation(OwnCompleteAnswer, s.id, "the answer is %q", s.body)
		}
		return
	}
	ids := eventIDs(s.body)
	for n, id := range ids {
		if id != strconv.Itoa(s.resumesAfter+n+1) {
			h.addViolation(InOrder, s.id, "event %d after %d has id %s", n+1, s.resumesAfter, id)
			return
		}
	}
	if s.complete && s.resumesAfter+len(ids) != eventsPerStream {
		h.addViolation(OwnCompleteAnswer, s.id, "a stream of %d events ended as if complete", len(ids))
	}
}

// checkLost reports a request that was forwarded and whose connection ended without a complete
// answer.
func (h *history) checkLost(s observation, runs []run) {
	if len(runs) > 0 && !s.complete && !s.gaveUp {
		h.addViolation(NoRequestLost, s.id, "it ran at %s, and the connection ended with status %d and %d bytes", runs[0].endpoint, s.status, len(s.body))
	}
}

// checkRuns checks the runs of a request at endpoints.
func (h *history) checkRuns(s observation, runs []run) {
	if n := countRuns(runs); s.kind.nonIdempotent && n > 1 {
		h.addViolation(AtMostOnce, s.id, "%d runs", n)
	}
	h.checkContinuations(s, runs)
	switch s.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(runs) > 0 {
			h.addViolation(NotRun, s.id, "status %d, but it ran at %s", s.status, runs[0].endpoint)
		}
	}
	for _, r := range runs {
		if r.Target != s.target || r.Method != s.kind.method || r.Header.Get(platformtest.TeamField) != s.team.name || r.Header.Get(platformtest.KeyField) != "" {
			h.addViolation(RequestUnmodified, s.id, "%s %s ran for team %q", r.Method, r.Target, r.Header.Get(platformtest.TeamField))
		}
		if late := h.timePastLeaving(r.At, r.leavingSince); late > 0 {
			h.addViolation(NoRequestsAfterLeaving, s.id, "it ran at %s %v after entries could know that it leaves; %s", r.endpoint, late, h.timing(s, r.At))
		}
		h.checkSource(s, r)
		h.checkDataCentre(s, r)
	}
}

// checkSource checks the endpoint from which an endpoint was asked to fetch memory.
func (h *history) checkSource(s observation, r run) {
	address := r.Header.Get(platformtest.FetchField)
	if address == "" {
		return
	}
	h.fetches++
	source := h.addresses[address]
	switch {
	case source == nil:
		h.addViolation(ValidFetchSource, s.id, "%s was told to fetch from %s, which is no endpoint", r.endpoint, address)
	case source.runner.ID == r.endpoint:
		h.addViolation(ValidFetchSource, s.id, "%s was told to fetch from itself", r.endpoint)
	case h.timePastLeaving(r.At, source.leavingSince) > 0:
		h.addViolation(ValidFetchSource, s.id, "%s was told to fetch from %s after entries could know that it leaves", r.endpoint, source.runner.ID)
	}
}

// timePastLeaving returns the time between the moment at which entries could know that an endpoint
// leaves and at. It returns 0 if that is within the grace period or the endpoint did not leave.
func (h *history) timePastLeaving(at, leavingSince time.Time) time.Duration {
	if leavingSince.IsZero() {
		return 0
	}
	late := h.timeToLearn(at, leavingSince)
	if late <= drainGraceMS*time.Millisecond+inFlightSlack {
		return 0
	}
	return late
}

// timeToLearn returns the time that entries had until at to learn of an event, counted from the event
// or from the last disturbance after it, less the standstills of this process.
func (h *history) timeToLearn(at, happened time.Time) time.Duration {
	known := happened
	for _, disturbed := range h.disturbances {
		if disturbed.After(known) && disturbed.Before(at) {
			known = disturbed
		}
	}
	return at.Sub(known) - h.standstills.within(known, at)
}
