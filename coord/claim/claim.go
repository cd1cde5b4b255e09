// Package claim decides which request owns an idempotency key. The keys of a partition are stored
// in one value of a key-value service, the head. A claim takes effect once a compare-and-swap has
// stored it there; that operation is the only fence. When a period ends or the head is full, its
// claims move to an immutable segment whose name is added to the head. The functions are pure; the
// caller does the I/O.
package claim

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"time"
)

// MaxClaims is the number of claims from which a head's claims move to a segment, so that a value
// stays far below a megabyte.
const MaxClaims = 8192

// Key is the hash of an idempotency key.
type Key [16]byte

// Nonce distinguishes the claims of a key.
type Nonce string

// HashKey returns the hash of a key.
func HashKey(key string) Key {
	sum := sha256.Sum256([]byte(key))
	return Key(sum[:len(Key{})])
}

// Head is the stored value of a partition. The zero value is a partition without claims. Heads are
// immutable: Apply returns a changed copy.
type Head struct {
	Period   int64         `cbor:"1,keyasint"` // number of the period, never decreases
	Claims   map[Key]Nonce `cbor:"2,keyasint,omitempty"`
	Segments []Segment     `cbor:"3,keyasint,omitempty"`
}

// Segment refers to stored claims that are no longer in the head.
type Segment struct {
	Name   string `cbor:"1,keyasint"`
	Period int64  `cbor:"2,keyasint"`
}

// Settings are the settings of a partition. They have to be the same at all entries.
type Settings struct {
	Period        time.Duration // length of a period
	RetainPeriods int64         // minimum retention of a claim, in periods
}

// PeriodAt returns the number of the period at a time.
func (r Settings) PeriodAt(now time.Time) int64 { return now.UnixNano() / int64(r.Period) }

// NeedsRoll reports whether the head's claims have to move to a segment first.
func (h Head) NeedsRoll(now time.Time, r Settings) bool {
	if len(h.Claims) >= MaxClaims {
		return true
	}
	return len(h.Claims) > 0 && r.PeriodAt(now) > h.Period
}

// Roll returns the head after its claims were stored in a segment with the given name, without
// segments past their retention. A clock that is behind does not change the period.
func (h Head) Roll(now time.Time, r Settings, name string) Head {
	next := Head{Period: max(h.Period, r.PeriodAt(now))}
	for _, s := range append(h.Segments[:len(h.Segments):len(h.Segments)], Segment{Name: name, Period: h.Period}) {
		if s.Period+r.RetainPeriods >= next.Period {
			next.Segments = append(next.Segments, s)
		}
	}
	return next
}

// SegmentName returns a name that is unique to this state of the head. revision is the revision of
// the stored value.
func (h Head) SegmentName(revision uint64) string {
	return fmt.Sprintf("%d-%d", h.Period, revision)
}

// Request is a request for a claim, or for the release of one.
type Request struct {
	Key     Key
	Nonce   Nonce
	Release bool
}

// Outcome is the outcome of a request.
type Outcome uint8

// The outcomes.
const (
	Granted  Outcome = iota + 1 // the head that Apply returned includes the claim
	Conflict                    // another claim owns the key
	Released                    // the head that Apply returned includes the release
)

// Apply applies requests to a head. older returns the claims in the head's segments. The outcomes
// are valid once the returned head is stored.
func (h Head) Apply(now time.Time, r Settings, batch []Request, older func(Key) (Nonce, bool)) (Head, []Outcome) {
	next := h
	next.Period = max(h.Period, r.PeriodAt(now))
	next.Claims = maps.Clone(h.Claims)
	if next.Claims == nil {
		next.Claims = map[Key]Nonce{}
	}
	outcomes := make([]Outcome, len(batch))
	for n, q := range batch {
		outcomes[n] = next.apply(q, older)
	}
	return next, outcomes
}

func (h Head) apply(q Request, older func(Key) (Nonce, bool)) Outcome {
	holder, held := h.Claims[q.Key]
	if q.Release {
		if held && holder == q.Nonce {
			delete(h.Claims, q.Key)
		}
		return Released
	}
	if !held {
		holder, held = older(q.Key)
	}
	if held && holder != q.Nonce {
		return Conflict
	}
	if !held {
		h.Claims[q.Key] = q.Nonce
	}
	return Granted
}
