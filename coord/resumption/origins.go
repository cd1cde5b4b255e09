// Keeps which endpoint began each stream.
//
// Rule: a stream begins at the endpoint of the attempt that brought its first event. One that is
// resumed counts as begun where it is recorded, else at the endpoint of that attempt, which runs the
// version that began it. A stream is recorded until the deadline of its last attempt and retryTime
// beyond, for callers that resume it then. A key under which streams began at two endpoints has no
// origin.
// Inputs: the attempts of all entries, as announced; announcements may be lost.
// Units: streams, times.
// Never: more than maxStreams are recorded; beyond that, those that expire soonest count as unknown.

package resumption

import (
	"time"

	"foxcross.dev/coord/placement"
)

const (
	// maxStreams bounds the recorded streams.
	maxStreams = 1 << 20
	// maxPending bounds the attempts without a first event.
	maxPending = 1 << 17
	// retryTime is the time in which a caller resumes a stream after the deadline of its attempt.
	retryTime = 5 * time.Second
	// defaultTimeLeft is the time to the deadline of an attempt without one.
	defaultTimeLeft = 60 * time.Second
	// groupLength is the time within which streams expire together, so that they are removed at
	// once. A stream is looked up in each group.
	groupLength = time.Second
	// timeUnit is the unit of recorded times.
	timeUnit = 100 * time.Millisecond
	// epochMargin is above the age of the first announcements.
	epochMargin = time.Minute
)

// Origins holds the origins of streams. The zero value is empty. It is not safe for concurrent use.
type Origins struct {
	pending  map[placement.AttemptID]pending
	epoch    time.Time         // before the first stream; only times since then don't jump with the time of day
	groups   map[uint32]*group // by the end of their time, in units of groupLength since the epoch
	recorded int
	dropped  int
}

// pending is an attempt without a first event.
type pending struct {
	key      Key
	endpoint string
	expires  time.Time
}

// group holds the streams that expire together. The zero value is empty.
type group struct {
	streams   map[Key]begun
	endpoints []string // incarnations
	numbers   map[string]uint32
}

// begun is where and when a stream began.
type begun struct {
	endpoint uint32 // index into the group's endpoints
	at       uint32 // since the epoch, in units of timeUnit
}

// Sent records an attempt that begins a stream with its first event. timeLeft is the time to its
// deadline, 0 for unknown.
func (o *Origins) Sent(now time.Time, id placement.AttemptID, key Key, endpoint string, timeLeft time.Duration) {
	if o.pending == nil {
		o.pending = map[placement.AttemptID]pending{}
	}
	if len(o.pending) >= maxPending {
		o.dropped++
		return
	}
	o.pending[id] = pending{key: key, endpoint: endpoint, expires: expiry(now, timeLeft)}
}

// FirstEvent records the first event of an attempt.
func (o *Origins) FirstEvent(now time.Time, id placement.AttemptID) {
	p, known := o.pending[id]
	if !known {
		return
	}
	delete(o.pending, id)
	o.add(p.key, p.endpoint, now, p.expires)
}

// Ended records the end of an attempt. One without a first event began no stream.
func (o *Origins) Ended(id placement.AttemptID) { delete(o.pending, id) }

// Resumed records an attempt that resumes a stream. timeLeft is the time to its deadline, 0 for
// unknown.
func (o *Origins) Resumed(now time.Time, key Key, endpoint string, timeLeft time.Duration) {
	begunAt := now
	if recorded, at, known := o.Endpoint(key); known {
		endpoint, begunAt = recorded, at
	}
	o.add(key, endpoint, begunAt, expiry(now, timeLeft))
}

// expiry returns until when the stream of an attempt is recorded.
func expiry(now time.Time, timeLeft time.Duration) time.Time {
	if timeLeft <= 0 {
		timeLeft = defaultTimeLeft
	}
	return now.Add(timeLeft + retryTime)
}

// add records that a stream began at an endpoint.
func (o *Origins) add(key Key, endpoint string, begunAt, expires time.Time) {
	if o.recorded >= maxStreams {
		o.dropSoonest()
	}
	if o.groups == nil {
		o.groups = map[uint32]*group{}
		o.epoch = begunAt.Add(-epochMargin)
	}
	end := o.groupEnd(expires)
	g := o.groups[end]
	if g == nil {
		g = &group{}
		o.groups[end] = g
	}
	if g.add(key, endpoint, o.units(begunAt)) {
		o.recorded++
	}
}

// dropSoonest removes the streams that expire soonest, most of which have ended.
func (o *Origins) dropSoonest() {
	soonest := ^uint32(0)
	for end := range o.groups {
		soonest = min(soonest, end)
	}
	o.dropped += o.remove(soonest)
}

// remove removes a group and returns the number of its streams.
func (o *Origins) remove(end uint32) int {
	n := len(o.groups[end].streams)
	o.recorded -= n
	delete(o.groups, end)
	return n
}

// units returns a time in units of timeUnit since the epoch.
func (o *Origins) units(at time.Time) uint32 { return uint32(max(at.Sub(o.epoch), 0) / timeUnit) }

// groupEnd returns the end of the group in which streams expire at a time.
func (o *Origins) groupEnd(at time.Time) uint32 {
	return uint32(max(at.Sub(o.epoch), 0)/groupLength) + 1
}

// conflicting is the index of no endpoint, for a key under which several streams have begun.
const conflicting = ^uint32(0)

// add records a stream, and reports whether there was none with its key.
func (g *group) add(key Key, endpoint string, at uint32) bool {
	if g.streams == nil {
		g.streams = map[Key]begun{}
		g.numbers = map[string]uint32{}
	}
	n, known := g.numbers[endpoint]
	if !known {
		n = uint32(len(g.endpoints))
		g.endpoints = append(g.endpoints, endpoint)
		g.numbers[endpoint] = n
	}
	b, known := g.streams[key]
	switch {
	case !known:
		g.streams[key] = begun{endpoint: n, at: at}
	case b.endpoint != n:
		b.endpoint = conflicting
		g.streams[key] = b
	}
	return !known
}

// Endpoint returns the incarnation of the endpoint that began a stream, and when, cut to timeUnit. It
// returns false if that is not known.
func (o *Origins) Endpoint(key Key) (endpoint string, begunAt time.Time, known bool) {
	for _, g := range o.groups {
		b, found := g.streams[key]
		if !found {
			continue
		}
		if b.endpoint == conflicting || known && g.endpoints[b.endpoint] != endpoint {
			return "", time.Time{}, false
		}
		endpoint, begunAt, known = g.endpoints[b.endpoint], o.epoch.Add(time.Duration(b.at)*timeUnit), true
	}
	return endpoint, begunAt, known
}

// Expire removes the streams and attempts that have expired.
func (o *Origins) Expire(now time.Time) {
	for id, p := range o.pending {
		if now.After(p.expires) {
			delete(o.pending, id)
		}
	}
	for end := range o.groups {
		if end < o.groupEnd(now) {
			o.remove(end)
		}
	}
}

// Counts returns the number of recorded streams, and of those that were dropped since there were too
// many.
func (o *Origins) Counts() (recorded, dropped int) { return o.recorded, o.dropped }
