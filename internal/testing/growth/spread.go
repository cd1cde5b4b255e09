// Package growth works out how long settings take to be in force at all entries, by
// their size and the entries' links, processors and number. What an entry does with
// them is measured (cost.go: the real encoders, decoders and compilers); links are
// simulated in virtual time (spread.go).
package growth

import (
	"container/heap"
	"time"
)

// Fleet is the entries among which a version spreads; all are alike.
type Fleet struct {
	Entries   int
	LinkMbps  float64 // of each entry, in 10^6 bits a second, in each direction
	Processor float64 // share of a core
}

// Delays of the spread that do not depend on its size, as package peers has them.
const (
	// announceDelay is the time to the announcement of a version: announceInterval at
	// the most.
	announceDelay = 25 * time.Millisecond
	// fetchDelay is how long another entry is ahead before it is asked.
	fetchDelay = 40 * time.Millisecond
	// maxTransfers is how many entries one entry sends settings to at once.
	maxTransfers = 4
	// readers is how many entries read the store.
	readers = 2
	// entriesPerFormerReader is how many entries one reader told by the former rule.
	entriesPerFormerReader = 16
)

// Spread returns the time from a version's acknowledgement until the last entry has it
// in force, if each reader gets it from the store and the others from those that have
// it, four at once from each. Links are shared evenly by what a source sends at once.
func Spread(c Cost, f Fleet) time.Duration {
	sources := &queue{}
	readAt := f.transfer(c.StoreBytes, 1) + f.processor(c.Read)
	last := readAt
	for range min(readers, f.Entries) {
		heap.Push(sources, readAt)
	}
	for left := f.Entries - readers; left > 0; {
		at := heap.Pop(sources).(time.Duration)
		served := min(maxTransfers, left)
		left -= served
		sent := at + announceDelay + fetchDelay + f.processor(c.Encode) + f.transfer(c.PeerBytes, served)
		got := sent + f.processor(c.Take)
		last = max(last, got)
		heap.Push(sources, sent)
		for range served {
			heap.Push(sources, got)
		}
	}
	return last
}

// Floor is the least time in which the version as it stands in the store can cross one
// link.
func (f Fleet) Floor(c Cost) time.Duration { return f.transfer(c.StoreBytes, 1) }

// wholeBound is the bound on a whole fetch of the former rule.
const wholeBound = 600 * time.Millisecond

// FormerSpread is Spread for the former rule: a whole state in one answer within 0.6 s,
// which a reader sends to all that ask it at once. ok is false where it never arrives.
func FormerSpread(c Cost, f Fleet) (last time.Duration, ok bool) {
	former := max(readers, f.Entries/entriesPerFormerReader)
	asking := max(1, (f.Entries-former)/former)
	fetch := f.transfer(c.PlainBytes, asking)
	if fetch+f.processor(c.Encode) > wholeBound {
		return 0, false
	}
	read := f.transfer(c.StoreBytes, 1) + f.processor(c.Read)
	return read + announceDelay + fetchDelay + f.processor(c.Encode) + fetch + f.processor(c.Take), true
}

// transfer returns the time of some bytes over a link that so many share.
func (f Fleet) transfer(bytes, sharing int) time.Duration {
	const bitsPerByte = 8
	seconds := float64(bytes) * bitsPerByte * float64(sharing) / (f.LinkMbps * 1e6)
	return time.Duration(seconds * float64(time.Second))
}

// processor returns the time that work on a whole core takes here.
func (f Fleet) processor(work time.Duration) time.Duration {
	return time.Duration(float64(work) / f.Processor)
}

// queue holds the times from which on sources are free, the earliest first.
type queue []time.Duration

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool { return q[i] < q[j] }

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(time.Duration)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}
