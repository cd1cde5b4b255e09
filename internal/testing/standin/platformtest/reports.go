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

// Reports takes the reports of usage, as the platform does. Create it with NewReports.
type Reports struct {
	server *httptest.Server
	fences bool

	mu    sync.Mutex
	fence uint64 // the highest that was seen
	taken []Report
	fault Fault
}

// Report is one report of usage that reached the platform.
type Report struct {
	Holder  string
	Fence   uint64
	Window  int64
	Counts  map[string]int64
	At      time.Time
	Refused bool // a higher fence had been seen
}

// NewReports starts what takes reports on a free port of the loopback address. One that
// fences refuses calls with a lower fence than it has seen.
func NewReports(fences bool) *Reports {
	p := &Reports{fences: fences}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /usage", p.serve)
	p.server = httptest.NewServer(mux)
	return p
}

// Address returns where reports are taken.
func (p *Reports) Address() string { return p.server.Listener.Addr().String() }

// Close ends it.
func (p *Reports) Close() {
	p.server.CloseClientConnections()
	p.server.Close()
}

// SetFault makes it fail, or sound again.
func (p *Reports) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// Taken returns what has come, in order.
func (p *Reports) Taken() []Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.taken)
}

func (p *Reports) serve(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Window int64            `json:"windowId"`
		Counts map[string]int64 `json:"counts"`
	}
	fence, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	data, unread := io.ReadAll(r.Body) // whole: only then is it noticed that a caller has left
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
	case Many:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case Silent:
		<-r.Context().Done() // it may be carried out all the same
	}
	x := p.take(Report{Holder: r.Header.Get("X-Duty-Holder"), Fence: fence, Window: body.Window, Counts: body.Counts})
	switch {
	case fault == Reset:
		abort(w) // carried out, and the answer is lost
	case x.Refused:
		w.WriteHeader(http.StatusConflict)
	}
}

// take carries out a report.
func (p *Reports) take(x Report) Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	x.At = time.Now()
	x.Refused = p.fences && x.Fence < p.fence
	p.fence = max(p.fence, x.Fence)
	p.taken = append(p.taken, x)
	return x
}
