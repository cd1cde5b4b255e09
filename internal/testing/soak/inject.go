package soak

import (
	"context"
	"slices"
	"sync"
	"time"

	"foxcross.dev/foxcross/internal/testing/standin/platformtest"
)

// maxPauses are the longest times between two faults. A run selects one of them.
var maxPauses = []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond}

// chosenFaults returns the faults that the options select.
func (o Options) chosenFaults() []fault {
	if len(o.Only) == 0 {
		return allFaults
	}
	var chosen []fault
	for _, f := range allFaults {
		if slices.Contains(o.Only, f.name) {
			chosen = append(chosen, f)
		}
	}
	return chosen
}

// plannedOnly reports whether the options select only planned work.
func (o Options) plannedOnly() bool {
	return !slices.ContainsFunc(o.chosenFaults(), func(f fault) bool { return !f.planned })
}

// injectFaults injects random faults for the duration of the run and waits until they are over.
func (d *deployment) injectFaults(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	end := time.Now().Add(d.options.Duration)
	chosen := d.options.chosenFaults()
	maxPause := maxPauses[d.random.IntN(len(maxPauses))]
	for time.Now().Before(end) && ctx.Err() == nil {
		d.mu.Lock()
		f := chosen[d.random.IntN(len(chosen))]
		amount := d.random.Float64()
		pause := time.Duration(d.random.Int64N(int64(maxPause)))
		d.faultCounts[f.name]++
		d.mu.Unlock()
		running.Go(func() { f.inject(d, amount) })
		time.Sleep(pause)
	}
}

// clearFaults restores the store, the endpoints and the settings after the faults.
func (d *deployment) clearFaults() {
	d.store.SetFault(platformtest.NoFault)
	for range d.options.Endpoints {
		if d.pickEndpoint(d.options.Endpoints) == nil {
			d.addEndpoint()
		}
	}
	d.configure()
}
