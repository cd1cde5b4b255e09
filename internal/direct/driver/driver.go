// Package driver defines the interface between the direct gateway and a platform: the
// settings of a process, the platform's store and the names of header fields. Drivers of
// real platforms register themselves. A program selects its drivers by importing them.
package driver

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"foxcross.dev/coord/memory"
	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/settings"
	"foxcross.dev/foxcross/internal/kernel"
)

// ErrCompacted means that the store no longer has the changes since a revision, so the
// full state has to be read again. The other errors of a Store are those of package storeerr.
var ErrCompacted = errors.New("driver: the changes since the revision are no longer available")

// Process holds the settings file of a process. Its field names appear in the output of
// "check" and in the log of a reload.
type Process struct {
	Name       string
	DataCentre string
	Callers    string            // listen address for callers' requests
	Readiness  string            // listen address for the load balancer's health check
	Peers      string            // listen address for peers, TCP and UDP
	Metrics    string            // listen address for the metrics of the process
	Seeds      []string          // addresses of some peers, used to join
	Seed       bool              // other processes use this one to join
	FirstStart bool              // all processes start for the first time
	Source     string            // address of the platform's store
	Regions    map[string]string // of data centres, by name
	Limits     Limits
	Bounds     Bounds
	Duties     Duties
}

// Limits are the resource limits of the process, 0 for unknown.
type Limits struct {
	Descriptors int
	MemoryBytes int64
	LinkMbps    float64 // of the network link, in 10^6 bits per second
	Processor   float64 // share of a core
}

// Bounds are the times and ratios that the operator sets for the system.
type Bounds struct {
	StopGrace   time.Duration // time from the stop signal until the forced termination
	RetryRatio  float64       // retries per request of a service, over all processes
	RetryWindow time.Duration
	RetrySlack  int           // retries in a window in addition to the ratio
	LeaveWithin time.Duration // time after which an endpoint that left the list gets no new requests
	ReuseWithin time.Duration // time after its last use for which recomputing a prompt prefix has a cost
}

// Settings is one version of the settings tree.
type Settings struct {
	Version  uint64 // 0 before the first version
	Tree     settings.Tree
	Revision uint64 // store revision at which the version was the newest
	// EvacuatedDataCentres are the data centres that were evacuated at Revision, sorted.
	EvacuatedDataCentres []string
}

// SettingsChange holds changes of the settings and of the evacuations of data centres.
type SettingsChange struct {
	Revision    uint64       // after which the next watch starts
	Settings    *Settings    // nil if unchanged
	Superseded  int          // number of older versions received with it
	Evacuations []Evacuation // oldest first
}

// Endpoints is the endpoint list at a store revision.
type Endpoints struct {
	Revision uint64               `cbor:"1,keyasint"`
	List     []placement.Endpoint `cbor:"2,keyasint"`
}

// Change holds changes of the endpoint list. It has no tags, since its field names are on the
// wire between processes.
type Change struct {
	Revision uint64               // after which the next watch starts
	Changed  []placement.Endpoint // current state of added and changed endpoints
	Gone     []string             // IDs of endpoints that left the list; none of them is in Changed
}

// Put records an added or changed endpoint. It replaces earlier changes of that endpoint.
func (c *Change) Put(e placement.Endpoint) {
	c.discard(e.ID)
	c.Changed = append(c.Changed, e)
}

// Remove records an endpoint that left. It replaces earlier changes of that endpoint.
func (c *Change) Remove(id string) {
	c.discard(id)
	c.Gone = append(c.Gone, id)
}

// discard removes the recorded changes of an endpoint.
func (c *Change) discard(id string) {
	c.Changed = slices.DeleteFunc(c.Changed, func(e placement.Endpoint) bool { return e.ID == id })
	c.Gone = slices.DeleteFunc(c.Gone, func(gone string) bool { return gone == id })
}

// Store reads the platform's store. Each call, including a watch, counts against the
// platform's rate limits.
type Store interface {
	ReadSettings(ctx context.Context) (Settings, error)
	ReadEndpoints(ctx context.Context) (Endpoints, error)
	// WatchSettings and WatchEndpoints return the changes after the revision as soon as there
	// are any, or none after maxWait. After ErrCompacted the full state has to be read.
	WatchSettings(ctx context.Context, after uint64, maxWait time.Duration) (SettingsChange, error)
	WatchEndpoints(ctx context.Context, after uint64, maxWait time.Duration) (Change, error)
}

// HeaderFields are the names of header fields of requests and responses.
type HeaderFields struct {
	RequestID string // in both directions
	Deadline  string // remaining milliseconds
	Key       string // API key of the team, from callers only
	Team      string // to endpoints only
	Target    string // ID of the endpoint that the request is for
	NotRun    string // in a response: the endpoint did not run the request
	Seal      string // marks a response as sent by the endpoint itself
	Limit     string // requests per second that an endpoint accepts from all processes together
	Draining  string // in a response: the endpoint is draining
	// SignalPrefix is the common prefix of the fields in which endpoints report their state. It
	// is empty if they have none.
	SignalPrefix string
	Priority     string   // 0 is the most urgent
	LastEvent    string   // ID of the event after which a stream resumes
	Resumes      string   // from callers that resume a stream: RequestID of the request that brought its first event
	Fetch        string   // address of an engine from which cached parts of the prompt are fetched first
	Replica      string   // address of the engine to which the memory of the run is copied
	Continue     string   // address of the engine that holds the copy, "/", RequestID; to that engine, to continue the run
	Internal     []string // further fields that only the system may set; they are removed from callers' requests
}

// Driver implements the names, formats and calls of one platform. It makes no decisions.
type Driver interface {
	// Process reads the settings file of this process.
	Process() (Process, error)
	// Store returns a client of the platform's store. The client calls progress whenever bytes
	// of a response arrive.
	Store(p Process, progress func()) Store
	// HeaderFields returns the names of header fields.
	HeaderFields() HeaderFields
	// Prompt returns the prompt described by a request's header.
	Prompt(h http.Header) memory.Prompt
	// CachedParts returns the prompt parts that the engine at an address has cached.
	CachedParts(ctx context.Context, address string) ([]memory.Part, error)
	// ProcessTarget returns the path and query of a GET request whose answer names the process of an
	// engine, and ParseProcess the name in the body of such an answer. Each start of an engine has a
	// name of its own.
	ProcessTarget() string
	ParseProcess(body io.Reader) (string, error)
	// ReadyPath returns the path of the load balancer's health check.
	ReadyPath() string
	// Records returns a client of the records that the system writes to the store.
	Records(p Process) Records
	// Reporter returns a client of the calls that only one process at a time makes.
	Reporter(p Process) Reporter
}

// Drivers are the registered drivers.
var Drivers kernel.Registry[func() Driver]
