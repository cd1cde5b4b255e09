package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the time between two writes of a runner's record.
const heartbeat = 1200 * time.Millisecond

// run is a request that a runner has begun.
type run struct {
	id, path, tenant, runner string
	at                       time.Time
}

// exchange is one request at a runner, as its hook sees it.
type exchange struct {
	number   int // of the request at this runner, from 1
	conn     net.Conn
	request  *http.Request
	body     []byte
	previous string // id of the last request that was answered on the connection, empty for none
}

// runner is a stand-in for a runner of a plain service. It answers as PROTOCOL.md says: 421 for
// another instance, 400 without an id, else 200 with the id, a seal and a body of its own.
type runner struct {
	id, service, zone string
	slots             int
	work              time.Duration
	log               *record
	listener          net.Listener

	// fault is called before a request runs. It may write to the connection, and returns false if
	// the connection is over.
	fault func(x *exchange) bool

	mu      sync.Mutex
	count   int
	runs    []run
	reached []run // requests that arrived, run or not
	conns   map[net.Conn]bool
	closed  bool
}

func startRunner(log *record, address, id, service, zone string, work time.Duration) (*runner, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, service: service, zone: zone, slots: 6, work: work, log: log, listener: l, conns: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

func (r *runner) address() string { return r.listener.Addr().String() }

// record returns the runner's entry in the store.
func (r *runner) record(state string) map[string]any {
	return map[string]any{
		"backend": r.service, "address": r.address(), "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": state, "warmupLeftMs": 0, "seq": 1,
	}
}

// enter writes the runner's entry.
func (r *runner) enter(s *store, state string) time.Time {
	return s.put("servers/"+r.id, r.record(state))
}

func (r *runner) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		over := r.closed
		r.mu.Unlock()
		if over {
			_ = c.Close()
			return
		}
		go r.serve(c)
	}
}

// close ends the runner.
func (r *runner) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *runner) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	previous := ""
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second)) // as Keep-Alive says
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		id := q.Header.Get("X-Attempt-Id")
		switch {
		case q.URL.Path == "/healthz":
			respond(c, 200, "OK", "X-Instance-Id: "+r.id+"\r\n", "")
			continue
		case id == "":
			respond(c, 400, "Bad Request", "X-Not-Executed: 1\r\n", "")
			continue
		}
		target := q.Header.Get("X-Target-Instance")
		if target != "" && target != r.id {
			respond(c, 421, "Misdirected Request", "X-Instance-Id: "+r.id+"\r\n", "")
			continue
		}
		r.mu.Lock()
		r.count++
		x := &exchange{number: r.count, conn: c, request: q, body: body, previous: previous}
		fault := r.fault
		r.reached = append(r.reached, run{id: id, path: q.URL.Path, tenant: q.Header.Get("X-Tenant"), runner: r.id, at: time.Now()})
		r.mu.Unlock()
		if fault != nil && !fault(x) {
			return
		}
		r.begin(x)
		time.Sleep(r.work)
		if _, err := respond(c, 200, "OK", "X-Attempt-Id: "+id+"\r\nX-Response-Seal: seal."+id+"\r\nContent-Type: text/plain\r\nKeep-Alive: timeout=10\r\n", r.answer(id)); err != nil {
			return
		}
		previous = id
	}
}

// answer returns the body that the runner makes for a request.
func (r *runner) answer(id string) string { return "answer to " + id + " by " + r.id + "\n" }

// begin records that a request runs.
func (r *runner) begin(x *exchange) {
	u := run{id: x.request.Header.Get("X-Attempt-Id"), path: x.request.URL.Path, tenant: x.request.Header.Get("X-Tenant"), runner: r.id, at: time.Now()}
	r.mu.Lock()
	r.runs = append(r.runs, u)
	r.mu.Unlock()
	r.log.printf("%s runs %s %s for tenant %q", r.id, u.id, u.path, u.tenant)
}

// respond writes an answer.
func respond(c net.Conn, status int, text, head, body string) (int, error) {
	return fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %s\r\n\r\n%s", status, text, head, strconv.Itoa(len(body)), body)
}

// runsOf returns the requests that the runners have begun, by id.
func runsOf(all ...*runner) map[string][]run {
	by := map[string][]run{}
	for _, r := range all {
		r.mu.Lock()
		for _, u := range r.runs {
			by[u.id] = append(by[u.id], u)
		}
		r.mu.Unlock()
	}
	return by
}
