package driver

import (
	"context"
	"errors"
	"time"
)

// Duties are the calls to the platform that only one process at a time makes, and their bounds.
type Duties struct {
	Address      string        // address of the calls, empty if there are none
	Usage        bool          // the usage of teams is reported
	UsageWindow  time.Duration // length of a usage window
	Alternate    time.Duration // time within which two holders must not make calls in turns
	Thaw         time.Duration // time after a suspension for which the platform tolerates stale calls of a process
	MinLeaseTime time.Duration // shortest lease that the store grants
}

// Record is a value that the system writes to the store.
type Record struct {
	Key       string
	Value     []byte
	Revision  uint64 // store revision of its last change
	LeaseName string // lease that the record is bound to, empty for none
}

// Condition requires a record to be at a revision. Revision 0 requires that it does not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Update changes records atomically. It changes none if a condition does not hold.
type Update struct {
	Conditions []Condition
	Put        []Record // their revisions are ignored
	Remove     []string // keys
}

// ErrConflict means that a condition of an update did not hold and nothing was changed.
var ErrConflict = errors.New("driver: a condition of the update does not hold")

// Records reads and writes the system's records in the store. Its errors are ErrConflict
// and those of package storeerr. A call that failed with storeerr.ErrUnavailable may have
// taken effect, or may do so later while its conditions hold.
type Records interface {
	// Read returns a record. It returns storeerr.ErrNotFound if there is none.
	Read(ctx context.Context, key string) (Record, error)
	// List returns the records whose keys begin with the prefix.
	List(ctx context.Context, prefix string) ([]Record, error)
	// Update applies an update and returns its store revision.
	Update(ctx context.Context, u Update) (revision uint64, err error)
	// Grant returns the name of a new lease. Its TTL starts when the call arrives.
	Grant(ctx context.Context, ttl time.Duration) (lease string, err error)
	// Renew renews a lease. It returns storeerr.ErrNotFound if the lease has ended.
	Renew(ctx context.Context, lease string) error
	// End ends a lease and removes the records that are bound to it.
	End(ctx context.Context, lease string) error
}

// Errors of a Reporter. After any other error the call may have taken effect, or may do so
// later.
var (
	// ErrFenced means that the platform has seen a higher fencing token.
	ErrFenced = errors.New("driver: the platform has seen a higher fencing token")
	// ErrRejected means that the platform temporarily rejects further calls of this kind.
	ErrRejected = errors.New("driver: the platform rejects further calls for now")
	// ErrNotHeld means that the duties were no longer held right before the call was written.
	// At most an incomplete call was sent.
	ErrNotHeld = errors.New("driver: the duties are no longer held")
)

// Holder identifies the process that holds the duties.
type Holder struct {
	Name  string // of the process
	Fence uint64 // fencing token, rises whenever the holder changes
	// MayAct reports whether the duties are still held. It is called right before a call is
	// written, since the connection may take long to establish.
	MayAct func() bool
}

// Reporter makes the calls of the duties.
type Reporter interface {
	// ReportUsage reports the number of requests of each team that endpoints began to run in a
	// window. It is idempotent.
	ReportUsage(ctx context.Context, h Holder, window int64, counts map[string]int64) error
}
