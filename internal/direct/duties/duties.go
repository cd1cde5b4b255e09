// Package duties makes the calls to the platform that only one entry makes at a time: the reports
// of the usage of teams. Package coord/duty has the rules; this package runs the loops.
//
// counting.go counts requests at every entry and sends the counts to the entries that may hold the
// duties, campaign.go acquires and renews the lease, recordwriter.go writes the records in the store,
// reporting.go sends the reports of written windows, record.go encodes the records.
//
// Locks: Duties.mu is not held during calls or while messages are sent. Group's lock may be
// acquired before Duties.mu, but not while Duties.mu is held.
package duties

import (
	"context"
	"sync"
	"time"

	"foxcross.dev/coord/duty"
	"foxcross.dev/foxcross/internal/direct/driver"
	"foxcross.dev/foxcross/internal/logs"
	"foxcross.dev/foxcross/internal/steady"
	"foxcross.dev/foxcross/internal/workers"

	"github.com/uber-go/tally/v4"
)

var log = logs.For("duties")

// Group gives access to the other entries.
type Group interface {
	// TrueTime returns the true time at a reading of the steady clock, and false if it is unknown.
	TrueTime(steady time.Time) (time.Time, bool)
	// Owners returns the incarnations of the live entries, including this one.
	Owners() []uint64
	// Holder returns the highest fence of a live holder, 0 for none, and whether that holder
	// is another entry.
	Holder() (fence uint64, other bool)
	// SetFence announces the fence with which this entry holds the duties, 0 if it does not.
	SetFence(fence uint64)
	// SendUsage sends the counts of this entry to the entries that may hold the duties.
	SendUsage(s duty.Statement)
}

// Store reports the state of the entry's connection to the platform's store.
type Store interface {
	ReadsStore() bool
	StoreResponds() bool
}

// Options are the parameters of New.
type Options struct {
	Name     string // of the process
	Owner    uint64 // incarnation of the process
	Terms    driver.Duties
	Group    Group
	Store    Store
	Records  driver.Records
	Reporter driver.Reporter
	Metrics  tally.Scope // nil for none
}

// Intervals of the loops in Run.
const (
	// statementInterval is the time between two statements of an entry. If an entry dies, its
	// counts since the last statement are lost: with 28 entries, 0.002 of a window of 5 s.
	statementInterval = 250 * time.Millisecond
	// electionInterval is the time between two checks of the lease.
	electionInterval = 50 * time.Millisecond
	// holderInterval is the time between two checks of the holder for records to write, and for
	// reports to send.
	holderInterval = 100 * time.Millisecond
)

// Duties counts the requests of this entry and performs the duties while the entry holds them.
// Create it with New. It is safe for concurrent use.
type Duties struct {
	options Options
	metrics tally.Scope

	mu             sync.Mutex
	tally          duty.Tally
	ledger         duty.Ledger
	election       duty.Election
	leaving        bool
	statedFence    uint64    // fence of the holder that receives all kept windows
	stateAllUntil  time.Time // end of the time in which statements hold all kept windows
	announcedFence uint64    // fence last sent to the other entries
}

// New returns the duties of an entry. Call Run to start the loops.
func New(o Options) *Duties {
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	return &Duties{
		options: o,
		metrics: o.Metrics,
		tally:   duty.Tally{Owner: o.Owner, Length: o.Terms.UsageWindow},
		ledger:  duty.Ledger{Length: o.Terms.UsageWindow},
		election: duty.Election{
			Terms: duty.TermsFor(o.Terms.Alternate, o.Terms.Thaw, o.Terms.MinLeaseTime),
		},
	}
}

// Run runs the loops until ctx is done.
func (d *Duties) Run(ctx context.Context) {
	var all sync.WaitGroup
	all.Go(func() { workers.Every(ctx, statementInterval, func(time.Time) { d.sendStatement() }) })
	all.Go(func() { workers.Every(ctx, electionInterval, func(time.Time) { d.runElection(ctx) }) })
	writer := recordWriter{Duties: d}
	all.Go(func() { workers.Every(ctx, holderInterval, func(time.Time) { writer.writeDue(ctx) }) })
	reporter := usageReporter{Duties: d}
	all.Go(func() { workers.Every(ctx, holderInterval, func(time.Time) { reporter.report(ctx) }) })
	all.Wait()
}

// Resign gives up the duties because this entry is leaving.
func (d *Duties) Resign() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
}

// lease returns the current lease, and whether this entry is leaving.
func (d *Duties) lease() (lease duty.Lease, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.election.Lease, d.leaving
}

// recordLoss records that the lease with the given fence has ended.
func (d *Duties) recordLoss(fence uint64, reason string) {
	d.mu.Lock()
	held := d.election.Lease.Fence == fence
	if held {
		d.election.Lost(steady.Now())
	}
	d.mu.Unlock()
	if held {
		d.announce()
		d.metrics.Counter("duties_lost").Inc(1)
		log.With("fence", fence).With("reason", reason).Info("No longer holder of the duties.")
	}
}
