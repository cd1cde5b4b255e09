package resumption_test

import (
	"fmt"
	"testing"
	"time"

	"foxcross.dev/coord/placement"
	"foxcross.dev/coord/resumption"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// list returns a list of endpoints of one service, as ID and version by turns.
func list(idsAndVersions ...string) []placement.Endpoint {
	var all []placement.Endpoint
	for n := 0; n < len(idsAndVersions); n += 2 {
		all = append(all, placement.Endpoint{ID: idsAndVersions[n], Service: "pool", Version: idsAndVersions[n+1]})
	}
	return all
}

func at(d time.Duration) time.Time { return origin.Add(d) }

const streamLife = 20 * time.Second

func expectOnly(t *testing.T, v *resumption.Versions, now time.Time, want string) {
	t.Helper()
	got, only := v.Only(now, "pool", streamLife)
	if !v.Observed(now, streamLife) {
		got, only = "", false
	}
	if got != want || only != (want != "") {
		t.Errorf("after %v the only version is %q, %v, want %q", now.Sub(origin), got, only, want)
	}
}

func TestOnlyVersionIsOneThatServedAloneForAStreamsLife(t *testing.T) {
	var v resumption.Versions
	expectOnly(t, &v, at(0), "")
	v.Observe(at(0), list("a", "v1", "b", "v1"))
	expectOnly(t, &v, at(0), "v1")
	v.Observe(at(30*time.Second), list("a", "v1", "b", "v1", "c", "v2"))
	expectOnly(t, &v, at(30*time.Second), "")
	v.Observe(at(60*time.Second), list("c", "v2"))
	expectOnly(t, &v, at(60*time.Second), "")
	expectOnly(t, &v, at(80*time.Second), "")
	expectOnly(t, &v, at(81*time.Second), "v2")
}

func TestOnlyVersionIsUnknownUntilObservedForAStreamsLife(t *testing.T) {
	var v resumption.Versions
	v.StartAt(at(0))
	v.Observe(at(time.Second), list("a", "v1"))
	expectOnly(t, &v, at(19*time.Second), "")
	expectOnly(t, &v, at(20*time.Second), "v1")
}

func TestRestoredVersionsCountAsObserved(t *testing.T) {
	var peer, v resumption.Versions
	peer.Observe(at(0), list("a", "v1"))
	peer.Confirm(at(30 * time.Second))
	v.StartAt(at(30 * time.Second))
	v.Observe(at(31*time.Second), list("a", "v1"))
	v.Restore(at(31*time.Second), at(31*time.Second), peer.Snapshot(at(31*time.Second)))
	expectOnly(t, &v, at(31*time.Second), "v1")
}

// TestVersionThatLeftBeforeTheStartIsKnown guards against a started entry that knows the present version only.
func TestVersionThatLeftBeforeTheStartIsKnown(t *testing.T) {
	var peer, v resumption.Versions
	peer.Observe(at(0), list("a", "v1", "b", "v2"))
	peer.Observe(at(25*time.Second), list("b", "v2"))
	peer.Confirm(at(30 * time.Second))
	v.StartAt(at(30 * time.Second))
	v.Observe(at(31*time.Second), list("b", "v2"))
	v.Restore(at(31*time.Second), at(31*time.Second), peer.Snapshot(at(31*time.Second)))
	expectOnly(t, &v, at(31*time.Second), "")
	expectOnly(t, &v, at(46*time.Second), "v2")
}

// TestVersionThatCameAndLeftInAGapIsNotRuledOut guards against an entry that was out of touch for a while.
func TestVersionThatCameAndLeftInAGapIsNotRuledOut(t *testing.T) {
	var v resumption.Versions
	v.Observe(at(0), list("a", "v1"))
	v.Confirm(at(0))
	v.Confirm(at(2 * time.Second))
	expectOnly(t, &v, at(2*time.Second), "v1")
	v.Confirm(at(10 * time.Second))
	expectOnly(t, &v, at(12*time.Second), "")
	expectOnly(t, &v, at(30*time.Second), "v1")
}

// TestVersionThatLeftBeforeTheFirstListIsNotRuledOut guards against an entry that starts while the store is away.
func TestVersionThatLeftBeforeTheFirstListIsNotRuledOut(t *testing.T) {
	var v resumption.Versions
	v.StartAt(at(0))
	v.Observe(at(10*time.Second), list("a", "v2"))
	v.Confirm(at(10 * time.Second))
	expectOnly(t, &v, at(20*time.Second), "")
	expectOnly(t, &v, at(30*time.Second), "v2")
}

// TestVersionThatLeftAfterTheSnapshotIsNotRuledOut guards against a gap between a peer's observation and the own one.
func TestVersionThatLeftAfterTheSnapshotIsNotRuledOut(t *testing.T) {
	var peer, v resumption.Versions
	peer.Observe(at(0), list("a", "v1"))
	peer.Confirm(at(30 * time.Second))
	v.StartAt(at(30 * time.Second))
	v.Restore(at(31*time.Second), at(31*time.Second), peer.Snapshot(at(31*time.Second)))
	v.Observe(at(41*time.Second), list("b", "v2"))
	v.Confirm(at(41 * time.Second))
	expectOnly(t, &v, at(52*time.Second), "")
	expectOnly(t, &v, at(61*time.Second), "v2")
}

// TestSnapshotOfPeerOutOfTouchIsNoObservation guards against trust in a peer that may have missed a version.
func TestSnapshotOfPeerOutOfTouchIsNoObservation(t *testing.T) {
	var peer, v resumption.Versions
	peer.Observe(at(0), list("a", "v1"))
	peer.Confirm(at(20 * time.Second))
	v.StartAt(at(30 * time.Second))
	v.Observe(at(31*time.Second), list("a", "v1"))
	v.Restore(at(31*time.Second), at(31*time.Second), peer.Snapshot(at(31*time.Second)))
	expectOnly(t, &v, at(31*time.Second), "")
	expectOnly(t, &v, at(50*time.Second), "v1")
}

func TestSnapshotOfOlderEntryRestoresNothing(t *testing.T) {
	var v resumption.Versions
	v.StartAt(at(0))
	v.Observe(at(0), list("a", "v1"))
	v.Restore(at(0), at(0), resumption.VersionsSnapshot{})
	expectOnly(t, &v, at(time.Second), "")
}

func TestSoftwareOfEndpointThatLeftIsKept(t *testing.T) {
	var v resumption.Versions
	v.Observe(at(0), list("a", "v1"))
	v.Observe(at(time.Second), nil)
	if s, known := v.SoftwareOf("a", at(0)); !known || s.Version != "v1" {
		t.Errorf("got %+v, %v", s, known)
	}
	v.Observe(at(10*time.Minute), nil)
	if s, known := v.SoftwareOf("a", at(0)); known {
		t.Errorf("kept after 10 minutes: %+v", s)
	}
}

// TestStreamsAroundARestartAreUnknown guards against a record that is older than the process that began the stream.
func TestStreamsAroundARestartAreUnknown(t *testing.T) {
	for _, version := range []string{"v1", "v2"} {
		var v resumption.Versions
		before := placement.Endpoint{ID: "a", Service: "pool", Version: "v1", StartedMS: 1}
		after := placement.Endpoint{ID: "a", Service: "pool", Version: version, StartedMS: 2}
		v.Observe(at(0), []placement.Endpoint{before})
		v.Confirm(at(50 * time.Second))
		v.Observe(at(time.Minute), []placement.Endpoint{after})
		v.Confirm(at(70 * time.Second))
		if s, known := v.SoftwareOf(before.Incarnation(), at(48*time.Second)); !known || s.Version != "v1" {
			t.Errorf("a stream before the list was last the newest: %+v, %v", s, known)
		}
		if s, known := v.SoftwareOf(before.Incarnation(), at(51*time.Second)); known {
			t.Errorf("a stream after that was known: %+v", s)
		}
		if s, known := v.SoftwareOf(after.Incarnation(), at(61*time.Second)); !known || s.Version != version {
			t.Errorf("a stream at the new process: %+v, %v", s, known)
		}
	}
}

func TestStreamsOfAnEndpointWhoseRecordChangesItsVersionAreUnknown(t *testing.T) {
	var v resumption.Versions
	v.Observe(at(0), list("a", "v1"))
	v.Confirm(at(50 * time.Second))
	v.Observe(at(time.Minute), list("a", "v2"))
	if s, known := v.SoftwareOf("a", at(10*time.Second)); known {
		t.Errorf("known: %+v", s)
	}
}

// TestStreamsThatBeganAfterTheListWasReadAreUnknown guards against a restart that is not on the list yet.
func TestStreamsThatBeganAfterTheListWasReadAreUnknown(t *testing.T) {
	var v resumption.Versions
	restarted := placement.Endpoint{ID: "a", Service: "pool", Version: "v1", StartedMS: 1}
	unique := placement.Endpoint{ID: "b", Service: "pool", Version: "v1"}
	v.Observe(at(0), []placement.Endpoint{restarted, unique})
	v.Confirm(at(time.Minute))
	if s, known := v.SoftwareOf(restarted.Incarnation(), at(time.Minute)); known {
		t.Errorf("known: %+v", s)
	}
	if _, known := v.SoftwareOf(restarted.Incarnation(), at(59*time.Second)); !known {
		t.Error("unknown although the list is newer than the stream")
	}
	if _, known := v.SoftwareOf(unique.Incarnation(), at(time.Hour)); !known {
		t.Error("unknown although the ID is that of one process")
	}
}

// BenchmarkObserve measures a change of one endpoint in a list.
func BenchmarkObserve(b *testing.B) {
	for _, count := range []int{300, 1600, 3200} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var all []string
			for n := range count {
				all = append(all, fmt.Sprint("i-", n), "v1")
			}
			endpoints := list(all...)
			var v resumption.Versions
			for n := 0; b.Loop(); n++ {
				endpoints[n%count].ID = fmt.Sprint("i-", count+n)
				v.Observe(at(time.Duration(n)*time.Second), endpoints)
			}
		})
	}
}

// TestObservationHasGapWhileSnapshotWaited guards against a gap that a standstill before the restoration hides.
func TestObservationHasGapWhileSnapshotWaited(t *testing.T) {
	var peer, v resumption.Versions
	peer.Observe(at(0), list("a", "v1"))
	peer.Confirm(at(30 * time.Second))
	asked := at(30 * time.Second)
	s := peer.Snapshot(asked)
	v.StartAt(asked)
	restored := at(36 * time.Second)
	v.Restore(restored, asked, s)
	v.Observe(restored, list("b", "v2"))
	v.Confirm(restored.Add(time.Second))
	expectOnly(t, &v, restored.Add(time.Second), "")
	if v.Observed(restored.Add(time.Second), 5*time.Second) {
		t.Error("the time before the restoration counts as observed")
	}
}
