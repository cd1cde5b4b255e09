package driver

import "slices"

// Evacuation is an operator's request to send no more requests to a data centre, or the end
// of such a request.
type Evacuation struct {
	DataCentre string
	Revision   uint64 // store revision
	Ended      bool   // the evacuation has ended
}

// Evacuations holds the data centres that are evacuated at a store revision. It is immutable.
// The zero value is older than any other.
type Evacuations struct {
	Revision    uint64
	DataCentres []string // sorted
}

// With returns the evacuations after one more change.
func (e Evacuations) With(c Evacuation) Evacuations {
	at, listed := slices.BinarySearch(e.DataCentres, c.DataCentre)
	next := Evacuations{Revision: c.Revision, DataCentres: e.DataCentres}
	switch {
	case c.Ended && listed:
		next.DataCentres = slices.Delete(slices.Clone(e.DataCentres), at, at+1)
	case !c.Ended && !listed:
		next.DataCentres = slices.Insert(slices.Clone(e.DataCentres), at, c.DataCentre)
	}
	return next
}

// Has reports whether a data centre is evacuated.
func (e Evacuations) Has(dataCentre string) bool {
	_, listed := slices.BinarySearch(e.DataCentres, dataCentre)
	return listed
}
