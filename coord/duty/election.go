// The election of the holder of the duties.
//
// Rule: a process that reads the platform's store, gets responses from it and sees no live holder
// reads the holder's record, and tries to write its own if there is none; at most once per
// attemptInterval. The holder renews its lease several times per TTL, and retries sooner while that
// fails, until the store reports the lease expired or it has been expired for giveUpAfter.
// Inputs: the fences that other processes announce, the process's lease, the results of store calls.
// Never: processes agree on a holder among themselves; the store's condition decides.

package duty

import "time"

const (
	// attemptInterval is the time between two attempts to become the holder: two calls a second
	// from each process that reads the store, only while there is no holder.
	attemptInterval = 500 * time.Millisecond
	// renewalsPerTTL is the number of renewals per TTL of a lease, so that one may be lost.
	renewalsPerTTL = 3
	// renewRetryInterval is the time after a failed renewal until the next one.
	renewRetryInterval = 250 * time.Millisecond
	// giveUpAfter is how long a holder tries to renew a lease that may have expired. The store
	// may keep leases while it is unavailable, and no other process can become holder until then.
	giveUpAfter = 10 * time.Second
)

// Situation is the input of an election at one process.
type Situation struct {
	Eligible    bool // the process reads the store, gets responses from it, and is not leaving
	OtherHolder bool // another process is a live holder
}

// Move is the next action of a process in the election.
type Move int

// The moves.
const (
	Wait   Move = iota // no action is due
	Try                // read the holder's record, and write one if there is none
	Renew              // renew the lease
	GiveUp             // treat the lease as lost
)

// Election is the state of a process in the election of the holder. The zero value has made
// no attempt. It is not safe for concurrent use.
type Election struct {
	Terms    Terms
	Lease    Lease
	nextCall time.Time // time from which the next call is due
}

// Due returns the move that is due now.
func (e *Election) Due(now time.Time, s Situation) Move {
	if now.Before(e.nextCall) {
		return Wait
	}
	if e.Lease.Fence != 0 {
		if now.Sub(e.Lease.expiresAt) > giveUpAfter {
			return GiveUp
		}
		return Renew
	}
	if s.Eligible && !s.OtherHolder {
		return Try
	}
	return Wait
}

// AttemptFailed records an attempt that failed at the given time.
func (e *Election) AttemptFailed(at time.Time) { e.nextCall = at.Add(attemptInterval) }

// Won records that the process became the holder with lease l, requested at requestedAt.
func (e *Election) Won(l Lease, requestedAt time.Time) {
	e.Lease = l
	e.nextCall = requestedAt.Add(e.Terms.TTL / renewalsPerTTL)
}

// Renewed records that the store renewed the lease on a request made at requestedAt.
func (e *Election) Renewed(requestedAt time.Time) {
	e.Lease = e.Lease.WithRenewal(requestedAt, e.Terms)
	e.nextCall = requestedAt.Add(e.Terms.TTL / renewalsPerTTL)
}

// RenewalFailed records that a renewal got no response at the given time.
func (e *Election) RenewalFailed(at time.Time) { e.nextCall = at.Add(renewRetryInterval) }

// Lost records the end of the lease: the store reported it expired, a higher fence exists, or the
// holder gives it up.
func (e *Election) Lost(at time.Time) {
	e.Lease = Lease{}
	e.nextCall = at.Add(attemptInterval)
}
