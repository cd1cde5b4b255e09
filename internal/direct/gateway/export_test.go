package gateway

import (
	"net/http"
	"time"

	"foxcross.dev/coord/result"
	"foxcross.dev/foxcross/internal/steady"
)

// Refusing reports whether new requests are refused near the end of a graceful shutdown.
func (g *Gateway) Refusing() bool { return g.refusing.Load() }

// RefuseNow starts the last phase of a graceful shutdown.
func (g *Gateway) RefuseNow() {
	g.lifecycle.Stop()
	g.refusing.Store(true)
}

// WriteFailure writes the response to a request that failed.
func WriteFailure(w http.ResponseWriter, f *result.Error) { writeFailure(w, f) }

// ReservedBodyBytes returns the number of bytes reserved for bodies.
func ReservedBodyBytes(g *Gateway) int64 { return g.bodyMemory.reserved() }

// ForgetStart lets an entry count as started long ago.
func ForgetStart(g *Gateway) { g.dispatcher.setShareStart(time.Time{}) }

// StartNow lets an entry count as just started.
func StartNow(g *Gateway) { g.dispatcher.setShareStart(steady.Now()) }

func (d *dispatcher) setShareStart(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shares.StartedAt = t
}
