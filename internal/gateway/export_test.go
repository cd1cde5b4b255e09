package gateway

// Refusing tells whether new requests are refused near the end of a stop.
func (g *Gateway) Refusing() bool { return g.refuse.Load() }

// RefuseNow brings the gateway to the last part of a stop.
func (g *Gateway) RefuseNow() {
	g.life.Stop()
	g.refuse.Store(true)
}
