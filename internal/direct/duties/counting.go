package duties

import (
	"time"

	"foxcross.dev/coord/duty"
	"foxcross.dev/foxcross/internal/steady"
)

// stateAllFor is how long statements hold all kept windows after the holder changes. It covers
// several statements, most of which may be lost.
const stateAllFor = 4 * statementInterval

// Count counts a request of a team that begins to run now.
func (d *Duties) Count(team string) {
	if team == "" {
		return // the request belongs to no team
	}
	now := d.trueTime()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tally.Count(team, now)
}

// trueTime returns the true time, or the machine's wall clock time while it is unknown.
func (d *Duties) trueTime() time.Time {
	if t, ok := d.options.Group.TrueTime(steady.Now()); ok {
		return t
	}
	return steady.Wall()
}

// MergeStatement merges the counts of another entry.
func (d *Duties) MergeStatement(s duty.Statement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ledger.Merge(s)
}

// sendStatement sends the counts of this entry that are due.
func (d *Duties) sendStatement() {
	now := d.trueTime()
	fence, _ := d.options.Group.Holder()
	steadyNow := steady.Now()
	d.mu.Lock()
	if fence != d.statedFence {
		d.statedFence = fence
		d.stateAllUntil = steadyNow.Add(stateAllFor)
	}
	s := d.tally.Statement(now, steadyNow.Before(d.stateAllUntil))
	d.ledger.Merge(s)
	if d.election.Lease.Fence == 0 {
		d.ledger.Expire(now)
	}
	d.mu.Unlock()
	d.options.Group.SendUsage(s)
}

// SendFinal sends all counts of this entry before the process ends.
func (d *Duties) SendFinal() {
	now := d.trueTime()
	d.mu.Lock()
	s := d.tally.Statement(now, true)
	d.mu.Unlock()
	for range finalStatements {
		d.options.Group.SendUsage(s)
	}
}

// finalStatements is how often an entry sends its counts before it ends, as datagrams may be lost.
const finalStatements = 3
