package gateway

import (
	"math"
	"sync"
)

// pauseCounter turns chances into whole pauses for a counter. The zero value works.
type pauseCounter struct {
	mu       sync.Mutex
	fraction float64
}

// add adds a chance and returns the whole pauses by which the counter grows.
func (p *pauseCounter) add(chance float64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	whole, fraction := math.Modf(p.fraction + chance)
	p.fraction = fraction
	return int64(whole)
}

// countPause counts the pause foreseen for a stream and the one seen.
func (g *Gateway) countPause(a *attempt) {
	if !a.pauseCounted {
		return
	}
	g.options.Metrics.Counter("pauses_foreseen").Inc(g.foreseenPauses.add(a.choice.PauseChance))
	if a.paused {
		g.options.Metrics.Counter("pauses_missed").Inc(1)
	}
}
