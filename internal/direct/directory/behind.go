package directory

import (
	"time"

	"foxcross.dev/foxcross/internal/steady"
)

// behind is what other entries have told of newer settings. Directory.mu guards it.
type behind struct {
	newest      uint64    // version that some entry has in force
	since       time.Time // when the first that this entry lacks was told
	outstanding int64     // bytes of the transfer under way that have not come
}

// Behind is how far the settings of this entry are behind others'.
type Behind struct {
	Newest      uint64        // version that some entry has in force, 0 if none is newer
	For         time.Duration // since a newer one was first told
	Outstanding int64         // bytes of the transfer under way that have not come
}

// SettingsTold records that another entry has a version in force.
func (d *Directory) SettingsTold(version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	own := d.version()
	if version <= own {
		return
	}
	if d.behind.newest <= own {
		d.behind.since = steady.Now()
	}
	d.behind.newest = max(d.behind.newest, version)
}

// SetOutstanding records how many bytes of a transfer of settings have not come.
func (d *Directory) SetOutstanding(bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.behind.outstanding = bytes
}

// Behind tells whether other entries have newer settings, since when, and what is
// outstanding.
func (d *Directory) Behind() Behind {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.behind.newest <= d.version() {
		return Behind{}
	}
	return Behind{Newest: d.behind.newest, For: steady.Since(d.behind.since), Outstanding: d.behind.outstanding}
}
