package platformtest

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
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
	FetchField     = "Kv-Fetch"
	TokensField    = "X-Token-Usage" // of the prompt and, at the most, of the answer
	PartsField     = "X-Prefix-Hash" // of the prompt, ID:TOKENS
)

// KeptPath is where a runner lists the parts of prompts that it keeps.
const KeptPath = "/foxcross/kv-list"

// Run is one request that a runner has begun to work on.
type Run struct {
	ID     string
	Method string
	Target string // as it stood in the request line
	Host   string
	Header http.Header
	Body   []byte
	At     time.Time // when it began
}

// Runner is an endpoint. Create it with NewRunner.
type Runner struct {
	ID      string
	Service string
	Engine  bool  // its entry names a model; set before it is entered
	Born    int64 // when it started, ms since 1970, 0 for not told; set before it is entered

	// DataCentre is where it is, empty for "zone-1", and WarmupLeftMS how much longer it warms
	// up; both are set before it is entered.
	DataCentre   string
	WarmupLeftMS int

	listener net.Listener

	mu       sync.Mutex
	script   []Act   // for the next requests, then rest
	shared   *Script // before all others, nil for none
	rest     Act
	limit    []string // that its answers name, each in a field of its own
	drains   []string // how its answers say that it drains, each in a field of its own
	backoffs backoffs
	runs     []Run
	arrivals []Arrival
	conns    map[net.Conn]bool
	memory   memory
	dialed   int
	left     chan string // ids of requests whose caller closed the connection
	ended    sync.Once
	end      chan struct{} // closed when the runner has ended
}

// NewRunner starts a runner on a free port of the loopback address.
func NewRunner(id, service string, rest Act) *Runner {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic("platformtest: " + err.Error())
	}
	r := &Runner{ID: id, Service: service, listener: l, rest: rest, conns: map[net.Conn]bool{}, left: make(chan string, 1024), end: make(chan struct{})}
	go r.accept()
	return r
}

// Next sets what becomes of the next requests.
func (r *Runner) Next(acts ...Act) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.script = append(r.script, acts...)
}

// NameLimit sets what the next answers name as the limit, each value in a field of its own; no
// value for none.
func (r *Runner) NameLimit(values ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = values
}

// SetRest sets what becomes of requests for which nothing else is set.
func (r *Runner) SetRest(a Act) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rest = a
}

// Drain sets how the next answers say that the runner drains, each value in a field of its own;
// no value for not at all.
func (r *Runner) Drain(values ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drains = values
}

// Runs returns the requests that were begun.
func (r *Runner) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// Dialed returns how many connections have come.
func (r *Runner) Dialed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dialed
}

// Left brings the ids of requests whose caller closed the connection.
func (r *Runner) Left() <-chan string { return r.left }

// Entry is how the runner stands in the store.
func (r *Runner) Entry(state string) map[string]any {
	entry := map[string]any{
		"backend": r.Service, "address": r.Address(), "zone": cmp.Or(r.DataCentre, "zone-1"),
		"version": "v1", "slots": 8, "state": state, "seq": 1, "warmupLeftMs": r.WarmupLeftMS,
	}
	if r.Born > 0 {
		entry["born"] = r.Born
	}
	if r.Engine {
		entry["models"] = []map[string]any{{"name": "m"}}
	}
	return entry
}

// Address returns where the runner listens.
func (r *Runner) Address() string { return r.listener.Addr().String() }

// Ended is closed when the runner has ended.
func (r *Runner) Ended() <-chan struct{} { return r.end }

// Close ends the runner and its connections.
func (r *Runner) Close() {
	defer r.ended.Do(func() { close(r.end) })
	_ = r.listener.Close() // the stand-in is over
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close() // the stand-in is over
	}
}

func (r *Runner) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.dialed++
		r.mu.Unlock()
		go r.serve(c)
	}
}

func (r *Runner) serve(c net.Conn) {
	defer func() {
		_ = c.Close() // the stand-in is over
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
		if !r.answer(c, reader, q) {
			return
		}
	}
}

// take notes a run and returns what becomes of it.
func (r *Runner) take(q *http.Request, body []byte) Act {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.rest
	if shared, ok := r.shared.next(); ok {
		a = shared
	} else if len(r.script) > 0 {
		a = r.script[0]
		r.script = r.script[1:]
	}
	if b, ok := a.(ByPath); ok {
		a = b.choose(q.URL.Path)
	}
	now := time.Now()
	r.arrivals = append(r.arrivals, Arrival{ID: q.Header.Get(RequestIDField), Target: q.RequestURI, At: now})
	if refusal, refuses := r.backoffs.refuse(q, now); refuses {
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

// peek returns the next act without taking it.
func (r *Runner) peek() Act {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.script) > 0 {
		return r.script[0]
	}
	return r.rest
}

// answer returns false when the connection is to be closed.
func (r *Runner) answer(c net.Conn, reader *bufio.Reader, q *http.Request) bool {
	if q.URL.Path == KeptPath {
		body := r.memory.list()
		write(c, "HTTP/1.1 200 OK\r\n%s\r\n%s", length(body), body)
		return true
	}
	id := q.Header.Get(RequestIDField)
	if target := q.Header.Get(TargetField); target != "" && target != r.ID {
		_, _ = io.Copy(io.Discard, q.Body) // the caller may be gone
		write(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", InstanceField, r.ID)
		return true
	}
	if e, early := r.peek().(Early); early {
		r.take(q, nil)
		write(c, "%s", r.head(e.Status, id, "Content-Length: 0\r\n"))
		_, _ = io.Copy(io.Discard, q.Body) // the caller may be gone
		return true
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return false
	}
	act := r.take(q, body)
	if d, delayed := act.(Delayed); delayed {
		time.Sleep(d.By)
		act = d.Then
	}
	switch a := act.(type) {
	case Answer:
		write(c, "%s%s", r.head(a.Status, id, length(a.Body)), a.Body)
		return true
	case Refuse:
		write(c, "HTTP/1.1 %d %s\r\n%s: 1\r\n%s%sContent-Length: 0\r\n\r\n", a.Status, http.StatusText(a.Status), NotRunField, r.signalFields(), fieldLines(retryAfterField, a.RetryAfter))
		return true
	case Fail:
		write(c, "%s", r.head(a.Status, id, fieldLines(retryAfterField, a.RetryAfter)+"Content-Length: 0\r\n"))
		return true
	case Break:
		return reset(c)
	case Crash:
		if a.Begun != "" {
			write(c, "%s%s", r.head(http.StatusOK, id, "Connection: close\r\n"), a.Begun)
		}
		if a.After != nil {
			<-a.After
		}
		r.Close()
		return false
	case Cut:
		write(c, "%sbroken", r.head(http.StatusOK, id, "Content-Length: 100\r\n"))
		return false
	case Unframed:
		write(c, "%s%s", r.head(http.StatusOK, id, "Connection: close\r\n"), a.Body)
		if a.Broken {
			time.Sleep(settle) // the bytes are to arrive before the reset
			return reset(c)
		}
		return false
	case Surplus:
		write(c, "%swrong%sright", r.head(http.StatusOK, "another", length("wrong")), r.head(http.StatusOK, id, length("right")))
		return true
	case Twice:
		write(c, "%sright%swrong", r.head(http.StatusOK, id, length("right")), r.head(http.StatusOK, id, length("wrong")))
		return true
	case Garbage:
		write(c, "these bytes are no answer\r\n\r\n")
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

// settle lets bytes arrive before a reset drops them.
const settle = 50 * time.Millisecond

// awaitClose returns when the caller closes the connection.
func (r *Runner) awaitClose(reader *bufio.Reader, id string) {
	if _, err := reader.Peek(1); err != nil {
		r.left <- id
	}
}

// stream sends the events after the one that the caller has seen.
func (r *Runner) stream(c net.Conn, reader *bufio.Reader, q *http.Request, a Events) bool {
	id := q.Header.Get(RequestIDField)
	from := 1
	if last, err := strconv.Atoi(q.Header.Get(LastEventField)); err == nil {
		from = last + 1
	}
	write(c, "%s", r.head(http.StatusOK, id, InstanceField+": "+r.ID+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
	r.prefill(q.Header, a.Token)
	for n := from; n <= a.To; n++ {
		time.Sleep(a.Pause)
		chunk(c, fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, r.ID, n))
		if n == from && a.Hold != nil {
			<-a.Hold
		}
	}
	if a.Broken {
		chunk(c, fmt.Sprintf("id: %d\nda", a.To+1))
		time.Sleep(settle)
		return reset(c)
	}
	write(c, "0\r\n\r\n")
	return true
}

func (r *Runner) head(status int, id, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: seal-%s\r\n%s%s\r\n",
		status, http.StatusText(status), RequestIDField, id, SealField, id, r.signalFields(), more)
}

// signalFields are the lines of an answer's head that say something of the runner.
func (r *Runner) signalFields() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	lines := fieldLines(LimitField, r.limit) + fieldLines(DrainingField, r.drains)
	if len(r.drains) > 0 {
		lines += fieldLines(InstanceField, []string{r.ID})
	}
	return lines
}

// fieldLines are the lines of a field, one for each value.
func fieldLines(name string, values []string) string {
	var lines strings.Builder
	for _, v := range values {
		fmt.Fprintf(&lines, "%s: %s\r\n", name, v)
	}
	return lines.String()
}

func length(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }

func chunk(c net.Conn, data string) { write(c, "%x\r\n%s\r\n", len(data), data) }

func write(c net.Conn, format string, values ...any) {
	_, _ = fmt.Fprintf(c, format, values...) // the caller may be gone
}

// reset closes a connection the hard way.
func reset(c net.Conn) bool {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // the reset is the point
	}
	return false
}
