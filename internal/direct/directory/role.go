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
)

// String returns the role's name for the log.
func (r Role) String() string {
	switch r {
	case Reader:
		return "reader"
	case Standby:
		return "standby"
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

// ReadsStore tells whether the process reads the store.
func (d *Directory) ReadsStore() bool { return d.Role() != Follower }

// awaitRole waits while the process is a follower, until its role changes or ctx is
// done. It returns false at once if the process reads the store.
func (d *Directory) awaitRole(ctx context.Context) (waited bool) {
	role, changed := d.watchRole()
	if role != Follower {
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
