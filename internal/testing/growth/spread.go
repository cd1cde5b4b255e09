// Package growth computes the time until settings are active at all entries, by the size
// of the settings and the links, processors and number of the entries. The work of an
// entry is measured (cost.go: the real encoders, decoders and compilers); links are
// simulated in virtual time (spread.go).
package growth

import (
	"container/heap"
	"time"
)

// Fleet describes the entries among which a version spreads. All are alike.
type Fleet struct {
	Entries   int
	LinkMbps  float64 // of each entry, in 10^6 bits a second, in each direction
	Processor float64 // fraction of a core
}

// Delays of the spread that do not depend on the size, as in package peers.
const (
	// announceDelay is the time until a version is announced, at most announceInterval.
	announceDelay = 25 * time.Millisecond
	// fetchDelay is the time for which another entry is ahead before an entry fetches from it.
	fetchDelay = 40 * time.Millisecond
	// maxTransfers is the number of entries to which one entry sends settings at once.
	maxTransfers = 4
	// storeReaders is the number of entries that read the store.
	storeReaders = 2
	// entriesPerReaderFormerly is the number of entries per reader by the former rule.
	entriesPerReaderFormerly = 16
)

// Spread returns the time from the acknowledgement of a version until it is active at the
// last entry. Each reader gets it from the store, and the others from entries that
// have it, four at once from each. Simultaneous transfers share a link evenly.
func Spread(c Cost, f Fleet) time.Duration {
	sources := &queue{}
	readAt := f.transferTime(c.StoreBytes, 1) + f.scaleToCore(c.Read)
	last := readAt
	for range min(storeReaders, f.Entries) {
		heap.Push(sources, readAt)
	}
	for remaining := f.Entries - storeReaders; remaining > 0; {
		at := heap.Pop(sources).(time.Duration)
		receivers := min(maxTransfers, remaining)
		remaining -= receivers
		sentAt := at + announceDelay + fetchDelay + f.scaleToCore(c.Encode) + f.transferTime(c.PeerBytes, receivers)
		activeAt := sentAt + f.scaleToCore(c.Apply)
		last = max(last, activeAt)
		heap.Push(sources, sentAt)
		for range receivers {
			heap.Push(sources, activeAt)
		}
	}
	return last
}

// Floor returns the shortest time in which the version in the store's encoding can cross
// one link.
func (f Fleet) Floor(c Cost) time.Duration { return f.transferTime(c.StoreBytes, 1) }

// fullFetchTimeout bounds a fetch of the whole state by the former rule.
const fullFetchTimeout = 600 * time.Millisecond

// FormerSpread is Spread by the former rule: the whole state in one response within 0.6 s,
// which a reader sends to all entries that fetch from it at once. ok is false if it never
// arrives.
func FormerSpread(c Cost, f Fleet) (last time.Duration, ok bool) {
	former := max(storeReaders, f.Entries/entriesPerReaderFormerly)
	asking := max(1, (f.Entries-former)/former)
	fetch := f.transferTime(c.PlainBytes, asking)
	if fetch+f.scaleToCore(c.Encode) > fullFetchTimeout {
		return 0, false
	}
	read := f.transferTime(c.StoreBytes, 1) + f.scaleToCore(c.Read)
	return read + announceDelay + fetchDelay + f.scaleToCore(c.Encode) + fetch + f.scaleToCore(c.Apply), true
}

// transferTime returns the transfer time of bytes over a link shared by a number of transfers.
func (f Fleet) transferTime(bytes, sharing int) time.Duration {
	const bitsPerByte = 8
	seconds := float64(bytes) * bitsPerByte * float64(sharing) / (f.LinkMbps * 1e6)
	return time.Duration(seconds * float64(time.Second))
}

// scaleToCore converts the time of work on a whole core to that on the entry's fraction of one.
func (f Fleet) scaleToCore(work time.Duration) time.Duration {
	return time.Duration(float64(work) / f.Processor)
}

// queue is a heap of the times at which sources become free, the earliest first.
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
