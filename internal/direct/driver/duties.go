package driver

import (
	"context"
	"errors"
	"time"
)

// Duties are the calls to the platform that one process makes at a time, and their bounds.
type Duties struct {
	Address      string        // to which they are sent, empty where there are none
	Usage        bool          // the usage of teams is reported
	UsageWindow  time.Duration // length of the windows of usage
	Alternate    time.Duration // two holders must not act in turns within so long
	Thaw         time.Duration // what a process sends by mistake so long after it stood still is excused
	MinLeaseTime time.Duration // for which the store grants a lease
}

// Record is one value that the system keeps in the store.
type Record struct {
	Key      string
	Value    []byte
	Revision uint64 // of its last change
	Lease    string // with which it goes, empty for none
}

// Condition is that a record is at a revision, 0 for that there is none.
type Condition struct {
	Key      string
	Revision uint64
}

// Update changes records all at once, or none of them if a condition does not hold.
type Update struct {
	Conditions []Condition
	Put        []Record // their revisions are not looked at
	Remove     []string // keys
}

// ErrConflict means that a condition of an update did not hold: nothing was changed.
var ErrConflict = errors.New("driver: a condition of the update does not hold")

// Records is the part of the store that the system writes to. Its errors are ErrConflict
// and those of package storeerr. A call that failed with storeerr.ErrUnavailable may have
// taken effect, or may do so later while its conditions hold.
type Records interface {
	// Read returns a record; storeerr.ErrNotFound if there is none.
	Read(ctx context.Context, key string) (Record, error)
	// List returns the records whose keys begin with the prefix.
	List(ctx context.Context, prefix string) ([]Record, error)
	// Update makes an update and returns the revision at which it was made.
	Update(ctx context.Context, u Update) (revision uint64, err error)
	// Grant returns the name of a new lease, which runs from when the call arrives.
	Grant(ctx context.Context, ttl time.Duration) (lease string, err error)
	// Renew renews a lease; storeerr.ErrNotFound if it is over.
	Renew(ctx context.Context, lease string) error
	// End ends a lease and takes out what goes with it.
	End(ctx context.Context, lease string) error
}

// Errors of a Reporter. Any other one means that the call may have taken effect, or may do
// so later.
var (
	// ErrFenced means that the platform has seen a higher fence.
	ErrFenced = errors.New("driver: the platform has seen a higher fence")
	// ErrTooMany means that the platform takes no more such calls for now.
	ErrTooMany = errors.New("driver: the platform takes no more calls for now")
	// ErrNotHeld means that the duties were not held any more right before the call was
	// written: nothing was sent, or half of a call at the most.
	ErrNotHeld = errors.New("driver: the duties are not held any more")
)

// Holder is who holds the duties.
type Holder struct {
	Name  string // of the process
	Fence uint64 // rises whenever the holder changes
	// MayAct tells whether the duties are still held. It is asked right before a call is
	// written, since a connection may take its time.
	MayAct func() bool
}

// Reporter makes the calls of the duties.
type Reporter interface {
	// ReportUsage reports how many requests of each team began to run in a window. The same
	// report may be made again.
	ReportUsage(ctx context.Context, h Holder, window int64, counts map[string]int64) error
}
