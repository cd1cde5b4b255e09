// Package signals finds the events that have not arrived at a process, of those that all processes have to
// know: crashes, holds, limits, drains.
//
// Rule: each process numbers its signals from 1. A process keeps the last maxSignals of all owners, and for
// each owner the number up to which it has all. Processes compare a digest of these numbers. One whose
// digest differs from that of a peer which has at least as many sends its numbers to that peer, and gets
// the signals that it lacks in the order of their times. Owners without a signal for digestWindow are
// left out of the digest.
// Inputs: signals as they arrive, in any order and any number of times; digests and numbers of peers.
// Units: signals, times.
// Never: a signal that is no longer kept by a peer is asked for again; the state grows with the number of
// owners that have had no signal within ownerRetention.
//
// The package does no I/O, starts no goroutine and reads no clock.
package signals

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxSignals bounds the kept signals. The loss of forty engines, each with runs of fifty entries that
	// send two signals, fills it.
	maxSignals = 4096
	// digestWindow is how long a signal counts for the digest. It is longer than processes stand still
	// before their peers take them for lost.
	digestWindow = 30 * time.Second
	// ownerRetention is how long the number of an owner is kept after its last signal.
	ownerRetention = 10 * time.Minute
	// maxOwners bounds the owners; beyond it signals of new ones are not tracked.
	maxOwners = 4096
)

// Signal is one signal of an owner. Data is its encoding.
type Signal struct {
	Owner  uint64
	Number uint64
	At     time.Time
	Data   []byte
}

// Position is the number up to which all signals of an owner have arrived.
type Position struct {
	_      struct{} `cbor:",toarray"`
	Owner  uint64
	Number uint64
}

// Summary describes which signals a process has.
type Summary struct {
	Digest uint64 // 0 if there are none
	Count  uint64 // of the signals of all owners in the digest
}

// Lags reports whether a process with this summary may lack signals that a peer has.
func (s Summary) Lags(peer Summary) bool {
	return peer.Digest != 0 && peer.Digest != s.Digest && peer.Count >= s.Count
}

// key identifies a signal.
type key struct{ owner, number uint64 }

// owner is what has arrived of an owner's signals.
type owner struct {
	number uint64 // up to which all have arrived
	last   time.Time
}

// Log is the state of one process. The zero value is empty. It is not safe for concurrent use.
type Log struct {
	kept   []Signal // in the order of their arrival
	index  map[key]bool
	owners map[uint64]*owner
	own    uint64 // number of the last signal of this process
}

// Next returns the number of the next signal of this process.
func (l *Log) Next() uint64 {
	l.own++
	return l.own
}

// Record records a signal that has arrived or was sent. It returns false if it is known.
func (l *Log) Record(s Signal) bool {
	o := l.owner(s.Owner)
	if o == nil || s.Number <= o.number || l.keeps(s.Owner, s.Number) {
		return false
	}
	if len(l.kept) >= maxSignals {
		delete(l.index, key{l.kept[0].Owner, l.kept[0].Number})
		l.kept = l.kept[1:]
	}
	if l.index == nil {
		l.index = map[key]bool{}
	}
	l.kept = append(l.kept, s)
	l.index[key{s.Owner, s.Number}] = true
	if s.At.After(o.last) {
		o.last = s.At
	}
	for l.keeps(s.Owner, o.number+1) {
		o.number++
	}
	return true
}

// owner returns the state of an owner, created if necessary, or nil if there are too many.
func (l *Log) owner(id uint64) *owner {
	if l.owners == nil {
		l.owners = map[uint64]*owner{}
	}
	o := l.owners[id]
	if o == nil && len(l.owners) < maxOwners {
		o = &owner{}
		l.owners[id] = o
	}
	return o
}

func (l *Log) keeps(owner, number uint64) bool { return l.index[key{owner, number}] }

// Summary returns which signals have arrived.
func (l *Log) Summary(now time.Time) Summary {
	var s Summary
	for id, o := range l.owners {
		if o.number == 0 || now.Sub(o.last) >= digestWindow {
			continue
		}
		s.Count += o.number
		s.Digest += mix(id, o.number)
	}
	return s
}

// mix returns a hash of two numbers. Sums of it don't depend on the order.
func mix(a, b uint64) uint64 {
	var data [16]byte
	for n := range 8 {
		data[n], data[8+n] = byte(a>>(8*n)), byte(b>>(8*n))
	}
	return xxhash.Sum64(data[:])
}

// Positions returns the numbers of all owners, by owner.
func (l *Log) Positions() []Position {
	all := make([]Position, 0, len(l.owners))
	for id, o := range l.owners {
		all = append(all, Position{Owner: id, Number: o.number})
	}
	slices.SortFunc(all, func(a, b Position) int { return cmp.Compare(a.Owner, b.Owner) })
	return all
}

// Since returns the kept signals that a process with these numbers lacks, by time: what clears a crash
// comes after it.
func (l *Log) Since(known []Position) []Signal {
	numbers := make(map[uint64]uint64, len(known))
	for _, p := range known {
		numbers[p.Owner] = p.Number
	}
	var lacking []Signal
	for _, s := range l.kept {
		if s.Number > numbers[s.Owner] {
			lacking = append(lacking, s)
		}
	}
	slices.SortFunc(lacking, func(a, b Signal) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Number, b.Number))
	})
	return lacking
}

// Skip records that the signals of owners up to these numbers can't be had any more, after the signals
// that a peer has sent were recorded. It returns how many of them had not arrived.
func (l *Log) Skip(now time.Time, known []Position) (lost uint64) {
	for _, p := range known {
		o := l.owner(p.Owner)
		if o == nil || p.Number <= o.number {
			continue
		}
		lost += p.Number - o.number
		o.number = p.Number
		if o.last.IsZero() {
			o.last = now
		}
		for l.keeps(p.Owner, o.number+1) {
			o.number++
		}
	}
	return lost
}

// Expire removes the owners that have had no signal for ownerRetention, and their signals.
func (l *Log) Expire(now time.Time) {
	for id, o := range l.owners {
		if now.Sub(o.last) >= ownerRetention {
			delete(l.owners, id)
		}
	}
	l.kept = slices.DeleteFunc(l.kept, func(s Signal) bool {
		expired := l.owners[s.Owner] == nil
		if expired {
			delete(l.index, key{s.Owner, s.Number})
		}
		return expired
	})
}
