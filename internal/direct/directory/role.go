package directory

import (
	"context"
	"time"
)

// Role determines whether a process reads the store. Package peers chooses it.
type Role int

// The roles. Each call to the store has a price, so few processes read it and send its
// changes to the others.
const (
	Reader   Role = iota // reads the store
	Standby              // reads it in place of readers without responses; retries less often
	Follower             // does not read it
	Starter              // reads it once, since no peer has sent the state yet
)

// String returns the name of the role for the log.
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

// SetRole sets the role of the process.
func (d *Directory) SetRole(r Role) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.role == r {
		return
	}
	d.role = r
	log.With("role", r.String()).Info("The role for reading the store changed.")
	close(d.roleChanged)
	d.roleChanged = make(chan struct{})
}

// Role returns the role of the process.
func (d *Directory) Role() Role {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.role
}

// watchRole returns the role and a channel that is closed when it changes.
func (d *Directory) watchRole() (Role, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.role, d.roleChanged
}

// ReadsStore reports whether the process keeps reading the store.
func (d *Directory) ReadsStore() bool {
	role := d.Role()
	return role == Reader || role == Standby
}

// awaitRole waits until the role changes or ctx is done, if the process is a follower or a
// starter that has read the full state. Otherwise the process has to read the store, and
// awaitRole returns false at once.
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

// maxDelay returns the longest retry delay of the role.
func (r Role) maxDelay() time.Duration {
	if r == Standby {
		return maxStandbyRetryDelay
	}
	return maxRetryDelay
}
