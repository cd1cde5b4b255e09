// Tracks the data centres that operators have evacuated.
//
// Rule: the state with the highest store revision applies, whether it comes from the store's
// list, its changes, or a peer. It stays while the store is unavailable.
// Inputs: lists and changes with their revisions.
// Never: an older state replaces a newer one; a change that is not after the state's revision
// is applied again.

package directory

import (
	"slices"

	"foxcross.dev/foxcross/internal/direct/driver"
)

// Evacuations returns the evacuated data centres. It acquires no lock.
func (d *Directory) Evacuations() driver.Evacuations {
	if e := d.evacuations.Load(); e != nil {
		return *e
	}
	return driver.Evacuations{}
}

// ApplyEvacuations replaces the evacuations unless the current ones are at least as new.
func (d *Directory) ApplyEvacuations(e driver.Evacuations, source string) {
	if e.Revision <= d.Evacuations().Revision {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setEvacuations(e, source)
}

// applyEvacuationChanges applies the changes that a watch returned up to a revision.
func (d *Directory) applyEvacuationChanges(changes []driver.Evacuation, upTo uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := d.Evacuations()
	for _, c := range changes {
		if c.Revision > next.Revision {
			next = next.With(c)
		}
	}
	next.Revision = max(next.Revision, upTo)
	d.setEvacuations(next, "watch")
}

// setEvacuations replaces the evacuations unless the current ones are at least as new. d.mu is held.
func (d *Directory) setEvacuations(e driver.Evacuations, source string) {
	before := d.Evacuations()
	if e.Revision <= before.Revision {
		return
	}
	d.evacuations.Store(&e)
	if slices.Equal(before.DataCentres, e.DataCentres) {
		return
	}
	log.With("data_centres", e.DataCentres).With("revision", e.Revision).With("from", source).Info("The evacuated data centres changed.")
	d.onEvacuations(e.DataCentres)
}
