package gateway

import (
	"net/http"

	"foxcross.dev/coord/result"
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
