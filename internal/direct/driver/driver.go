// Package driver is the interface between the direct way and a platform: the settings
// of a process, the platform's store and the names of header fields. Drivers of real
// platforms register themselves; a program chooses its drivers by importing them.
package driver

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/kernel"
)

// ErrHistoryGone means that the store no longer knows the changes since a
// revision: all has to be read anew. The other errors of a Store are those of
// package storeerr.
var ErrHistoryGone = errors.New("driver: the history since the revision is gone")

// Process is what the settings file of a process says. Its field names appear in the
// output of "check" and in the log of a reload.
type Process struct {
	Name       string
	DataCentre string
	Callers    string            // address for callers' requests
	Readiness  string            // address of the balancer's check
	Peers      string            // address for other entries, TCP and UDP
	Metrics    string            // address of the process's own figures
	Seeds      []string          // addresses at which some other entries may be met
	Seed       bool              // others may meet this one so
	FirstStart bool              // all entries start for the first time
	Source     string            // address of the platform's store
	Regions    map[string]string // of data centres, by name
	Limits     Limits
	Bounds     Bounds
	Duties     Duties
}

// Limits are what the process may use, 0 for unknown.
type Limits struct {
	Descriptors int
	MemoryBytes int64
	LinkMbps    float64 // of the machine's link, in 10^6 bits a second
	Processor   float64 // share of a core
}

// Bounds are the times and shares that the operator holds the system to.
type Bounds struct {
	StopGrace   time.Duration // from the signal to stop to the end by force
	RetryRatio  float64       // retries per request of a service, over all entries
	RetryWindow time.Duration
	RetrySlack  int           // retries beside the ratio in a window
	LeaveWithin time.Duration // an endpoint that has left the list gets nothing new after so long
	ReuseWithin time.Duration // computing a prompt prefix again is priced for so long after its last use
}

// Settings is one version of the settings tree.
type Settings struct {
	Version  uint64 // 0 before the first
	Tree     settings.Tree
	Revision uint64 // of the store, at which the version was the newest
	// Evacuated are the data centres that were evacuated at Revision, in order.
	Evacuated []string
}

// SettingsChange is what changed in the settings, and in what operators say of data centres.
type SettingsChange struct {
	Revision    uint64       // to wait for changes after
	Settings    *Settings    // nil for none
	Superseded  int          // older versions that came with it
	Evacuations []Evacuation // the oldest first
}

// Endpoints is the list of endpoints at a revision of the store.
type Endpoints struct {
	Revision uint64               `cbor:"1,keyasint"`
	List     []placement.Endpoint `cbor:"2,keyasint"`
}

// Change is what changed in the list of endpoints. It has no tags, since its field names are on the
// wire between entries.
type Change struct {
	Revision uint64               // to wait for changes after
	Changed  []placement.Endpoint // endpoints as they now are
	Gone     []string             // ids of endpoints that left the list; none of those that changed
}

// Put adds that an endpoint came or changed, after all that was added before.
func (c *Change) Put(e placement.Endpoint) {
	c.forget(e.ID)
	c.Changed = append(c.Changed, e)
}

// Remove adds that an endpoint left, after all that was added before.
func (c *Change) Remove(id string) {
	c.forget(id)
	c.Gone = append(c.Gone, id)
}

// forget drops what was added of an endpoint.
func (c *Change) forget(id string) {
	c.Changed = slices.DeleteFunc(c.Changed, func(e placement.Endpoint) bool { return e.ID == id })
	c.Gone = slices.DeleteFunc(c.Gone, func(gone string) bool { return gone == id })
}

// Store is the platform's store as a process reads it. Each call counts against the
// platform's rates, a waiting one as well.
type Store interface {
	ReadSettings(ctx context.Context) (Settings, error)
	ReadEndpoints(ctx context.Context) (Endpoints, error)
	// WaitSettings and WaitEndpoints return the changes after the revision as soon as
	// there are any, or none after maxWait. ErrHistoryGone asks for reading all anew.
	WaitSettings(ctx context.Context, after uint64, maxWait time.Duration) (SettingsChange, error)
	WaitEndpoints(ctx context.Context, after uint64, maxWait time.Duration) (Change, error)
}

// Fields are the names of header fields towards callers and endpoints.
type Fields struct {
	RequestID string // both ways
	Deadline  string // milliseconds left
	Key       string // of the team, from callers only
	Team      string // to endpoints only
	Target    string // id of the endpoint that is meant
	NotRun    string // an endpoint's word that it did not run the request
	Seal      string // marks an answer as an endpoint's own
	Limit     string // requests a second that an endpoint takes from all entries together
	Draining  string // an endpoint's sign that it drains
	// SignalPrefix begins the fields by which endpoints say something of themselves; empty where
	// they have nothing in common.
	SignalPrefix string
	Priority     string   // 0 is the most urgent
	LastEvent    string   // after which a stream goes on
	Fetch        string   // address of an engine from which parts of the prompt are fetched first
	Internal     []string // others that only the system may set; callers' are dropped
}

// Driver knows one platform's names, formats and calls. It decides nothing.
type Driver interface {
	// Process reads the settings file of this process.
	Process() (Process, error)
	// Store returns a client of the platform's store. It calls progress whenever some
	// bytes of an answer have come.
	Store(p Process, progress func()) Store
	// Fields returns the names of header fields.
	Fields() Fields
	// Prompt returns what a request says of its prompt.
	Prompt(h http.Header) memory.Prompt
	// KeptParts asks the engine at an address which parts of prompts it keeps.
	KeptParts(ctx context.Context, address string) ([]memory.Part, error)
	// ReadyPath is the path of the balancer's check.
	ReadyPath() string
	// Records returns a client of the part of the store that the system writes to.
	Records(p Process) Records
	// Reporter returns a client of the calls that one process makes at a time.
	Reporter(p Process) Reporter
}

// Drivers are the registered drivers.
var Drivers kernel.Registry[func() Driver]
