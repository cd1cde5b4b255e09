package directory

import (
	"context"
	"time"
)

// Role is what a process does to learn of changes of the store. Package peers
// decides it.
type Role int

// The roles. Few processes read the store, whose calls are counted; the others are
// told by them.
const (
	Reader   Role = iota // reads the store
	Standby              // reads it in place of readers that it does not answer, seldom while it fails
	Follower             // does not read it
	Starter              // reads it once, since nobody has told it anything yet
)

// String returns the role's name for the log.
func (r Role) String() string {
	switch r {
	case Reader:
		return "reader"
	case Standby:
		return "standby"
	case Starter:
		return "starter"
	default:
		return "follower"
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
	log.With("role", r.String()).Info("The role towards the store changed.")
	close(d.roleChanged)
	d.roleChanged = make(chan struct{})
}

// Role returns what the process does.
func (d *Directory) Role() Role {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.role
}

// watchRole returns what the process does, and a channel that is closed when that
// changes.
func (d *Directory) watchRole() (Role, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.role, d.roleChanged
}

// ReadsStore tells whether the process follows the store.
func (d *Directory) ReadsStore() bool {
	role := d.Role()
	return role == Reader || role == Standby
}

// awaitRole waits while the process is a follower, or a starter that has read what there
// is, until its role changes or ctx is done. It returns false at once if the process is to
// read the store.
func (d *Directory) awaitRole(ctx context.Context, hasRead bool) (waited bool) {
	role, changed := d.watchRole()
	if role != Follower && (role != Starter || !hasRead) {
		return false
	}
	select {
	case <-ctx.Done():
	case <-changed:
	}
	return true
}

// maxDelay returns the longest delay between calls that fail.
func (r Role) maxDelay() time.Duration {
	if r == Standby {
		return maxStandbyRetryDelay
	}
	return maxRetryDelay
}
