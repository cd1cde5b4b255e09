package directory

import "foxcross.dev/foxcross/internal/direct/driver"

// maxChanges bounds the changes that are kept.
const maxChanges = 256

// endpointHistory holds the latest changes of the endpoint list, for peers that lack only
// these. The zero value is empty.
type endpointHistory struct {
	from uint64          // revision after which all changes are kept
	list []driver.Change // oldest first
}

// reset drops all changes: the list has been replaced at a revision.
func (h *endpointHistory) reset(revision uint64) {
	h.from = revision
	h.list = nil
}

func (h *endpointHistory) add(c driver.Change) {
	h.list = append(h.list, c)
	if len(h.list) > maxChanges {
		h.from = h.list[0].Revision
		h.list = h.list[1:]
	}
}

// since returns the merged changes after a revision. It returns false if some of them are no
// longer kept.
func (h *endpointHistory) since(revision, now uint64) (driver.Change, bool) {
	if revision < h.from {
		return driver.Change{}, false
	}
	all := driver.Change{Revision: now}
	for _, c := range h.list {
		if c.Revision <= revision {
			continue
		}
		for _, e := range c.Changed {
			all.Put(e)
		}
		for _, id := range c.Gone {
			all.Remove(id)
		}
	}
	return all, true
}
