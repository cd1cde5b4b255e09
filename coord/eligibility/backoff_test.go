package eligibility_test

import (
	"testing"
	"time"

	"foxcross.dev/coord/eligibility"
)

func TestBackoffLatestEndApplies(t *testing.T) {
	var b eligibility.Backoff
	if !b.Apply(origin, 3*time.Second, 0) {
		t.Error("the first response did not start a backoff")
	}
	if b.Apply(origin.Add(time.Second), time.Second, 0) {
		t.Error("a shorter delay started another backoff")
	}
	if left := b.Remaining(origin.Add(time.Second)); left != 2*time.Second {
		t.Errorf("after a shorter delay: %v left", left)
	}
	b.Apply(origin.Add(2*time.Second), 2500*time.Millisecond, 500*time.Millisecond)
	if left := b.Remaining(origin.Add(2 * time.Second)); left != 3*time.Second {
		t.Errorf("after a longer delay: %v left", left)
	}
}

func TestBackoffIgnoresInvalidDelay(t *testing.T) {
	for _, delay := range []time.Duration{0, -time.Second, eligibility.MaxBackoff + 1} {
		var b eligibility.Backoff
		if b.Apply(origin, delay, 0) || b.Active(origin) || !b.Allows(origin, 100) {
			t.Errorf("a delay of %v started a backoff", delay)
		}
	}
}

func TestBackoffSlowStart(t *testing.T) {
	const slots = 4
	var b eligibility.Backoff
	b.Apply(origin, time.Second, 0)
	end := origin.Add(time.Second)
	if b.Allows(end.Add(-1), 0) {
		t.Error("a request is allowed before the end")
	}
	for open := range slots {
		if !b.Allows(end, open) || b.Allows(end, open+1) {
			t.Errorf("after %d responses: the maximum of open requests is not %d", open, open+1)
		}
		b.RecordResponse(end.Add(-1), slots) // has no effect: sent before the end
		b.RecordResponse(end, slots)
	}
	if !b.Allows(end, 10*slots) {
		t.Error("the number of open requests is still bounded after the slow start")
	}
}

func TestDrainGracePeriodStartsAtEarliestSignal(t *testing.T) {
	const grace = 2 * time.Second
	var d eligibility.Drain
	if !d.Allows(origin, 0) {
		t.Error("an endpoint without a drain signal is not allowed requests")
	}
	if !d.Apply(origin.Add(time.Second)) || d.Apply(origin) || d.Apply(origin.Add(time.Second)) {
		t.Error("Apply does not report exactly the first signal as the first")
	}
	if !d.Allows(origin.Add(grace-1), grace) || d.Allows(origin.Add(grace), grace) {
		t.Error("the grace period does not start at the earliest signal")
	}
}

func TestDrainIsAnnouncedAtIntervals(t *testing.T) {
	var d eligibility.Drain
	if !d.Announce(origin) || d.Announce(origin.Add(100*time.Millisecond)) || !d.Announce(origin.Add(time.Second)) {
		t.Error("the signal is not announced exactly once per interval")
	}
}
