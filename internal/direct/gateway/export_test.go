package gateway

import (
	"net/http"

	"foxcross.dev/coord/result"
)

// Refusing tells whether new requests are refused near the end of a stop.
func (g *Gateway) Refusing() bool { return g.refusing.Load() }

// RefuseNow brings the gateway to the last part of a stop.
func (g *Gateway) RefuseNow() {
	g.life.Stop()
	g.refusing.Store(true)
}

// WriteFailure writes the answer to a request that failed.
func WriteFailure(w http.ResponseWriter, f *result.Error) { writeFailure(w, f) }

// HeldBodies returns the bytes of bodies that a gateway holds.
func HeldBodies(g *Gateway) int64 { return g.bodyMemory.reserved() }
