package gateway

import (
	"testing"
	"time"

	"foxcross.dev/foxcross/internal/direct/driver"
)

// TestSlowBodiesGiveWay fills the room with bodies that are still coming.
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
			t.Fatalf("no room for %d bytes beside %d", bytes, b.reserved())
		}
		b.beginRead(since, r, func() { aborted++ })
		return r
	}
	oldest := reading("a", 400, now.Add(-3*time.Second))
	older := reading("b", 400, now.Add(-2*time.Second))
	recent := reading("c", 200, now)
	newcomer := &reservation{caller: "d"}
	if !b.reserve(now, newcomer, 300) || aborted != 1 || b.endRead(oldest) || b.reserved() != 900 {
		t.Fatalf("%d were stopped, %d bytes are held", aborted, b.reserved())
	}
	if b.reserve(now, &reservation{caller: "c"}, 301) {
		t.Error("one caller holds more than its part")
	}
	if !b.reading[older] {
		t.Error("a body that did not have to gave way")
	}
	second := &reservation{caller: "b"}
	if !b.reserve(now, second, 101) || b.endRead(older) || b.reserved() != 601 {
		t.Errorf("a caller's own slow body did not give way to another of it; %d bytes are held", b.reserved())
	}
	late := &reservation{caller: "f"}
	if !b.reserve(now, late, 300) {
		t.Error("there was room")
	}
	if b.reserve(now, &reservation{caller: "e"}, 200) {
		t.Error("a body that has come, or has just begun to come, gave way")
	}
	if oldest.bytes != 0 || b.reserve(now, oldest, 1) {
		t.Error("a body that gave way takes room again")
	}
	for _, r := range []*reservation{oldest, older, recent, newcomer, second, late} {
		b.endRead(r)
		b.release(r)
	}
	if b.reserved() != 0 || len(b.byCaller) != 0 || len(b.reading) != 0 {
		t.Errorf("%d bytes, %d callers and %d bodies are left", b.reserved(), len(b.byCaller), len(b.reading))
	}
}
