package directory

import "foxcross.dev/foxcross/internal/direct/driver"

// maxRecent bounds the remembered changes.
const maxRecent = 256

// recent are the last changes of the list, for processes that lack only these.
// The zero value knows none.
type recent struct {
	from    uint64          // the revision after which all changes are known
	changes []driver.Change // the oldest first
}

// reset forgets all: the whole list has been read at a revision.
func (r *recent) reset(revision uint64) {
	r.from = revision
	r.changes = nil
}

func (r *recent) add(c driver.Change) {
	c.Settings = nil
	r.changes = append(r.changes, c)
	if len(r.changes) > maxRecent {
		r.from = r.changes[0].Revision
		r.changes = r.changes[1:]
	}
}

// since returns the changes after a revision as one; false where some of them
// are not known.
func (r *recent) since(revision, now uint64) (driver.Change, bool) {
	if revision < r.from {
		return driver.Change{}, false
	}
	all := driver.Change{Revision: now}
	for _, c := range r.changes {
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
