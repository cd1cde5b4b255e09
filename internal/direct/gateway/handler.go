package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/direct/record"
	"foxcross.dev/foxcross/internal/failure"
	"foxcross.dev/foxcross/internal/lifecycle"
	"foxcross.dev/foxcross/internal/logs"
	"foxcross.dev/foxcross/internal/workers"

	"github.com/uber-go/tally/v4"
)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.count(1)
	defer g.count(-1)
	if g.Draining() {
		w.Header().Set("Connection", "close")
	}
	c, failed := g.accept(w, r)
	defer g.release(c)
	begun := false
	if failed == nil {
		ctx, cancel := c.bounded()
		defer cancel()
		g.mu.Lock()
		g.budget(c.service).Request(c.received)
		g.mu.Unlock()
		failed, begun = g.forward(ctx, w, c)
	}
	g.report(c, failed)
	if failed == nil {
		return
	}
	if begun || failed.Code == result.Cancelled {
		panic(http.ErrAbortHandler) // the caller must not take the answer for whole
	}
	writeFailure(w, failed)
}

// writeFailure answers with a code of the gateway's own. Callers take fractions
// of seconds.
func writeFailure(w http.ResponseWriter, f *result.Error) {
	retry := ""
	if f.RetryAfter > 0 {
		retry = strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', -1, 64)
	}
	failure.Write(w, f, retry)
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

// expireEvery is how often requests of other entries are looked through for
// those whose time is over.
const expireEvery = time.Second

// Run keeps the gateway's connections and its view of other entries' requests
// until ctx is done.
func (g *Gateway) Run(ctx context.Context) {
	go workers.Every(ctx, expireEvery, func(now time.Time) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.table.Expire(now)
	})
	g.pool.Run(ctx)
}

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
		fields["sends"] = c.records()
	}
	log.Event("A request ended.", fields)
	g.measure(c, code)
}

// records returns the sends of a call for the log.
func (c *call) records() []record.Send {
	all := make([]record.Send, 0, len(c.sends))
	for _, s := range c.sends {
		all = append(all, record.SendOf(s.choice, s.outcome))
	}
	return all
}

// buckets of the times that are measured, in seconds.
var buckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)

// measure counts an ended call.
func (g *Gateway) measure(c *call, code result.Code) {
	scope := g.options.Metrics.Tagged(map[string]string{"class": c.class.Name, "result": code.Entry().Name})
	scope.Counter("requests").Inc(1)
	scope.Counter("sends").Inc(int64(len(c.sends)))
	scope.Histogram("total_seconds", buckets).RecordDuration(time.Since(c.received))
	if !c.first.IsZero() {
		scope.Histogram("first_seconds", buckets).RecordDuration(c.first.Sub(c.received))
	}
}
