package resumption_test

import (
	"testing"
	"time"

	"foxcross.dev/coord/resumption"
)

func TestSnapshotTransfersStreamsWithTheirTimes(t *testing.T) {
	var o, started resumption.Origins
	for n, endpoint := range []string{"a", "b", "a"} {
		o.Sent(at(0), attempt(n), resumption.Key(n+1), endpoint, 10*time.Second)
		o.FirstEvent(at(time.Second), attempt(n))
	}
	started.Resumed(at(3*time.Second), 4, "c", time.Minute)
	restore(&started, at(3*time.Second), o.Snapshot(at(3*time.Second)))
	for key, want := range map[resumption.Key]string{1: "a", 2: "b", 3: "a", 4: "c"} {
		expectEndpoint(t, &started, key, want)
	}
	if _, begunAt, _ := started.Endpoint(1); !begunAt.Equal(at(time.Second)) {
		t.Errorf("begun at %v", begunAt.Sub(origin))
	}
	started.Expire(at(13 * time.Second))
	expectEndpoint(t, &started, 1, "a")
	started.Expire(at(20 * time.Second))
	expectEndpoint(t, &started, 1, "")
	expectEndpoint(t, &started, 4, "c")
}

func TestSnapshotIsBounded(t *testing.T) {
	var o, started resumption.Origins
	for n := range 120_000 {
		o.Resumed(at(0), resumption.Key(n+1), "a", time.Duration(1+n/60_000)*time.Minute)
	}
	snapshot := o.Snapshot(at(0))
	restore(&started, at(0), snapshot)
	if recorded, _ := started.Counts(); recorded != 100_000 {
		t.Errorf("%d streams were restored", recorded)
	}
	expectEndpoint(t, &started, 120_000, "a") // one of those that expire last
	restore(&started, at(0), []resumption.OriginsSnapshot{{Endpoint: "b", Streams: snapshot[0].Streams[:13]}, {Streams: []byte{1}}})
}

// restore restores all parts of a snapshot.
func restore(o *resumption.Origins, now time.Time, all []resumption.OriginsSnapshot) {
	for _, s := range all {
		o.Restore(now, s)
	}
}

// TestRestoreKeepsWhatWasRecordedSinceTheStart guards against a conflict with the resumption of the same stream.
func TestRestoreKeepsWhatWasRecordedSinceTheStart(t *testing.T) {
	var o, started resumption.Origins
	o.Resumed(at(0), 7, "a", time.Minute)
	started.Resumed(at(time.Second), 7, "b", 20*time.Second)
	restore(&started, at(2*time.Second), o.Snapshot(at(2*time.Second)))
	expectEndpoint(t, &started, 7, "b")
}
