package gateway

import (
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/direct/driver"
)

// TestSlowBodiesAreEvicted fills the memory with bodies that are still being read.
func TestSlowBodiesAreEvicted(t *testing.T) {
	const memoryLimit = 1000
	now := time.Unix(1_000_000, 0)
	var b bodyMemory
	b.init(driver.Limits{MemoryBytes: memoryLimit * memoryDivisor})
	aborted := 0
	reading := func(caller string, bytes int64, since time.Time) *reservation {
		t.Helper()
		r := &reservation{caller: caller}
		if !b.reserve(since, r, bytes) {
			t.Fatalf("no memory for %d bytes in addition to %d", bytes, b.reserved())
		}
		b.beginRead(since, r, func() { aborted++ })
		return r
	}
	oldest := reading("a", 400, now.Add(-3*time.Second))
	older := reading("b", 400, now.Add(-2*time.Second))
	recent := reading("c", 200, now)
	newcomer := &reservation{caller: "d"}
	if !b.reserve(now, newcomer, 300) || aborted != 1 || b.endRead(oldest) || b.reserved() != 900 {
		t.Fatalf("%d reads were aborted, %d bytes are reserved", aborted, b.reserved())
	}
	if b.reserve(now, &reservation{caller: "c"}, 301) {
		t.Error("one caller exceeds its limit")
	}
	if !b.reading[older] {
		t.Error("a body was evicted without need")
	}
	second := &reservation{caller: "b"}
	if !b.reserve(now, second, 101) || b.endRead(older) || b.reserved() != 601 {
		t.Errorf("a caller's slow body was not evicted for another of its bodies; %d bytes are reserved", b.reserved())
	}
	late := &reservation{caller: "f"}
	if !b.reserve(now, late, 300) {
		t.Error("memory was available, but not reserved")
	}
	if b.reserve(now, &reservation{caller: "e"}, 200) {
		t.Error("a complete body, or one that has just started, was evicted")
	}
	if oldest.bytes != 0 || b.reserve(now, oldest, 1) {
		t.Error("an evicted body reserves memory again")
	}
	for _, r := range []*reservation{oldest, older, recent, newcomer, second, late} {
		b.endRead(r)
		b.release(r)
	}
	if b.reserved() != 0 || len(b.byCaller) != 0 || len(b.reading) != 0 {
		t.Errorf("%d bytes, %d callers and %d bodies remain", b.reserved(), len(b.byCaller), len(b.reading))
	}
}
