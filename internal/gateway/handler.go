package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/lifecycle"
	"foxcross.dev/foxcross/internal/logs"
)

// Header fields of answers that the gateway gives itself.
const (
	codeField = "X-Foxcross-Code"
	runField  = "X-Foxcross-Run"
)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.count(1)
	defer g.count(-1)
	if g.Draining() {
		w.Header().Set("Connection", "close")
	}
	c, failure := g.accept(w, r)
	begun := false
	if failure == nil {
		ctx, cancel := c.bounded()
		defer cancel()
		g.mu.Lock()
		g.budget(c.service).Request(c.received)
		g.mu.Unlock()
		failure, begun = g.forward(ctx, w, c)
	}
	g.report(c, failure)
	if failure == nil {
		return
	}
	if begun || failure.Code == result.Cancelled {
		panic(http.ErrAbortHandler) // the caller must not take the answer for whole
	}
	writeFailure(w, failure)
}

// writeFailure answers with a code of the gateway's own.
func writeFailure(w http.ResponseWriter, f *result.Error) {
	h := w.Header()
	e := f.Code.Entry()
	h.Set("Content-Type", "application/json")
	h.Set(codeField, strconv.Itoa(int(f.Code)))
	h.Set(runField, f.Run.String())
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', -1, 64))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(failureBody{ // the caller may be gone
		Code: f.Code, Type: e.Name, Message: e.Text, Run: f.Run.String(),
	})
}

type failureBody struct {
	Code    result.Code `json:"code"`
	Type    string      `json:"type"`
	Message string      `json:"message"`
	Run     string      `json:"run"`
}

// count keeps the number of open requests.
func (g *Gateway) count(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open += n
	if g.open == 0 {
		select {
		case g.onIdle <- struct{}{}:
		default:
		}
	}
}

// Ready tells whether the balancer may send requests here.
func (g *Gateway) Ready() bool {
	if g.directory.Known() {
		g.life.Ready()
	}
	return g.life.State() == lifecycle.Serving
}

// Run keeps the gateway's connections until ctx is done.
func (g *Gateway) Run(ctx context.Context) { g.pool.Run(ctx) }

// Draining tells whether the process is stopping.
func (g *Gateway) Draining() bool { return g.life.State() == lifecycle.Draining }

// report writes the line that explains what became of a call.
func (g *Gateway) report(c *call, f *result.Error) {
	code := result.OK
	fields := logs.Fields{
		"request":  c.id,
		"class":    c.class.Name,
		"team":     c.team,
		"service":  c.service,
		"priority": c.job.Priority,
		"total_ms": time.Since(c.received).Milliseconds(),
	}
	if f != nil {
		code = f.Code
		fields["reason"] = f.Reason
		fields["run"] = f.Run.String()
	}
	fields["code"] = int(code)
	fields["result"] = code.Entry().Name
	if !c.first.IsZero() {
		fields["first_ms"] = c.first.Sub(c.received).Milliseconds()
	}
	if c.pause > 0 {
		fields["pause_ms"] = c.pause.Milliseconds()
	}
	if len(c.sends) > 0 {
		fields["sends"] = c.sends
	}
	log.Event("A request ended.", fields)
	g.options.Metrics.Tagged(map[string]string{"class": c.class.Name, "result": code.Entry().Name}).Counter("requests").Inc(1)
}

// MarshalJSON returns a send for the log, with the estimates that decided it.
func (s send) MarshalJSON() ([]byte, error) {
	c := s.choice
	return json.Marshal(struct {
		Endpoint string          `json:"endpoint"`
		Cost     float64         `json:"cost"`
		Terms    placement.Terms `json:"terms"`
		WaitMS   float64         `json:"expected_wait_ms"`
		FirstMS  float64         `json:"expected_first_ms"`
		Uncached int             `json:"uncached"`
		Again    int             `json:"read_again"`
		Long     bool            `json:"long"`
		Pool     int             `json:"pool"`
		Factor   float64         `json:"factor"`
		Outcome  string          `json:"outcome"`
	}{
		c.Endpoint.ID, round(c.Cost), rounded(c.Terms), round(c.WaitMS), round(c.FirstMS),
		c.Uncached, c.Again, c.Long, c.Pool, round(c.Factor), s.outcome,
	})
}

func rounded(t placement.Terms) placement.Terms {
	return placement.Terms{
		Late: round(t.Late), Harm: round(t.Harm), Again: round(t.Again), Crowding: round(t.Crowding),
		Pool: round(t.Pool), Trouble: round(t.Trouble), Distance: round(t.Distance),
	}
}

const thousandth = 1000

func round(v float64) float64 { return float64(int64(v*thousandth)) / thousandth }
