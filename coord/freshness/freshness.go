// Package freshness dates what other processes claim about the age of their data.
//
// Rule: a process puts a stamp of its own clock into its messages. A peer returns the newest stamp that
// it has received from it, the echo, in its own messages, and reads its claims after the echo. So the
// peer composed the message after the stamp was made, and its data was the newest at the time of the
// stamp less the claimed age, however long either message waited on its way or in a socket.
// Inputs: stamps, echoes, the time.
// Units: stamps in milliseconds of the process's clock.
// Never: a claim counts from when it was read, since a paused process reads old messages late.
//
// This package does no I/O, starts no goroutine and reads no clock.
package freshness

import (
	"encoding/binary"
	"time"
)

// Stamp is a time on the clock of a process, in milliseconds since its start, plus 1. The zero value
// is no time.
type Stamp uint64

// StampAt returns the stamp of a process that started at a time.
func StampAt(startedAt, now time.Time) Stamp {
	return Stamp(max(now.Sub(startedAt), 0)/time.Millisecond) + 1
}

// Time returns a time that is not after the one at which the stamp was made.
func (s Stamp) Time(startedAt time.Time) time.Time {
	return startedAt.Add(time.Duration(s-1) * time.Millisecond)
}

const (
	// MaxEchoes bounds the echoes in one message.
	MaxEchoes = 24
	// echoBytes is the size of an echo: the process and its stamp.
	echoBytes = 8 + 8
)

// Echoes holds the newest stamps of other processes. Its encoding is part of the protocol between
// entries. The zero value has none.
type Echoes []byte

// Full reports whether there is no room for another echo.
func (e Echoes) Full() bool { return len(e) >= MaxEchoes*echoBytes }

// With returns the echoes with that of one more process.
func (e Echoes) With(process uint64, s Stamp) Echoes {
	next := make(Echoes, 0, len(e)+echoBytes)
	next = append(next, e...)
	next = binary.BigEndian.AppendUint64(next, process)
	return binary.BigEndian.AppendUint64(next, uint64(s))
}

// Of returns the echo of a process. A truncated echo at the end is ignored.
func (e Echoes) Of(process uint64) (Stamp, bool) {
	for rest := e; len(rest) >= echoBytes; rest = rest[echoBytes:] {
		if binary.BigEndian.Uint64(rest) == process {
			s := Stamp(binary.BigEndian.Uint64(rest[8:]))
			return s, s > 0
		}
	}
	return 0, false
}

// ComposedAfter returns a time after which a message with these echoes was composed, on the clock of
// a process that started at a time. It returns false if the message has no valid echo of the process.
func (e Echoes) ComposedAfter(process uint64, startedAt, now time.Time) (time.Time, bool) {
	s, found := e.Of(process)
	if !found || s > StampAt(startedAt, now) {
		return time.Time{}, false
	}
	return s.Time(startedAt), true
}

// NewestAt returns a time at which data was the newest, according to a message that was composed after
// a time and claims that age, in ms. It returns false for a negative age, which stands for never.
func NewestAt(composedAfter time.Time, ageMS int64) (time.Time, bool) {
	if ageMS < 0 {
		return time.Time{}, false
	}
	// The age was cut to a whole millisecond.
	return composedAfter.Add(-time.Duration(ageMS+1) * time.Millisecond), true
}
