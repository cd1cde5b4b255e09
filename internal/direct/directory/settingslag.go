package directory

import (
	"time"

	"foxcross.dev/foxcross/internal/steady"
)

// lag records newer settings of peers. Directory.mu guards it.
type lag struct {
	newest      uint64    // highest version announced by a peer
	since       time.Time // when a version newer than the active one was first announced
	outstanding int64     // remaining bytes of the current transfer
}

// SettingsLag is how far the settings of this process lag behind those of its peers.
type SettingsLag struct {
	Newest           uint64        // highest version announced by a peer, 0 if none is newer
	Duration         time.Duration // time since a newer version was first announced
	OutstandingBytes int64         // remaining bytes of the current transfer
}

// SettingsAnnounced records that a version is active at a peer.
func (d *Directory) SettingsAnnounced(version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	own := d.version()
	if version <= own {
		return
	}
	if d.lag.newest <= own {
		d.lag.since = steady.Now()
	}
	d.lag.newest = max(d.lag.newest, version)
}

// SetOutstandingBytes records the remaining bytes of a transfer of settings.
func (d *Directory) SetOutstandingBytes(bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lag.outstanding = bytes
}

// SettingsLag returns how far the settings lag behind those of the peers. It returns the zero
// value if no peer has newer ones.
func (d *Directory) SettingsLag() SettingsLag {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lag.newest <= d.version() {
		return SettingsLag{}
	}
	return SettingsLag{Newest: d.lag.newest, Duration: steady.Since(d.lag.since), OutstandingBytes: d.lag.outstanding}
}
