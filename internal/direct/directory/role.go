package directory

import (
	"context"
	"time"
)

// Role is what a process does to learn of changes.
type Role int

// The roles. Few processes ask the source, whose calls are counted; the others
// are told by them.
const (
	Sentinel   Role = iota // asks the source
	Substitute             // asks it in the place of sentinels that it does not answer, seldom while it fails
	Relaxed                // does not ask it
)

// String returns the role's name.
func (r Role) String() string {
	switch r {
	case Sentinel:
		return "sentinel"
	case Substitute:
		return "substitute"
	default:
		return "relaxed"
	}
}

// SetRole tells the process what to do.
func (d *Directory) SetRole(r Role) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.role == r {
		return
	}
	d.role = r
	log.With("role", r.String()).Info("The role changed.")
	select {
	case d.roleChanged <- struct{}{}:
	default:
	}
}

// Role returns what the process does.
func (d *Directory) Role() Role {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.role
}

// Asking tells whether the process asks the source.
func (d *Directory) Asking() bool { return d.Role() != Relaxed }

// rests waits while the process is relaxed, until its role changes or ctx is
// done. It returns false at once if the process asks the source.
func (d *Directory) rests(ctx context.Context) bool {
	if d.Asking() {
		return false
	}
	select {
	case <-ctx.Done():
	case <-d.roleChanged:
	}
	return true
}

// reached returns the revision from which changes are to be asked for, given the
// one that the source was last asked from: other processes may have told more.
func (d *Directory) reached(asked uint64) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(asked, d.revision)
}

// maxPause returns the longest pause between calls that fail.
func (d *Directory) maxPause() time.Duration {
	if d.Role() == Substitute {
		return slowRetry
	}
	return longRetry
}
