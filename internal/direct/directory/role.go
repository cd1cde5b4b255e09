package directory

import (
	"context"
	"time"

	"foxcross.dev/foxcross/internal/workers"
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
	workers.Signal(d.roleChanged)
}

// Role returns what the process does.
func (d *Directory) Role() Role {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.role
}

// ReadsStore tells whether the process reads the store.
func (d *Directory) ReadsStore() bool { return d.Role() != Follower }

// awaitRole waits while the process is a follower, until its role changes or ctx is
// done. It returns false at once if the process reads the store.
func (d *Directory) awaitRole(ctx context.Context) (waited bool) {
	if d.ReadsStore() {
		return false
	}
	select {
	case <-ctx.Done():
	case <-d.roleChanged:
	}
	return true
}

// maxRetryDelay returns the longest delay between calls that fail.
func (d *Directory) maxRetryDelay() time.Duration {
	if d.Role() == Standby {
		return maxStandbyRetryDelay
	}
	return maxRetryDelay
}
