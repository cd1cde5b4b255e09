package platformtest

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"foxcross.dev/foxcross/internal/testing/loopback"
)

// Header fields of the platform.
const (
	RequestIDField = "X-Attempt-Id"
	DeadlineField  = "X-Deadline-Ms"
	KeyField       = "X-Api-Key"
	TeamField      = "X-Tenant"
	TargetField    = "X-Target-Instance"
	InstanceField  = "X-Instance-Id"
	NotRunField    = "X-Not-Executed"
	SealField      = "X-Response-Seal"
	LimitField     = "Server-Limit" // requests a second from all callers together
	DrainingField  = "Server-Leaving"
	LastEventField = "Last-Event-Id"
	ResumesField   = "Resumes" // id of the request that brought the first event of the stream
	FetchField     = "Kv-Fetch"
	PriorityField  = "X-Request-Priority"
	TokensField    = "X-Token-Usage" // of the prompt and, at most, of the answer
	PartsField     = "X-Prefix-Hash" // of the prompt, ID:TOKENS
)

// CacheEventsPath is the path of the events of a runner's cache, with an epoch that each start changes.
const CacheEventsPath = "/foxcross/kv-events"

// CachedPartsPath is the path at which a runner lists the parts of prompts that it has cached.
const CachedPartsPath = "/foxcross/kv-list"

// Run is a request that a runner has started.
type Run struct {
	ID     string
	Method string
	Target string // as in the request line
	Host   string
	Header http.Header
	Body   []byte
	At     time.Time // start
}

// Runner is a stand-in for an endpoint. Create it with NewRunner.
type Runner struct {
	ID        string
	Service   string
	Engine    bool  // its record names a model; set before the record is written
	StartedMS int64 // start in ms since 1970, 0 to omit it; set before the record is written

	// DataCentre is empty for "zone-1", Version of its software for "v1". WarmupLeftMS is the remaining
	// time of its warm-up. All are set before the record is written.
	DataCentre   string
	Version      string
	WarmupLeftMS int

	listener net.Listener
	epoch    int64 // unique to this process of the runner

	mu              sync.Mutex
	nextBehaviors   []Behavior // for the next requests, before defaultBehavior
	sharedScript    *Script    // before nextBehaviors, nil for none
	defaultBehavior Behavior
	limitValues     []string // in its responses, each in a field of its own
	drainingValues  []string // in its responses, each in a field of its own
	backoffs        backoffs
	runs            []Run
	arrivals        []Arrival
	conns           map[net.Conn]bool
	cache           promptCache
	connectionCount int
	slowdown        float64     // of streams, 0 for 1
	abandoned       chan string // ids of requests whose caller closed the connection
	endOnce         sync.Once
	ended           chan struct{} // closed when the runner refuses connections
}

// NewRunner starts a runner on a free port of the loopback address of this process.
func NewRunner(id, service string, defaultBehavior Behavior) *Runner {
	l, err := loopback.Listen()
	if err != nil {
		panic("platformtest: " + err.Error())
	}
	return newRunner(l, id, service, defaultBehavior)
}

// Restart ends a runner and starts another process under its ID and address.
func (r *Runner) Restart(version string) *Runner {
	r.Close()
	l, err := net.Listen("tcp", r.Address())
	if err != nil {
		panic("platformtest: " + err.Error())
	}
	next := newRunner(l, r.ID, r.Service, r.defaultBehavior)
	next.Engine, next.DataCentre, next.Version, next.StartedMS = r.Engine, r.DataCentre, version, r.StartedMS+1
	return next
}

func newRunner(l net.Listener, id, service string, defaultBehavior Behavior) *Runner {
	r := &Runner{ID: id, Service: service, listener: l, epoch: lastEpoch.Add(1), defaultBehavior: defaultBehavior, conns: map[net.Conn]bool{}, abandoned: make(chan string, 1024), ended: make(chan struct{})}
	go r.accept()
	return r
}

// lastEpoch is the last epoch that was given to a runner.
var lastEpoch atomic.Int64

// Enqueue appends behaviors for the next requests.
func (r *Runner) Enqueue(behaviors ...Behavior) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextBehaviors = append(r.nextBehaviors, behaviors...)
}

// AdvertiseLimit sets the limit that the next responses advertise, each value in a field of its own. Without
// a value they name none.
func (r *Runner) AdvertiseLimit(values ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limitValues = values
}

// SetDefault sets the behavior for requests for which no other behavior is set.
func (r *Runner) SetDefault(a Behavior) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.defaultBehavior = a
}

// SetSlowdown sets by what factor the next streams and the next events of those that run take longer.
func (r *Runner) SetSlowdown(factor float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slowdown = factor
}

// slowed returns how long something takes at the present speed.
func (r *Runner) slowed(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.slowdown <= 0 {
		return d
	}
	return time.Duration(float64(d) * r.slowdown)
}

// Drain sets the values by which the next responses announce that the runner drains, each in a field
// of its own. Without a value they do not announce it.
func (r *Runner) Drain(values ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drainingValues = values
}

// Runs returns the requests that were started.
func (r *Runner) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// ConnectionCount returns the number of accepted connections.
func (r *Runner) ConnectionCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.connectionCount
}

// Abandoned returns a channel of the ids of requests whose caller closed the connection.
func (r *Runner) Abandoned() <-chan string { return r.abandoned }

// Record returns the runner's record for the store.
func (r *Runner) Record(state string) map[string]any {
	record := map[string]any{
		"backend": r.Service, "address": r.Address(), "zone": cmp.Or(r.DataCentre, "zone-1"),
		"version": cmp.Or(r.Version, "v1"), "slots": 8, "state": state, "seq": 1, "warmupLeftMs": r.WarmupLeftMS,
	}
	if r.StartedMS > 0 {
		record["born"] = r.StartedMS
	}
	if r.Engine {
		record["models"] = []map[string]any{{"name": "m"}}
	}
	return record
}

// Address returns the address on which the runner listens.
func (r *Runner) Address() string { return r.listener.Addr().String() }

// Ended returns a channel that is closed when the runner refuses connections, before those that it
// has break.
func (r *Runner) Ended() <-chan struct{} { return r.ended }

// Close ends the runner and its connections.
func (r *Runner) Close() {
	_ = r.listener.Close() // the stand-in has ended
	r.endOnce.Do(func() { close(r.ended) })
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close() // the stand-in has ended
	}
}

func (r *Runner) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		if !r.addConnection(c) {
			_ = c.Close() // the stand-in has ended
			return
		}
		go r.serve(c)
	}
}

// addConnection records an accepted connection. It reports whether the runner serves it: one that has
// ended does not.
func (r *Runner) addConnection(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.ended:
		return false
	default:
	}
	r.conns[c] = true
	r.connectionCount++
	return true
}

func (r *Runner) serve(c net.Conn) {
	defer func() {
		_ = c.Close() // the stand-in has ended
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !r.serveRequest(c, reader, q) {
			return
		}
	}
}

// recordArrival records a request and returns the behavior for it.
func (r *Runner) recordArrival(q *http.Request, body []byte) Behavior {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.defaultBehavior
	if shared, ok := r.sharedScript.next(); ok {
		a = shared
	} else if len(r.nextBehaviors) > 0 {
		a = r.nextBehaviors[0]
		r.nextBehaviors = r.nextBehaviors[1:]
	}
	if b, ok := a.(ByPath); ok {
		a = b.choose(q.URL.Path)
	}
	now := time.Now()
	r.arrivals = append(r.arrivals, Arrival{ID: q.Header.Get(RequestIDField), Target: q.RequestURI, At: now})
	if refusal, refuses := r.backoffs.refuse(q, now); refuses {
		return refusal
	}
	if refusal, refuses := r.refuseContinuation(q); refuses {
		return refusal
	}
	if _, refused := a.(Refuse); !refused {
		r.runs = append(r.runs, Run{
			ID: q.Header.Get(RequestIDField), Method: q.Method, Target: q.RequestURI,
			Host: q.Host, Header: q.Header, Body: body, At: now,
		})
	}
	return a
}

// peekBehavior returns the next behavior without removing it.
func (r *Runner) peekBehavior() Behavior {
	r.mu.Lock()
	defer r.mu.Unlock()
	if shared, ok := r.sharedScript.peek(); ok {
		return shared
	}
	if len(r.nextBehaviors) > 0 {
		return r.nextBehaviors[0]
	}
	return r.defaultBehavior
}

// serveRequest serves a request and returns false if the connection is to be closed.
func (r *Runner) serveRequest(c net.Conn, reader *bufio.Reader, q *http.Request) bool {
	if q.URL.Path == CacheEventsPath {
		body := fmt.Sprintf(`{"epoch":%d,"nextToken":1,"lost":false,"events":[]}`, r.epoch)
		write(c, "HTTP/1.1 200 OK\r\n%s\r\n%s", length(body), body)
		return true
	}
	if q.URL.Path == CachedPartsPath {
		body := r.cache.listJSON()
		write(c, "HTTP/1.1 200 OK\r\n%s\r\n%s", length(body), body)
		return true
	}
	id := q.Header.Get(RequestIDField)
	if target := q.Header.Get(TargetField); target != "" && target != r.ID {
		_, _ = io.Copy(io.Discard, q.Body) // the caller may have disconnected
		write(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", InstanceField, r.ID)
		return true
	}
	if e, early := r.peekBehavior().(Early); early {
		r.recordArrival(q, nil)
		return r.respondEarly(c, q, e)
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return false
	}
	behavior := r.recordArrival(q, body)
	if d, delayed := behavior.(Delayed); delayed {
		time.Sleep(d.By)
		behavior = d.Then
	}
	switch a := behavior.(type) {
	case Answer:
		write(c, "%s%s", r.head(a.Status, id, length(a.Body)), a.Body)
		return true
	case Refuse:
		write(c, "HTTP/1.1 %d %s\r\n%s: 1\r\n%s%sContent-Length: 0\r\n\r\n", a.Status, http.StatusText(a.Status), NotRunField, r.signalFields(), headerLines(retryAfterField, a.RetryAfter))
		return true
	case Fail:
		write(c, "%s", r.head(a.Status, id, headerLines(retryAfterField, a.RetryAfter)+"Content-Length: 0\r\n"))
		return true
	case ResetConnection:
		return reset(c)
	case Crash:
		if a.Partial != "" {
			write(c, "%s%s", r.head(http.StatusOK, id, "Connection: close\r\n"), a.Partial)
		}
		if a.After != nil {
			<-a.After
		}
		r.Close()
		return false
	case Truncate:
		write(c, "%sbroken", r.head(http.StatusOK, id, "Content-Length: 100\r\n"))
		return false
	case Unframed:
		if a.Interim {
			write(c, "HTTP/1.1 100 Continue\r\n\r\n")
		}
		write(c, "%s%s", r.head(http.StatusOK, id, "Connection: close\r\n"), a.Body)
		if a.Broken {
			time.Sleep(resetDelay) // the bytes arrive before the reset
			return reset(c)
		}
		return false
	case WrongResponseFirst:
		write(c, "%swrong%sright", r.head(http.StatusOK, "another", length("wrong")), r.head(http.StatusOK, id, length("right")))
		return true
	case ExtraResponse:
		write(c, "%sright%swrong", r.head(http.StatusOK, id, length("right")), r.head(http.StatusOK, id, length("wrong")))
		return true
	case Garbage:
		write(c, "these bytes are no answer\r\n\r\n")
		return false
	case Flood:
		flood(c, strings.ReplaceAll(a.Start, "%s", id), a.Piece)
		return false
	case Stall:
		write(c, "%s%s", strings.ReplaceAll(a.Start, "%s", id), strings.Repeat("x", a.Bytes))
		r.awaitClose(reader, id)
		return false
	case Unsealed:
		write(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", RequestIDField, id)
		return true
	case Hang:
		r.awaitClose(reader, id)
		return false
	case Events:
		return r.stream(c, reader, q, a)
	default:
		return false
	}
}
