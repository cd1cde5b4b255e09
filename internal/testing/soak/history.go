package soak

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// Promise is one of the promises that are checked.
type Promise string

// The promises.
const (
	OwnAnswer   Promise = "a caller gets the whole answer to its own request"
	InOrder     Promise = "the events of a stream come once and in order"
	AtMostOnce  Promise = "what may not be repeated runs at most once"
	NotRun      Promise = "what is said not to have run has not run"
	Untouched   Promise = "endpoints get the caller's request, its team and no key"
	NothingNew  Promise = "an endpoint that leaves gets nothing new"
	GoodSource  Promise = "memory is fetched from another endpoint, and none that has long left"
	NeverBack   Promise = "settings never go back"
	NothingLost Promise = "planned work cuts off no request"
	Recovers    Promise = "all works again after the faults"
	KeptFrom    Promise = "a request that crashes its endpoints is kept from them"
	OneReport   Promise = "usage is reported once for a window, by one holder, and no more than ran"
	Emptied     Promise = "an evacuated data centre gets nothing new"
	InRegion    Promise = "a request runs in its regions only"
	WarmsUp     Promise = "an endpoint that warms up gets no more than it bears"
	Heeds       Promise = "an endpoint that names a limit gets no more than it bears"
	BacksOff    Promise = "an endpoint that asks an entry to back off gets at most two requests from it in that time"
	Drains      Promise = "an endpoint that says in a response that it drains gets nothing new from the entry that passed it on"
	leaveSlack          = 1500 * time.Millisecond // for a request that was on its way
)

// Breach is a promise that was not kept.
type Breach struct {
	Promise Promise
	ID      string // of the request, empty for none
	Detail  string
}

// run is one run of a request at an endpoint.
type run struct {
	platformtest.Run
	endpoint string
	left     time.Time // when the endpoint said that it leaves, zero for not

	dataCentre string // of the endpoint
}

// history is what was seen. The zero value is empty.
type history struct {
	mu        sync.Mutex
	seen      []seen
	runs      map[string][]run // by request id
	addresses map[string]*endpoint
	fetches   int
	disturbed []time.Time    // when faults began or ended that delay what entries learn
	versions  map[string]int // in force, by life of an entry

	evacuations []interval
	limits      []namedLimit
	refusals    int // that asked for a backoff
	breaches    []Breach
}

func (h *history) add(s seen) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seen = append(h.seen, s)
}

func (h *history) disturb(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbed = append(h.disturbed, at)
}

func (h *history) breach(p Promise, id, detail string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.breaches = append(h.breaches, Breach{p, id, detail})
}

// inForce notes a version seen at an entry.
func (h *history) inForce(name string, life, version int) {
	key := name + "/" + strconv.Itoa(life)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.versions == nil {
		h.versions = map[string]int{}
	}
	if before := h.versions[key]; version < before {
		h.breaches = append(h.breaches, Breach{NeverBack, "", fmt.Sprintf("%s had version %d, then %d", key, before, version)})
	}
	h.versions[key] = version
}

// addRuns takes in what ran at an endpoint.
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
	for _, r := range e.runner.Runs() {
		h.runs[r.ID] = append(h.runs[r.ID], run{Run: r, endpoint: e.runner.ID, left: e.left, dataCentre: e.runner.DataCentre})
	}
}

// check holds all that was seen to the promises. Where only planned work struck, nothing
// may be lost either.
func (h *history) check(planned bool, reports []platformtest.Report) Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := Report{Requests: len(h.seen), Answers: map[int]int{}}
	for _, s := range h.seen {
		r.Answers[s.status]++
		h.checkAnswer(s)
		h.checkRuns(s, h.runs[s.id])
		if planned {
			h.checkLost(s, h.runs[s.id])
		}
	}
	h.checkUsage(reports)
	r.Breaches = h.breaches
	r.Reports = len(reports)
	r.Fetches = h.fetches
	r.Refusals = h.refusals
	return r
}

// found notes a breach. The history is locked.
func (h *history) found(p Promise, id, format string, values ...any) {
	h.breaches = append(h.breaches, Breach{p, id, fmt.Sprintf(format, values...)})
}

// checkAnswer looks at what a caller got.
func (h *history) checkAnswer(s seen) {
	if s.status != http.StatusOK {
		return
	}
	if s.seal != "seal-"+s.id {
		h.found(OwnAnswer, s.id, "the answer carries %q", s.seal)
	}
	if !s.kind.stream {
		if s.whole && s.body != wholeBody {
			h.found(OwnAnswer, s.id, "the answer is %q", s.body)
		}
		return
	}
	ids := events(s.body)
	for n, id := range ids {
		if id != strconv.Itoa(n+1) {
			h.found(InOrder, s.id, "event %d has id %s", n+1, id)
			return
		}
	}
	if s.whole && len(ids) != eventsOf {
		h.found(OwnAnswer, s.id, "a stream of %d events looks complete", len(ids))
	}
}

// checkLost looks for a request that was passed on and whose connection then ended
// without a whole answer.
func (h *history) checkLost(s seen, runs []run) {
	if len(runs) > 0 && !s.whole && !s.left {
		h.found(NothingLost, s.id, "it ran at %s, and the connection ended with status %d and %d bytes", runs[0].endpoint, s.status, len(s.body))
	}
}

// checkRuns looks at what became of a request at endpoints.
func (h *history) checkRuns(s seen, runs []run) {
	if s.kind.once && len(runs) > 1 {
		h.found(AtMostOnce, s.id, "%d runs", len(runs))
	}
	switch s.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(runs) > 0 {
			h.found(NotRun, s.id, "status %d, but it ran at %s", s.status, runs[0].endpoint)
		}
	}
	for _, r := range runs {
		if r.Target != s.target || r.Method != s.kind.method || r.Header.Get(platformtest.TeamField) != "team-1" || r.Header.Get(platformtest.KeyField) != "" {
			h.found(Untouched, s.id, "%s %s ran for team %q", r.Method, r.Target, r.Header.Get(platformtest.TeamField))
		}
		if late := h.afterLeaving(r.At, r.left); late > 0 {
			h.found(NothingNew, s.id, "it ran at %s %v after entries could know that it leaves", r.endpoint, late)
		}
		h.checkSource(s, r)
		h.checkPlace(s, r)
	}
}

// checkSource looks at where an endpoint was told to fetch memory from.
func (h *history) checkSource(s seen, r run) {
	address := r.Header.Get(platformtest.FetchField)
	if address == "" {
		return
	}
	h.fetches++
	source := h.addresses[address]
	switch {
	case source == nil:
		h.found(GoodSource, s.id, "%s was told to fetch from %s, which is no endpoint", r.endpoint, address)
	case source.runner.ID == r.endpoint:
		h.found(GoodSource, s.id, "%s was told to fetch from itself", r.endpoint)
	case h.afterLeaving(r.At, source.left) > 0:
		h.found(GoodSource, s.id, "%s was told to fetch from %s after entries could know that it leaves", r.endpoint, source.runner.ID)
	}
}

// afterLeaving returns how long after entries could know that an endpoint leaves
// something happened; 0 or less if they had no time to learn, or it did not leave.
func (h *history) afterLeaving(at, left time.Time) time.Duration {
	if left.IsZero() {
		return 0
	}
	late := h.since(at, left)
	if late <= leaveMS*time.Millisecond+leaveSlack {
		return 0
	}
	return late
}

// since returns how long before a time entries could have learned of something that happened,
// without a disturbance after it.
func (h *history) since(at, happened time.Time) time.Duration {
	known := happened
	for _, disturbed := range h.disturbed {
		if disturbed.After(known) && disturbed.Before(at) {
			known = disturbed
		}
	}
	return at.Sub(known)
}
