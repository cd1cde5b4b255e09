package soak

import (
	"context"
	"slices"
	"sync"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// paces are the longest times between two faults, one of which a run takes.
var paces = []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond}

// faults returns the faults that the options let strike.
func (o Options) faults() []fault {
	if len(o.Only) == 0 {
		return faults
	}
	var chosen []fault
	for _, f := range faults {
		if slices.Contains(o.Only, f.name) {
			chosen = append(chosen, f)
		}
	}
	return chosen
}

// planned tells whether only planned work strikes.
func (o Options) planned() bool {
	return !slices.ContainsFunc(o.faults(), func(f fault) bool { return !f.planned })
}

// strike lets faults come at random until the time is over and waits for their
// ends.
func (d *deployment) strike(ctx context.Context) {
	var open sync.WaitGroup
	defer open.Wait()
	end := time.Now().Add(d.options.Duration)
	chosen := d.options.faults()
	pace := paces[d.random.IntN(len(paces))]
	for time.Now().Before(end) && ctx.Err() == nil {
		d.mu.Lock()
		f := chosen[d.random.IntN(len(chosen))]
		amount := d.random.Float64()
		rest := time.Duration(d.random.Int64N(int64(pace)))
		d.faults[f.name]++
		d.mu.Unlock()
		open.Go(func() { f.apply(d, amount) })
		time.Sleep(rest)
	}
}

// calm ends what no fault ends by itself.
func (d *deployment) calm() {
	d.store.SetFault(platformtest.Sound)
	for range d.options.Endpoints {
		if d.pick(d.options.Endpoints) == nil {
			d.addEndpoint()
		}
	}
	d.configure()
}
