package platformtest

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Reports is a server that accepts reports of usage, as the platform does. Create it with NewReports.
type Reports struct {
	server      *httptest.Server
	checksFence bool

	mu           sync.Mutex
	highestFence uint64 // highest received
	received     []Report
	fault        Fault
}

// Report is one report of usage that reached the platform.
type Report struct {
	Holder  string
	Fence   uint64
	Window  int64
	Counts  map[string]int64
	At      time.Time
	Refused bool // a higher fence had been received
}

// NewReports starts a server for reports on a free port of the loopback address. If checksFence is
// set, it refuses calls with a lower fence than the highest received.
func NewReports(checksFence bool) *Reports {
	p := &Reports{checksFence: checksFence}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /usage", p.serve)
	p.server = httptest.NewServer(mux)
	return p
}

// Address returns the address of the server.
func (p *Reports) Address() string { return p.server.Listener.Addr().String() }

// Close stops the server.
func (p *Reports) Close() {
	p.server.CloseClientConnections()
	p.server.Close()
}

// SetFault makes the server fail, or work again for NoFault.
func (p *Reports) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// Received returns the reports that were received, in order.
func (p *Reports) Received() []Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.received)
}

func (p *Reports) serve(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Window int64            `json:"windowId"`
		Counts map[string]int64 `json:"counts"`
	}
	fence, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	data, unread := io.ReadAll(r.Body) // the end of a caller's connection is noticed only after the whole body
	if err != nil || unread != nil || json.Unmarshal(data, &body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	fault := p.fault
	p.mu.Unlock()
	switch fault {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case TooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case Silent:
		<-r.Context().Done() // the report is recorded all the same
	}
	x := p.record(Report{Holder: r.Header.Get("X-Duty-Holder"), Fence: fence, Window: body.Window, Counts: body.Counts})
	switch {
	case fault == Reset:
		abort(w) // the report is recorded and the response is lost
	case x.Refused:
		w.WriteHeader(http.StatusConflict)
	}
}

// record records a report.
func (p *Reports) record(x Report) Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	x.At = time.Now()
	x.Refused = p.checksFence && x.Fence < p.highestFence
	p.highestFence = max(p.highestFence, x.Fence)
	p.received = append(p.received, x)
	return x
}
