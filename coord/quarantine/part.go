package quarantine

import (
	"bytes"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Quarantine of prompt parts, which different contents share.
//
// Rule: a crash of an endpoint counts against each part of the prompts whose runs had not begun to
// write there, or had for less than settleTime. It counts once for each content: a content that is
// repeated is held by itself. Any run with the part that begins to write clears all crashes counted
// against it, unless its endpoint crashes within settleTime. From probationCrashes on, together or
// not, a part is on probation: one run with it at a time is sent, and the others wait for its
// outcome. From maxCrashes counted crashes on it is held like a content.
// A part whose crashes another part may have caused is held for minAmbiguousHold at first.
// Inputs: the parts of runs without an event at a crashed endpoint, sends and first events of all
// entries.
// Units: as for contents.
// Never: a part is held that all requests of a service or a caller share, since their runs at other
// endpoints begin to write.

const (
	// probationCrashes are enough to send one run at a time. A harmless part leaves
	// probation with the next first event.
	probationCrashes = 2
	// probeTimeout bounds the wait for the outcome of a run with a part on probation.
	probeTimeout = time.Second
	// probeReservation is the time from the decision to send such a run until it is recorded.
	probeReservation = 50 * time.Millisecond
	// maxPartTrials is the number of trials of a part. Operators accept three sends of requests with a
	// part that is known to crash endpoints; a content is tried for as long as its caller comes back.
	maxPartTrials = 3
	// settleTime is how long after its first event a run proves nothing about its parts yet: all
	// connections to a crashing endpoint break within 3 ms, and reports arrive within some 50 ms.
	settleTime = 100 * time.Millisecond
	// beginRetention covers settleTime and the time until a crash is reported.
	beginRetention = 10 * settleTime
)

// partMarker is the first half of the keys of parts. The other half identifies the part.
var partMarker = [keyBytes / 2]byte{0x70, 0x61, 0x72, 0x74, 0x9d, 0x3b, 0xe2, 0x58}

// PartKey returns the key of a part of prompts to a service, by the part's ID. It is computed for each
// event of an attempt while something is suspect. Callers choose the IDs, so that a hash that nobody
// can invert would protect nothing.
func PartKey(service string, id uint64) Key {
	var buffer [64]byte
	data := append(binary.LittleEndian.AppendUint64(buffer[:0], id), service...)
	var k Key
	copy(k[:], partMarker[:])
	binary.LittleEndian.PutUint64(k[keyBytes/2:], xxhash.Sum64(data))
	return k
}

// IsPart reports whether the key is that of a prompt part.
func (k Key) IsPart() bool { return bytes.HasPrefix(k[:], partMarker[:]) }

// Source identifies a content among those that share a part.
type Source uint64

// Source returns the source of a content's key.
func (k Key) Source() Source { return Source(binary.LittleEndian.Uint64(k[:])) }

// Probe identifies the run of a part on probation. Numbers are unique per owner.
type Probe struct {
	Owner  uint64
	Number uint64
}

// openProbe is the latest probe of a part, or the reservation of one.
type openProbe struct {
	Probe
	until time.Time
}

// begin is the latest run with a part that began to write, with the crashes that it cleared.
type begin struct {
	endpoint string
	at       time.Time
	cleared  []clearedRun

	combinations []combination // that included the part
}

type clearedRun struct {
	crash *crash
	run   run
}

// ReserveProbe reserves the next run with a part for the caller of ReserveProbe. It returns false if
// another run with it is open or reserved, or if the part is held. A part that is not on probation
// needs no reservation.
func (t *Table) ReserveProbe(now time.Time, k Key) bool {
	v := t.Verdict(now, k)
	if v.Held || v.ProbeOpen {
		return false
	}
	if v.Probation {
		t.contents[k].probe = openProbe{until: now.Add(probeReservation)}
	}
	return true
}

// RecordProbe records the send of a run with a part, by any process.
func (t *Table) RecordProbe(now time.Time, k Key, p Probe) {
	if t.contents[k] != nil && t.Verdict(now, k).Probation {
		t.contents[k].probe = openProbe{Probe: p, until: now.Add(probeTimeout)}
	}
}

// EndProbe records that a run with a part ended and showed nothing about the part.
func (t *Table) EndProbe(k Key, p Probe) {
	if c := t.contents[k]; c != nil && c.probe.Probe == p {
		c.probe = openProbe{}
	}
}

// RecordBegin records that a run with a part began to write at an endpoint, and clears the part until
// that endpoint crashes within settleTime. The report of a begin may arrive after that of the crash. It
// reports whether the part was held.
func (t *Table) RecordBegin(now time.Time, endpoint string, k Key) (wasHeld bool) {
	c := t.contents[k]
	if c == nil || t.endedWithin(settleTime, now, endpoint) {
		return false
	}
	wasHeld = t.Verdict(now, k).Held
	b := begin{endpoint: endpoint, at: now, combinations: t.removeFromCombinations(k)}
	for _, x := range c.crashes {
		b.cleared = append(b.cleared, clearedRun{x, x.runs[k]})
	}
	t.RecordSuccess(k)
	if t.begins == nil {
		t.begins = map[Key]begin{}
	}
	t.begins[k] = b
	return wasHeld
}

// endedWithin reports whether an endpoint is known to have crashed before d was over.
func (t *Table) endedWithin(d time.Duration, from time.Time, endpoint string) bool {
	x := t.crashes[endpoint]
	return x != nil && x.at.Sub(from) < d
}

// revokeBegin counts the crashes against a part again that its latest begin cleared, if that was at an
// endpoint that has crashed just afterwards.
func (t *Table) revokeBegin(k Key, x *crash) {
	b, ok := t.begins[k]
	if !ok || b.endpoint != x.endpoint || x.at.Sub(b.at) >= settleTime {
		return
	}
	delete(t.begins, k)
	c := t.content(k)
	for _, x := range b.combinations {
		t.put(x)
	}
	for _, r := range b.cleared {
		if t.crashes[r.crash.endpoint] != r.crash || slices.Contains(c.crashes, r.crash) {
			continue
		}
		r.crash.runs[k] = r.run
		c.insert(r.crash)
	}
}

// expireBegins removes the begins that can't be revoked any more.
func (t *Table) expireBegins(now time.Time) {
	for k, b := range t.begins {
		if now.Sub(b.at) >= beginRetention {
			delete(t.begins, k)
		}
	}
}

// holdStart returns when the hold of a part began: at the last crash, but for those under trials of
// combinations that include the part.
func (c *content) holdStart() time.Time {
	for _, x := range slices.Backward(c.crashes) {
		if c.trials > 0 || x.runs[c.key].knownCrashes < maxCrashes {
			return x.at
		}
	}
	return time.Time{}
}

// partHold returns the length of the hold of a part after a number of failed trials.
func partHold(hold time.Duration, failed int) time.Duration {
	if failed >= maxPartTrials {
		return retention
	}
	return holdAfterTrials(hold, failed)
}

// sources returns the number of contents under which the crashes counted against a part happened.
func (c *content) sources() int {
	var seen []Source
	for _, x := range c.crashes {
		if s := x.runs[c.key].source; !slices.Contains(seen, s) {
			seen = append(seen, s)
		}
	}
	return len(seen)
}
