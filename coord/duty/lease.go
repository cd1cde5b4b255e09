// The lease of the holder of the duties: how long the holder may act.
//
// Rule: the platform's store grants a lease and counts its TTL from the arrival of the call. The
// holder counts it from before the call, on its steady clock, and ends it a margin earlier, so
// that the lease expires at the holder before it expires at the store. The store deletes the
// holder's record when the lease expires. A successor writes its own record only if there is
// none, and acts no earlier than Handover after that. So at least Handover lies between the last
// act of one holder and the first act of the next, also when a holder resigns.
// Inputs: the times of calls and their results.
// Units: steady time.
// Never: a holder that was suspended acts on resuming before it has checked the lease; two
// holders use one fence: a fence is the store's revision at which the holder's record was
// written, and revisions rise with each change.

package duty

import "time"

// Terms are the durations of a lease.
type Terms struct {
	TTL      time.Duration // for which the store grants and renews the lease
	Margin   time.Duration // by which the lease expires earlier at its holder
	Handover time.Duration // from becoming the holder to the first act
}

// ttlDivisor divides the time within which holders must not alternate to give the TTL. A holder
// that dies is replaced after the TTL and Handover, with some slack within half of the 10 s after
// which usage is late.
const ttlDivisor = 2

// minRequestedTTL is the shortest TTL that is requested if no other bound is longer. It leaves
// time for several renewals at a slow store.
const minRequestedTTL = time.Second

// TermsFor returns the terms if holders must not alternate within alternate, a resumed process
// may act in error for up to thaw, and the store grants leases of at least minTTL. Any of them
// may be 0 for unknown. The margin is at most half of the TTL.
func TermsFor(alternate, thaw, minTTL time.Duration) Terms {
	ttl := max(alternate/ttlDivisor, minTTL, minRequestedTTL)
	return Terms{TTL: ttl, Margin: min(thaw, ttl/2), Handover: alternate}
}

// Lease is the lease of a process as its holder counts it. The zero value is not held.
type Lease struct {
	ID        string // the store's id of the lease
	Fence     uint64 // rises whenever the holder changes
	expiresAt time.Time
	actsFrom  time.Time
}

// WithGrant returns a lease whose holder's record was written at revision fence. requestedAt is
// the time at which the grant was requested, writtenAt the time at which the record was known to
// be written.
func (l Lease) WithGrant(id string, fence uint64, requestedAt, writtenAt time.Time, t Terms) Lease {
	return Lease{ID: id, Fence: fence, expiresAt: requestedAt.Add(t.TTL - t.Margin), actsFrom: writtenAt.Add(t.Handover)}
}

// WithRenewal returns the lease after the store has renewed it on a request made at requestedAt.
// A lease that the store renews has not expired in between, even if it did by the holder's count.
func (l Lease) WithRenewal(requestedAt time.Time, t Terms) Lease {
	l.expiresAt = requestedAt.Add(t.TTL - t.Margin)
	return l
}

// Held reports whether the process holds the duties.
func (l Lease) Held(now time.Time) bool { return l.Fence != 0 && now.Before(l.expiresAt) }

// MayAct reports whether the process may send requests as the holder now.
func (l Lease) MayAct(now time.Time) bool { return l.Held(now) && !now.Before(l.actsFrom) }
